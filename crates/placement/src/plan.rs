//! One plan: the few moves that bring the fleet nearer to what the catalogue wants.

mod candidate;
mod memory;
mod repair;
mod rollout;
mod spread;
mod trim;
mod wants;

use std::collections::BTreeMap;

use notch_messages::prelude::*;
use notch_types::prelude::*;

pub(crate) use self::memory::PlanMemory;
use crate::{
    census::ModelCensus,
    effect::PlacementEffect,
    fleet::FleetView,
    guard::is_safe,
    model::ModelWanted,
    orders::{MoveReason, OrderBook, OrderStage},
    settings::PlannerSettings,
};

/// One plan under way. Each move is written into the order book at once, so that the next one
/// sees its consequences.
pub(crate) struct PlanPass<'a> {
    pub(crate) now: Now,
    pub(crate) settings: &'a PlannerSettings,
    pub(crate) wanted: &'a BTreeMap<TargetName, ModelWanted>,
    /// Copies each model should have, as the slots allow.
    pub(crate) wants: BTreeMap<TargetName, u32>,
    pub(crate) fleet: &'a mut FleetView,
    pub(crate) orders: &'a mut OrderBook,
    pub(crate) memory: &'a mut PlanMemory,
    pub(crate) effects: &'a mut Vec<PlacementEffect>,
}

impl PlanPass<'_> {
    /// Makes the moves, most urgent first.
    pub(crate) fn run(&mut self) {
        self.drop_needless();
        self.repair();
        self.trim();
        self.rollout();
        self.spread();
    }

    pub(crate) fn census(&self, wanted: &ModelWanted) -> ModelCensus {
        ModelCensus::take(wanted, self.fleet, self.orders, self.orders.epoch())
    }

    pub(crate) fn want(&self, model: &TargetName) -> u32 {
        self.wants.get(model).copied().unwrap_or(0)
    }

    pub(crate) fn load_room(&self) -> bool {
        self.open_here(|open| open.is_load()) < self.settings.loads_at_once
    }

    pub(crate) fn change_room(&self) -> bool {
        self.open_here(|open| open.takes_down) < self.settings.changes_at_once
    }

    /// Open orders of a kind at targets that answer: orders at lost targets must not use up the
    /// room that repairs need.
    fn open_here(&self, kind: impl Fn(&crate::orders::OpenOrder) -> bool) -> usize {
        let here = |vm: &VmName| self.fleet.get(vm).is_some_and(|target| target.away.is_none());
        self.orders.open.iter().filter(|(vm, open)| here(vm) && kind(open)).count()
    }

    /// Writes an order down, if it is safe; a load first asks for its permit.
    pub(crate) fn order(
        &mut self,
        vm: &VmName,
        action: OrderAction,
        model: &TargetName,
        reason: MoveReason,
    ) -> bool {
        let Some(target) = self.fleet.get(vm) else { return false };
        if !is_safe(vm, &action, self.wanted, self.fleet, self.orders) {
            return false;
        }
        let takes_down = match &action {
            OrderAction::Load { model, .. } | OrderAction::Unload { model } => target.holds(model),
            OrderAction::Role { .. } => !target.report.models.is_empty(),
        };
        let later = self.now.mono + self.settings.order_timeout;
        let stage = match &action {
            OrderAction::Load { .. } => OrderStage::WantsPermit { ask_at: later },
            _ => OrderStage::Sent { resend_at: later, tries: 1 },
        };
        let open = self.orders.open(vm, action, model, reason, takes_down, stage);
        let effect = match &open.order.action {
            OrderAction::Load { model, version, .. } => PlacementEffect::WantPermit {
                epoch: open.order.epoch,
                order: open.order.order,
                vm: vm.clone(),
                model: model.clone(),
                version: version.clone(),
            },
            _ => PlacementEffect::Order(open.order.clone()),
        };
        self.effects.push(effect);
        self.tell_order(vm, model, reason);
        true
    }

    fn tell_order(&mut self, vm: &VmName, model: &TargetName, reason: MoveReason) {
        let Some(open) = self.orders.open.get(vm) else { return };
        let (code, event) = match &open.order.action {
            OrderAction::Load { .. } => ("load_planned", "placement_loads"),
            OrderAction::Unload { .. } => ("unload_ordered", "placement_unloads"),
            OrderAction::Role { .. } => ("role_ordered", "placement_roles"),
        };
        let (number, epoch) = (open.order.order, open.order.epoch);
        let want = self.want(model);
        let present = self.wanted.get(model).map_or(0, |w| self.census(w).present(w.floor()));
        let detail = format!("order {number} of epoch {epoch}: {present} copies of {want} wanted");
        self.effects.push(PlacementEffect::Count(Counter::Event(event)));
        for subject in [NoteSubject::Target(model.clone()), NoteSubject::Vm(vm.clone())] {
            let note = DecisionNote::new(subject, code, detail.clone());
            self.effects.push(PlacementEffect::Note(note.with_vm(vm).with_reason(reason.code())));
        }
    }

    /// Notes once why a model can't be brought to what is wanted; again only when that changes.
    pub(crate) fn blocked(&mut self, model: &TargetName, code: &'static str, detail: String) {
        if self.memory.blocked.insert(model.clone(), code) == Some(code) {
            return;
        }
        let note = DecisionNote::new(NoteSubject::Target(model.clone()), code, detail);
        self.effects.push(PlacementEffect::Note(note));
    }

    /// Drops loads that wait for a permit and are no longer needed or possible.
    fn drop_needless(&mut self) {
        let unsent = self.orders.open.iter().filter(|(_, open)| !open.is_sent());
        let vms: Vec<VmName> = unsent.map(|(vm, _)| vm.clone()).collect();
        for vm in vms {
            if !self.is_needed(&vm) {
                self.orders.open.remove(&vm);
                self.effects
                    .push(PlacementEffect::Count(Counter::Event("placement_loads_dropped")));
            }
        }
    }

    /// Whether the open load at `vm` still makes sense.
    fn is_needed(&self, vm: &VmName) -> bool {
        let (Some(open), Some(target)) = (self.orders.open.get(vm), self.fleet.get(vm)) else {
            return false;
        };
        let Some(wanted) = self.wanted.get(&open.model) else { return false };
        let census = self.census(wanted);
        let surge =
            matches!(open.reason, MoveReason::Rollout | MoveReason::Spread | MoveReason::Displaced);
        let most = self.want(&open.model) + u32::from(surge);
        let safe = is_safe(vm, &open.order.action, self.wanted, self.fleet, self.orders);
        let fits = open.takes_down || target.free_slots() > 0;
        open.order.action == wanted.load_action()
            && target.is_usable()
            && census.present(wanted.floor()) <= most
            && safe
            && fits
    }
}
