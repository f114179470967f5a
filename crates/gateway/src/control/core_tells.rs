//! What the control state tells its machines, and what they want done.

use std::time::Duration;

use notch_catalogue::{CatalogueEffect, CatalogueEvent};
use notch_jobs::prelude::ServiceEvent;
use notch_link::codec;
use notch_membership::{MembershipEffect, MembershipEvent};
use notch_messages::prelude::*;
use notch_placement::prelude::{PlacementEffect, PlacementEvent};
use notch_routing::{AccountUse, RouterEvent};
use notch_types::prelude::*;

use crate::control::{core::ControlCore, entries_view, event::StoreUser, step::ControlStep};

impl ControlCore {
    pub(super) fn tell_members(&mut self, now: Now, event: MembershipEvent) {
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

    pub(super) fn log_members(&self, updates: &[MemberUpdate]) {
        for update in updates {
            let state = format!("{:?}", update.state).to_lowercase();
            self.log.info("member", &[("member", &update.vm), ("state", &state)]);
        }
    }

    pub(super) fn tell_catalogue(&mut self, now: Now, event: CatalogueEvent) {
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

    pub(super) fn tell_placement(&mut self, now: Now, event: PlacementEvent) {
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
                    self.tell_placement_holder(epoch);
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

    /// Reports and outcomes of orders go to the holder of the lease, also while it may not order:
    /// the epoch is told once, and a holder that learnt late of its own write would else get the
    /// reports of its own links only, and count all other targets as lost.
    pub(super) fn tell_placement_holder(&mut self, epoch: Epoch) {
        if self.placement.held_epoch() != Some(epoch) {
            return;
        }
        let Ok(value) = codec::encode(&self.vm) else { return };
        let topic = RumorTopic::PlacementHolder;
        let rumor = Rumor { topic, version: epoch.0, value: value.into() };
        let event = MembershipEvent::RumorLocal { rumor, urgent: true };
        self.steps.push_back(ControlStep::Member(event));
    }

    pub(super) fn tell_account_use(&mut self, at: Now, usage: &AccountUse) {
        let Ok(value) = codec::encode(usage) else { return };
        let topic = RumorTopic::AccountUse(usage.account.clone(), self.vm.clone());
        let rumor = Rumor { topic, version: at.wall.0, value: value.into() };
        let event = MembershipEvent::RumorLocal { rumor, urgent: false };
        self.steps.push_back(ControlStep::Member(event));
    }

    pub(super) fn take_rumor(&mut self, now: Now, rumor: Rumor) {
        match &rumor.topic {
            RumorTopic::ShardOwner(_) | RumorTopic::ShardBacklog(_) => {
                self.with_shards(|shards, steps, reads| shards.rumor(now, &rumor, steps, reads));
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
                self.hear_suspect(*fingerprint, vm.clone(), alone);
            }
            RumorTopic::SuspectRun(fingerprint, attempt) => {
                if let Ok(left_ms) = codec::decode::<Option<u64>>(&rumor.value) {
                    let (fingerprint, attempt) = (*fingerprint, *attempt);
                    let left = left_ms.map(Duration::from_millis);
                    self.route(RouterEvent::SuspectRunSeen { fingerprint, attempt, left });
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

    /// Tells the linked gateways of a crash; those without a link hear it by rumour.
    pub(super) fn tell_suspect(
        &mut self,
        now: Now,
        fingerprint: Fingerprint,
        vm: VmName,
        alone: bool,
    ) {
        let gateways = self.links.linked(NodeRole::Gateway);
        if gateways.is_empty() {
            return self.route(RouterEvent::SuspicionTold { fingerprint });
        }
        let call = self.suspect_calls.begin(now.mono, fingerprint, &gateways);
        for to in gateways {
            let vm = vm.clone();
            let message = LinkMessage::SuspectTell { call, fingerprint, vm, alone };
            self.steps.push_back(ControlStep::ToGateway { to, message });
        }
    }

    /// Another gateway tells of a crash. The router knows it before anything that is told afterwards.
    pub(super) fn hear_suspect(&mut self, fingerprint: Fingerprint, vm: VmName, alone: bool) {
        self.route(RouterEvent::SuspectSeen { fingerprint, vm, alone });
        for to in self.links.linked(NodeRole::Sidecar) {
            let message = SidecarMessage::Suspected(vec![fingerprint]);
            self.steps.push_back(ControlStep::ToSidecar { to, message });
        }
    }

    /// All linked gateways know of these.
    pub(super) fn suspicions_told(&mut self, fingerprints: &[Fingerprint]) {
        for fingerprint in fingerprints {
            self.route(RouterEvent::SuspicionTold { fingerprint: *fingerprint });
        }
    }

    /// Hands the catalogue in force to every part that goes by it.
    pub(super) fn entries_changed(&mut self) {
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
}
