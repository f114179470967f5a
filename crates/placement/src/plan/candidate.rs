//! Where the next copy of a model fits best.

use std::collections::BTreeMap;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    census::ModelCensus, fleet::TargetState, model::ModelWanted, orders::MoveReason, plan::PlanPass,
};

impl PlanPass<'_> {
    /// The best target with a free slot for another copy: in the failure domain with the fewest
    /// copies, of these in the one with the most free slots, then the emptiest target.
    pub(crate) fn candidate(&self, wanted: &ModelWanted, census: &ModelCensus) -> Option<VmName> {
        let mut by_domain = census.by_domain();
        for domain in self.domains_kept_for(&wanted.model) {
            *by_domain.entry(domain).or_default() += 1;
        }
        let free = self.free_by_domain();
        let fitting = self.fleet.targets.iter().filter(|(vm, target)| {
            target.free_slots() > 0 && self.could_hold(vm, target, wanted, None)
        });
        let best = fitting.min_by_key(|(vm, target)| {
            let domain = &target.report.domain;
            let copies = by_domain.get(domain).copied().unwrap_or(0);
            let domain_free = free.get(domain).copied().unwrap_or(0);
            let other_role = target.report.role != wanted.role;
            let held = target.report.models.len();
            let tie = tie_break(&wanted.model, vm);
            (copies, u32::MAX - domain_free, other_role, held, tie)
        });
        best.map(|(vm, _)| vm.clone())
    }

    /// Whether a target could hold a copy if it had a free slot, once `giver` is gone from it.
    pub(crate) fn could_hold(
        &self,
        vm: &VmName,
        target: &TargetState,
        wanted: &ModelWanted,
        giver: Option<&TargetName>,
    ) -> bool {
        target.is_usable()
            && target.is_confirmed(self.orders.epoch())
            && !self.orders.open.contains_key(vm)
            && !target.holds(&wanted.model)
            && !target.is_paused(self.now, &wanted.model)
            && !target.is_reserved_for_other(self.now, &wanted.model)
            && self.role_fits(target, wanted, giver)
    }

    /// A target has one role: it can change only while it holds nothing of another role.
    fn role_fits(
        &self,
        target: &TargetState,
        wanted: &ModelWanted,
        giver: Option<&TargetName>,
    ) -> bool {
        let alike = |model: &TargetName| {
            Some(model) == giver || self.wanted.get(model).is_some_and(|w| w.role == wanted.role)
        };
        let others = target.report.models.iter();
        target.report.role == wanted.role || others.map(|held| &held.model).all(alike)
    }

    /// Loads a copy at `vm`, or first gives the target the role that the model needs.
    pub(crate) fn load_at(
        &mut self,
        vm: &VmName,
        wanted: &ModelWanted,
        reason: MoveReason,
    ) -> bool {
        let role_fits = self.fleet.get(vm).is_some_and(|t| t.report.role == wanted.role);
        if role_fits {
            return self.order(vm, wanted.load_action(), &wanted.model, reason);
        }
        let action = OrderAction::Role { role: wanted.role.clone() };
        let ordered = self.order(vm, action, &wanted.model, MoveReason::RoleFirst);
        if ordered {
            self.reserve(vm, &wanted.model);
        }
        ordered
    }

    /// Keeps a slot for a model while it's made ready.
    pub(crate) fn reserve(&mut self, vm: &VmName, model: &TargetName) {
        let until = self.now.mono + self.settings.reserve_for;
        if let Some(target) = self.fleet.get_mut(vm) {
            target.reserved = Some((model.clone(), until));
        }
    }

    fn free_by_domain(&self) -> BTreeMap<DomainName, u32> {
        let mut free = BTreeMap::new();
        for (vm, target) in &self.fleet.targets {
            if target.is_usable() && !self.orders.open.contains_key(vm) {
                *free.entry(target.report.domain.clone()).or_default() += target.free_slots();
            }
        }
        free
    }
}

/// Spreads equal choices over the targets, alike on every node.
pub(crate) fn tie_break(model: &TargetName, vm: &VmName) -> u64 {
    stable_hash64(&[b"placement", model.as_str().as_bytes(), vm.as_str().as_bytes()])
}
