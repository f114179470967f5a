//! What the control state does when the fleet changes: gateways, VMs, leaving.

use async_channel::Sender;
use notch_catalogue::CatalogueEvent;
use notch_membership::{ListedVm, MembershipEvent, watchers_of};
use notch_messages::prelude::*;
use notch_placement::prelude::PlacementEvent;
use notch_platform::{VmRecord, VmRole, VmState};
use notch_routing::RouterEvent;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::control::{core::ControlCore, link_desk::ListedSidecar, step::ControlStep};

/// Gateways ranked for the placement lease.
const PLACEMENT_CANDIDATES: usize = 3;
/// Gateways of each failure domain that read the VM list often.
const LIST_WATCHERS: usize = 3;

impl ControlCore {
    pub(super) fn roster_changed(&mut self, now: Now) {
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
    pub(super) fn set_list_pace(&self) {
        let watchers = watchers_of(&self.domain, &self.roster, LIST_WATCHERS);
        self.list_pace.set_often(watchers.is_empty() || watchers.contains(&self.vm));
    }

    pub(super) fn partners_changed(&mut self, now: Now, partners: Vec<VmName>) {
        let address = |vm: VmName| {
            let address = self.members.address_of(&vm);
            (vm, address)
        };
        let partners = partners.into_iter().map(address).collect();
        self.links.set_partners(partners);
        self.roster_changed(now);
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
            let message = SidecarMessage::Stay;
            self.steps.push_back(ControlStep::ToSidecar { to: vm.clone(), message });
            self.route(RouterEvent::SidecarStaying { vm });
        }
        for vm in leaving {
            if self.drained.insert(vm.clone()) {
                self.drain_sidecar(&vm);
            }
        }
    }

    pub(super) fn drain_sidecar(&mut self, vm: &VmName) {
        self.route(RouterEvent::SidecarLeaving { vm: vm.clone() });
        let event = PlacementEvent::TargetLeaving { vm: vm.clone(), leaving: true };
        self.steps.push_back(ControlStep::Placement(event));
        let message = SidecarMessage::Drain;
        self.steps.push_back(ControlStep::ToSidecar { to: vm.clone(), message });
    }

    /// Spreads what the VM list says of leaving sidecars, once for each.
    pub(super) fn tell_leaving(&mut self) {
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

    pub(super) fn take_vms(&mut self, vms: Vec<VmRecord>) {
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
                let event = PlacementEvent::TargetGone { vm: vm.clone() };
                self.steps.push_back(ControlStep::Placement(event));
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
    pub(super) fn leave(&mut self, now: Now, done: Sender<()>) {
        self.log.info("leaving", &[]);
        self.metrics.set(Gauge::Leaving, 1);
        self.leaving = Some(done);
        self.steps.push_back(ControlStep::Route(RouterEvent::Leave));
        self.steps.push_back(ControlStep::Member(MembershipEvent::Leave));
        self.steps.push_back(ControlStep::Placement(PlacementEvent::Leave));
        self.with_shards(|shards, steps, reads| shards.leave(now, steps, reads));
    }

    pub(super) fn finish_leaving(&mut self) {
        let quiet = self.online.waiting() == 0 && self.shards.owned() == 0;
        if quiet && let Some(done) = &self.leaving {
            let _ = done.try_send(());
        }
    }
}
