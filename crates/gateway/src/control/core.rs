//! The control state of one gateway: every decision's machine, and how they feed each other.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use async_channel::Sender;
use notch_catalogue::{CatalogueEffect, CatalogueEvent, CatalogueNode};
use notch_jobs::prelude::ServiceEvent;
use notch_link::codec;
use notch_membership::{
    ListedVm, MemberRoster, MemberTable, MembershipEffect, MembershipEvent, watchers_of,
};
use notch_messages::prelude::*;
use notch_placement::prelude::{PlacementEffect, PlacementEvent, PlacementPlanner};
use notch_platform::{PermitFailure, VmRecord, VmRole, VmState};
use notch_routing::{AccountUse, RouterEvent};
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    control::{
        entries_view::{self, SharedView},
        event::{ControlEvent, StoreUser},
        link_desk::{LinkDesk, ListedSidecar},
        online_desk::OnlineDesk,
        operator_desk::OperatorDesk,
        shard_desk::{ShardDesk, ShardRead},
        step::{ControlStep, ShardReply},
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
    pub notes: NoteBook,
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
            self.set_gauges();
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

    fn route(&mut self, event: RouterEvent) {
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
            ControlStep::RumorNew(rumor) => self.take_rumor(now, rumor),
            ControlStep::EntriesChanged => self.entries_changed(),
            ControlStep::Count(counter) => self.metrics.count(counter),
            ControlStep::Note(note) => self.notes.record(now, note),
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

    fn tell_members(&mut self, now: Now, event: MembershipEvent) {
        let mut effects = Vec::new();
        self.members.handle(now, event, &mut effects);
        for effect in effects {
            let step = match effect {
                MembershipEffect::Send { to, message } => {
                    ControlStep::ToGateway { to, message: LinkMessage::Gossip(message) }
                }
                MembershipEffect::Changed(updates) => {
                    self.log_members(&updates);
                    for update in &updates {
                        if update.state == MemberState::Dead {
                            let gateway = update.vm.clone();
                            self.route(RouterEvent::GatewayGone { gateway });
                        }
                    }
                    ControlStep::RosterChanged
                }
                MembershipEffect::Partners(partners) => ControlStep::Partners(partners),
                MembershipEffect::DomainDown(domain) => {
                    self.log.warn("domain_down", &[("lost", &domain)]);
                    ControlStep::Count(Counter::Event("domains_lost"))
                }
                MembershipEffect::DomainUp(domain) => {
                    self.log.info("domain_up", &[("back", &domain)]);
                    ControlStep::Count(Counter::Event("domains_back"))
                }
                MembershipEffect::RumorNew(rumor) => ControlStep::RumorNew(rumor),
                MembershipEffect::Count(counter) => ControlStep::Count(counter),
                MembershipEffect::Note(note) => ControlStep::Note(note),
            };
            self.steps.push_back(step);
        }
    }

    fn log_members(&self, updates: &[MemberUpdate]) {
        for update in updates {
            let state = format!("{:?}", update.state).to_lowercase();
            self.log.info("member", &[("member", &update.vm), ("state", &state)]);
        }
    }

    fn tell_catalogue(&mut self, now: Now, event: CatalogueEvent) {
        let mut effects = Vec::new();
        self.catalogue.handle(now, event, &mut effects);
        let mut changed = false;
        for effect in effects {
            let step = match effect {
                CatalogueEffect::Call(call) => {
                    ControlStep::Store { user: StoreUser::Catalogue, call }
                }
                CatalogueEffect::Send { to, message } => {
                    ControlStep::ToGateway { to, message: LinkMessage::Gossip(message) }
                }
                CatalogueEffect::SendSidecar { to, entries } => {
                    ControlStep::ToSidecar { to, message: SidecarMessage::Entries(entries) }
                }
                CatalogueEffect::Adopted { .. } => {
                    changed = true;
                    ControlStep::Count(Counter::Event("entries_adopted"))
                }
                CatalogueEffect::Invalid { key, version, faults, .. } => {
                    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                    let faults = faults.join("; ");
                    self.log.warn(
                        "entry_invalid",
                        &[("entry", &key.name), ("version", &version), ("faults", &faults)],
                    );
                    ControlStep::Count(Counter::Refused(RefusalReason::InvalidEntry))
                }
                CatalogueEffect::Ready => {
                    self.log.info("catalogue_ready", &[]);
                    changed = true;
                    ControlStep::Count(Counter::Event("catalogue_ready"))
                }
                CatalogueEffect::Surveyed { survey, report } => {
                    self.operators.surveyed(survey, &report);
                    ControlStep::Count(Counter::Event("surveys"))
                }
                CatalogueEffect::Count(counter) => ControlStep::Count(counter),
                CatalogueEffect::Note(note) => ControlStep::Note(note),
            };
            self.steps.push_back(step);
        }
        if changed {
            self.steps.push_back(ControlStep::EntriesChanged);
        }
    }

    fn tell_placement(&mut self, now: Now, event: PlacementEvent) {
        let mut effects = Vec::new();
        self.placement.handle(now, event, &mut effects);
        for effect in effects {
            match effect {
                PlacementEffect::Call(call) => {
                    self.steps.push_back(ControlStep::Store { user: StoreUser::Placement, call });
                }
                PlacementEffect::Order(order) => {
                    let to = order.vm.clone();
                    let message = SidecarMessage::Order(order);
                    self.steps.push_back(ControlStep::ToSidecar { to, message });
                }
                PlacementEffect::WantPermit { epoch, order, vm, model, version } => {
                    self.platform.want_permit(epoch, order, vm, model, version);
                }
                PlacementEffect::EpochKnown(epoch) => {
                    self.tell_placement_holder(now, epoch);
                    for to in self.links.linked(NodeRole::Sidecar) {
                        let message = SidecarMessage::PlacementEpoch(epoch);
                        self.steps.push_back(ControlStep::ToSidecar { to, message });
                    }
                }
                PlacementEffect::TellEpoch { vm, epoch } => {
                    let message = SidecarMessage::PlacementEpoch(epoch);
                    self.steps.push_back(ControlStep::ToSidecar { to: vm, message });
                }
                PlacementEffect::Count(counter) => self.metrics.count(counter),
                PlacementEffect::Note(note) => self.notes.record(now, note),
            }
        }
    }

    /// Reports and outcomes of orders go to the holder of the lease.
    fn tell_placement_holder(&mut self, now: Now, epoch: Epoch) {
        if self.placement.valid_epoch(now) != Some(epoch) {
            return;
        }
        let Ok(value) = codec::encode(&self.vm) else { return };
        let topic = RumorTopic::PlacementHolder;
        let rumor = Rumor { topic, version: epoch.0, value: value.into() };
        let event = MembershipEvent::RumorLocal { rumor, urgent: true };
        self.steps.push_back(ControlStep::Member(event));
    }

    fn tell_account_use(&mut self, at: Now, usage: &AccountUse) {
        let Ok(value) = codec::encode(usage) else { return };
        let topic = RumorTopic::AccountUse(usage.account.clone(), self.vm.clone());
        let rumor = Rumor { topic, version: at.wall.0, value: value.into() };
        let event = MembershipEvent::RumorLocal { rumor, urgent: false };
        self.steps.push_back(ControlStep::Member(event));
    }

    fn roster_changed(&mut self, now: Now) {
        let roster = self.members.roster();
        let partners = self.members.partners();
        if roster != self.roster {
            self.roster = roster.clone();
            let gateways = roster.len() as u32;
            self.route(RouterEvent::GatewayCount(gateways));
            self.links.balance(&roster);
        }
        self.set_list_pace();
        self.with_shards(|shards, steps, reads| shards.roster_changed(now, &roster, steps, reads));
        let candidates = notch_membership::placement_candidates(&roster, PLACEMENT_CANDIDATES);
        let rank = candidates.iter().position(|vm| *vm == self.vm).map(|rank| rank as u32);
        self.steps.push_back(ControlStep::Placement(PlacementEvent::Prefer(rank)));
        let event = CatalogueEvent::Members { roster, partners };
        self.steps.push_back(ControlStep::Catalogue(event));
    }

    /// A few gateways of each domain read the VM list often and tell the others of VMs that are
    /// leaving; if all did, the list itself would take most of a node's control traffic.
    fn set_list_pace(&self) {
        let watchers = watchers_of(&self.domain, &self.roster, LIST_WATCHERS);
        self.list_pace.set_often(watchers.is_empty() || watchers.contains(&self.vm));
    }

    fn partners_changed(&mut self, now: Now, partners: Vec<VmName>) {
        let address = |vm: VmName| {
            let address = self.members.address_of(&vm);
            (vm, address)
        };
        let partners = partners.into_iter().map(address).collect();
        self.links.set_partners(partners);
        self.roster_changed(now);
    }

    fn take_rumor(&mut self, now: Now, rumor: Rumor) {
        match &rumor.topic {
            RumorTopic::ShardOwner(_) | RumorTopic::ShardBacklog(_) => {
                self.shards.rumor(now, &rumor);
            }
            RumorTopic::Quarantine(fingerprint) => {
                let fingerprints = vec![*fingerprint];
                self.route(RouterEvent::QuarantineSeen(fingerprints.clone()));
                for to in self.links.linked(NodeRole::Sidecar) {
                    let message = SidecarMessage::Quarantined(fingerprints.clone());
                    self.steps.push_back(ControlStep::ToSidecar { to, message });
                }
            }
            RumorTopic::VmLeaving(vm) if !self.listed_leaving.contains(vm) => {
                self.listed_leaving.push(vm.clone());
                self.mark_leaving();
            }
            RumorTopic::Suspect(fingerprint, vm) => {
                let alone = codec::decode(&rumor.value).unwrap_or(false);
                let (fingerprint, vm) = (*fingerprint, vm.clone());
                self.route(RouterEvent::SuspectSeen { fingerprint, vm, alone });
                for to in self.links.linked(NodeRole::Sidecar) {
                    let message = SidecarMessage::Suspected(vec![fingerprint]);
                    self.steps.push_back(ControlStep::ToSidecar { to, message });
                }
            }
            RumorTopic::AccountUse(_, gateway) if *gateway != self.vm => {
                if let Ok(usage) = codec::decode::<AccountUse>(&rumor.value) {
                    let gateway = gateway.clone();
                    self.route(RouterEvent::AccountRumor { gateway, usage });
                }
            }
            _ => {}
        }
    }

    /// Hands the catalogue in force to every part that goes by it.
    fn entries_changed(&mut self) {
        let table = self.catalogue.table();
        self.view.set(entries_view::traffic_view(table, self.catalogue.is_ready()));
        let targets = entries_view::target_policies(table);
        let accounts = entries_view::account_limits(table);
        let models = entries_view::models_wanted(table);
        let leaving = table.leaving_vms();
        let jobs = entries_view::job_policy(table);
        self.steps.extend([
            ControlStep::Route(RouterEvent::TargetsChanged(targets)),
            ControlStep::Route(RouterEvent::AccountsChanged(accounts)),
            ControlStep::EveryService(ServiceEvent::Policy(jobs)),
            ControlStep::Placement(PlacementEvent::CatalogueModels(models)),
            ControlStep::Member(MembershipEvent::LeavingMarked(leaving)),
        ]);
        self.mark_leaving();
    }

    /// Drains sidecars that an operator's entry or the VM list names, and takes it back for those
    /// that were named before and no longer are.
    pub(super) fn mark_leaving(&mut self) {
        let mut leaving = self.catalogue.table().leaving_vms();
        leaving.extend(self.listed_leaving.iter().cloned());
        let mut back: Vec<VmName> =
            self.drained.iter().filter(|vm| !leaving.contains(vm)).cloned().collect();
        back.sort();
        for vm in back {
            self.drained.remove(&vm);
            let event = PlacementEvent::TargetLeaving { vm: vm.clone(), leaving: false };
            self.steps.push_back(ControlStep::Placement(event));
            self.route(RouterEvent::SidecarStaying { vm });
        }
        for vm in leaving {
            if self.drained.insert(vm.clone()) {
                self.drain_sidecar(&vm);
            }
        }
    }

    fn drain_sidecar(&mut self, vm: &VmName) {
        self.route(RouterEvent::SidecarLeaving { vm: vm.clone() });
        let event = PlacementEvent::TargetLeaving { vm: vm.clone(), leaving: true };
        self.steps.push_back(ControlStep::Placement(event));
        let message = SidecarMessage::Drain;
        self.steps.push_back(ControlStep::ToSidecar { to: vm.clone(), message });
    }

    /// Spreads what the VM list says of leaving sidecars, once for each.
    fn tell_leaving(&mut self) {
        for vm in &self.listed_leaving {
            if self.drained.contains(vm) {
                continue;
            }
            let topic = RumorTopic::VmLeaving(vm.clone());
            let rumor = Rumor { topic, version: 1, value: Payload::default() };
            let event = MembershipEvent::RumorLocal { rumor, urgent: true };
            self.steps.push_back(ControlStep::Member(event));
        }
    }

    fn take_vms(&mut self, vms: Vec<VmRecord>) {
        let mut sidecars = Vec::new();
        let mut gateways = Vec::new();
        self.listed_leaving.clear();
        for record in vms {
            let leaving = record.state == VmState::Leaving;
            match record.role {
                VmRole::Entry => gateways.push(ListedVm {
                    vm: record.vm,
                    address: record.address,
                    domain: record.domain,
                    leaving,
                }),
                VmRole::Target => {
                    let Ok(address) = record.address.parse() else { continue };
                    if leaving {
                        self.listed_leaving.push(record.vm.clone());
                    }
                    sidecars.push(ListedSidecar { vm: record.vm, address });
                }
            }
        }
        for known in self.links.listed() {
            let listed = sidecars.iter().any(|sidecar| sidecar.vm == known.vm);
            let linked = self.links.is_linked(&known.vm);
            if !listed && !linked {
                let vm = known.vm.clone();
                self.steps.push_back(ControlStep::Route(RouterEvent::SidecarGone { vm }));
            }
        }
        self.tell_leaving();
        self.mark_leaving();
        if self.links.set_sidecars(sidecars) {
            self.links.balance(&self.roster);
        }
        self.steps.push_back(ControlStep::Member(MembershipEvent::VmListed(gateways)));
    }

    /// Leaves gracefully: new work is refused, shards are handed over, callers get their answers.
    fn leave(&mut self, now: Now, done: Sender<()>) {
        self.log.info("leaving", &[]);
        self.metrics.set(Gauge::Leaving, 1);
        self.leaving = Some(done);
        self.steps.push_back(ControlStep::Route(RouterEvent::Leave));
        self.steps.push_back(ControlStep::Member(MembershipEvent::Leave));
        self.steps.push_back(ControlStep::Placement(PlacementEvent::Leave));
        self.with_shards(|shards, steps, reads| shards.leave(now, steps, reads));
    }

    fn finish_leaving(&mut self) {
        let quiet = self.online.waiting() == 0 && self.shards.owned() == 0;
        if quiet && let Some(done) = &self.leaving {
            let _ = done.try_send(());
        }
    }

    fn set_gauges(&self) {
        let links =
            [(Gauge::SidecarLinks, NodeRole::Sidecar), (Gauge::GatewayLinks, NodeRole::Gateway)];
        for (gauge, role) in links {
            self.metrics.set(gauge, self.links.count(role) as i64);
        }
        self.metrics.set(Gauge::ShardsOwned, self.shards.owned() as i64);
        self.metrics.set(Gauge::MembersAlive, self.roster.len() as i64);
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

/// How long to wait after the weight store gave no permit.
fn permit_pause(failure: PermitFailure) -> Duration {
    match failure {
        PermitFailure::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
        PermitFailure::NoSuchVersion => NO_VERSION_PAUSE,
        PermitFailure::Unavailable | PermitFailure::Malformed => PERMIT_PAUSE,
    }
}

/// Gateways of each failure domain that read the VM list often.
const LIST_WATCHERS: usize = 3;
/// Time between two settings of the gauges.
const GAUGE_PERIOD: Duration = Duration::from_millis(200);
/// Pause after a permit asked for without an answer.
const PERMIT_PAUSE: Duration = Duration::from_secs(2);
/// Pause after the weight store said that it has no such version.
const NO_VERSION_PAUSE: Duration = Duration::from_secs(60);
/// Gateways ranked for the placement lease.
const PLACEMENT_CANDIDATES: usize = 3;
