//! The control state of one gateway: every decision's machine, and how they feed each other.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use async_channel::Sender;
use notch_catalogue::{CatalogueEvent, CatalogueNode};
use notch_jobs::prelude::ServiceEvent;
use notch_membership::{MemberRoster, MemberTable, MembershipEvent};
use notch_messages::prelude::*;
use notch_placement::prelude::{PlacementEvent, PlacementPlanner};
use notch_routing::RouterEvent;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    control::{
        entries_view::SharedView,
        event::{ControlEvent, StoreUser},
        link_desk::LinkDesk,
        online_desk::OnlineDesk,
        operator_desk::OperatorDesk,
        permit_pause::permit_pause,
        shard_desk::{ShardDesk, ShardRead},
        step::{ControlStep, ShardReply},
        suspect_calls::SuspectCalls,
    },
    edge::{list_pace::ListPace, platform_calls::PlatformCalls},
};

/// Everything that the control thread owns. One event at a time, to the end.
pub struct ControlCore {
    /// This gateway's VM.
    pub vm: VmName,
    /// The traffic side's view of the catalogue.
    pub view: Arc<SharedView>,
    /// Counters, gauges and timings.
    pub metrics: Arc<Metrics>,
    /// Lines for changes of state.
    pub log: NodeLog,
    /// Notes for `explain`.
    pub notes: NoteHistory,
    /// Online requests.
    pub online: OnlineDesk,
    /// Ledger shards.
    pub shards: ShardDesk,
    /// Gateways.
    pub members: MemberTable,
    /// The gateways that take work, as last told; kept because every relay asks for it.
    pub roster: MemberRoster,
    /// The catalogue.
    pub catalogue: CatalogueNode,
    /// Which target holds which model.
    pub placement: PlacementPlanner,
    /// Links.
    pub links: LinkDesk,
    /// Operators' questions.
    pub operators: OperatorDesk,
    /// Calls to the platform.
    pub platform: PlatformCalls,
    /// What is left to do for the event at hand.
    pub steps: VecDeque<ControlStep>,
    /// Whom to tell when nothing is left to do, once the gateway leaves.
    pub leaving: Option<Sender<()>>,
    /// Sidecars' VMs that the VM list has as leaving.
    pub listed_leaving: Vec<VmName>,
    /// This gateway's failure domain.
    pub domain: DomainName,
    /// How often the VM list is read.
    pub list_pace: Arc<ListPace>,
    /// When gauges are set again.
    pub gauges_due: MonoTime,
    /// VMs that were told to drain already.
    pub drained: FastSet<VmName>,
    /// News of crashes that other gateways haven't answered yet.
    pub suspect_calls: SuspectCalls,
}

impl ControlCore {
    /// When time alone changes something.
    pub fn next_wake(&self) -> Option<MonoTime> {
        [
            self.online.next_wake(),
            self.shards.next_wake(),
            self.members.next_wake(),
            self.catalogue.next_wake(),
            self.placement.next_wake(),
            self.operators.next_wake(),
        ]
        .into_iter()
        .flatten()
        .min()
    }

    /// Takes one event to its end.
    pub fn handle(&mut self, now: Now, event: ControlEvent) {
        self.take(now, event);
        self.drain(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Now) {
        self.with_online(|online, send, steps| online.tick(now, send, steps));
        self.with_shards(|shards, steps, reads| shards.tick(now, steps, reads));
        if self.members.next_wake().is_some_and(|due| due <= now.mono) {
            self.steps.push_back(ControlStep::Member(MembershipEvent::Tick));
        }
        if self.catalogue.next_wake().is_some_and(|due| due <= now.mono) {
            self.steps.push_back(ControlStep::Catalogue(CatalogueEvent::Tick));
        }
        if self.placement.next_wake().is_some_and(|due| due <= now.mono) {
            self.steps.push_back(ControlStep::Placement(PlacementEvent::Tick));
        }
        self.operators.tick(now);
        self.drain(now);
        if self.gauges_due <= now.mono {
            self.gauges_due = now.mono + GAUGE_PERIOD;
            self.links.expire(now.mono);
            self.set_gauges(now);
        }
        self.finish_leaving();
    }

    fn take(&mut self, now: Now, event: ControlEvent) {
        match event {
            ControlEvent::Online { mut request, deadline_in, offer, news } => {
                request.deadline = deadline_in.map(|wait| now.mono + wait);
                self.with_online(|online, send, steps| {
                    online.arrive(now, request, offer, news, send, steps);
                });
            }
            ControlEvent::CallerGone(arrival) => self.route(RouterEvent::CallerGone { arrival }),
            ControlEvent::Attempt(event) => self.route(event),
            ControlEvent::Resume { vm, attempt, offset } => {
                let message = LinkMessage::ToSidecar(SidecarMessage::Resume { attempt, offset });
                let _ = self.links.send(&vm, message);
            }
            ControlEvent::Link(event) => self.take_link(now, event),
            ControlEvent::StoreAnswered { user, call, result } => match user {
                StoreUser::Ledger(shard) => self.with_shards(|shards, steps, reads| {
                    shards.store_answered(now, shard, call, result, steps, reads);
                }),
                StoreUser::Catalogue => {
                    let event = CatalogueEvent::StoreAnswered { call, result };
                    self.steps.push_back(ControlStep::Catalogue(event));
                }
                StoreUser::Placement => {
                    let event = PlacementEvent::StoreAnswer { call, result };
                    self.steps.push_back(ControlStep::Placement(event));
                }
            },
            ControlEvent::ObjectRead { shard, key, result } => {
                let event = ServiceEvent::ObjectRead { key, result };
                self.with_shards(|shards, steps, reads| {
                    shards.tell(now, shard, event, steps, reads);
                });
            }
            ControlEvent::RecordsRead { shard, read, result } => {
                let event = ServiceEvent::RecordsRead { read, result };
                self.with_shards(|shards, steps, reads| {
                    shards.tell(now, shard, event, steps, reads);
                });
            }
            ControlEvent::VmListed(vms) => self.take_vms(vms),
            ControlEvent::AskShard { shard, request, reply } => {
                let reply = ShardReply::Traffic(reply);
                self.steps.push_back(ControlStep::AskShard { shard, request, reply });
            }
            ControlEvent::Operator { ask, reply } => self.take_operator(now, ask, reply),
            ControlEvent::EntryStored(object) => {
                self.steps.push_back(ControlStep::Catalogue(CatalogueEvent::Stored(object)));
            }
            ControlEvent::PermitAnswered { epoch, order, result } => {
                let event = match result {
                    Ok(_) => PlacementEvent::PermitGranted { epoch, order },
                    Err(failure) => PlacementEvent::PermitDenied {
                        epoch,
                        order,
                        retry_after: permit_pause(failure),
                    },
                };
                self.steps.push_back(ControlStep::Placement(event));
            }
            ControlEvent::Leave(done) => self.leave(now, done),
            ControlEvent::Stop => {}
        }
    }

    pub(super) fn route(&mut self, event: RouterEvent) {
        self.steps.push_back(ControlStep::Route(event));
    }

    /// Does what is left to do until nothing is.
    fn drain(&mut self, now: Now) {
        while let Some(step) = self.steps.pop_front() {
            self.carry(now, step);
        }
    }

    fn carry(&mut self, now: Now, step: ControlStep) {
        match step {
            ControlStep::ToGateway { to, message } => self.send_gateway(now, &to, message),
            ControlStep::ToSidecar { to, message } => self.send_sidecar(now, &to, message),
            ControlStep::ToAllSidecars(message) => {
                let all: Vec<VmName> = self.links.listed().iter().map(|s| s.vm.clone()).collect();
                for to in all {
                    self.send_sidecar(now, &to, message.clone());
                }
            }
            ControlStep::Store { user, call } => self.platform.store(user, call),
            ControlStep::AskShard { shard, request, reply } => {
                self.with_shards(|shards, steps, reads| {
                    shards.ask(now, shard, request, reply, steps, reads);
                });
            }
            ControlStep::Route(event) => {
                self.with_online(|online, send, steps| online.route(now, event, send, steps));
            }
            ControlStep::Member(event) => self.tell_members(now, event),
            ControlStep::Catalogue(event) => self.tell_catalogue(now, event),
            ControlStep::EveryService(event) => {
                self.with_shards(|shards, steps, reads| shards.tell_all(now, &event, steps, reads));
            }
            ControlStep::Placement(event) => self.tell_placement(now, event),
            ControlStep::AccountUse { at, usage } => self.tell_account_use(at, &usage),
            ControlStep::RosterChanged => self.roster_changed(now),
            ControlStep::Partners(partners) => self.partners_changed(now, partners),
            ControlStep::TellSuspect { fingerprint, vm, alone } => {
                self.tell_suspect(now, fingerprint, vm, alone);
            }
            ControlStep::RumorNew(rumor) => self.take_rumor(now, rumor),
            ControlStep::EntriesChanged => self.entries_changed(),
            ControlStep::Time(timing, took) => self.metrics.observe(timing, took),
            ControlStep::Count(counter) => self.metrics.count(counter),
            ControlStep::Note(note) => {
                self.log.decision(&note);
                self.notes.record(now, note);
            }
        }
    }

    fn send_gateway(&mut self, now: Now, to: &VmName, message: LinkMessage) {
        let address = self.members.address_of(to);
        self.links.send_dialing(now.mono, to, address.as_deref(), message);
    }

    fn send_sidecar(&mut self, now: Now, to: &VmName, message: SidecarMessage) {
        for (relay, message) in self.links.send_sidecar(to, message, &self.roster) {
            self.send_gateway(now, &relay, message);
        }
    }

    fn set_gauges(&self, now: Now) {
        let links =
            [(Gauge::SidecarLinks, NodeRole::Sidecar), (Gauge::GatewayLinks, NodeRole::Gateway)];
        for (gauge, role) in links {
            self.metrics.set(gauge, self.links.count(role) as i64);
        }
        self.metrics.set(Gauge::ShardsOwned, self.shards.owned() as i64);
        self.metrics.set(Gauge::MembersAlive, self.roster.len() as i64);
        let members = self.members.members();
        let suspects = members.iter().filter(|member| member.state == MemberState::Suspect).count();
        self.metrics.set(Gauge::MembersSuspect, suspects as i64);
        let owned = self.shards.hosts().iter().filter(|host| host.epoch().is_some());
        let jobs = owned.flat_map(|host| host.service().state().jobs().values());
        self.metrics.set(Gauge::JobsOpen, jobs.filter(|job| job.is_running()).count() as i64);
        let epoch = self.placement.valid_epoch(now).unwrap_or_default();
        self.metrics.set(Gauge::PlacementEpoch, epoch.0 as i64);
        self.metrics.set(Gauge::OrdersOpen, self.placement.open_orders() as i64);
        self.metrics.set(Gauge::EntriesInForce, self.catalogue.table().len() as i64);
        self.metrics.set(Gauge::ItemsOpen, self.shards.directory().open_items() as i64);
    }

    /// Runs a part that may send to sidecars at once and may leave steps behind.
    pub(super) fn with_online(
        &mut self,
        run: impl FnOnce(
            &mut OnlineDesk,
            &mut dyn FnMut(&VmName, SidecarMessage) -> bool,
            &mut Vec<ControlStep>,
        ),
    ) {
        let mut steps = Vec::new();
        let links = &self.links;
        let mut send = |to: &VmName, message: SidecarMessage| {
            links.send(to, LinkMessage::ToSidecar(message)).is_ok()
        };
        run(&mut self.online, &mut send, &mut steps);
        self.steps.extend(steps);
    }

    /// Runs a part that may want reads and may leave steps behind.
    pub(super) fn with_shards(
        &mut self,
        run: impl FnOnce(&mut ShardDesk, &mut Vec<ControlStep>, &mut Vec<ShardRead>),
    ) {
        let mut steps = Vec::new();
        let mut reads = Vec::new();
        run(&mut self.shards, &mut steps, &mut reads);
        self.steps.extend(steps);
        for read in reads {
            self.platform.read(read);
        }
    }
}

/// Time between two settings of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_millis(200);
