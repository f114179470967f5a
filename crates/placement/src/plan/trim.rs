//! Takes copies away that nobody wants any more.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    census::{CopyStanding, ModelCensus},
    model::ModelWanted,
    orders::MoveReason,
    plan::{PlanMemory, PlanPass, candidate::tie_break},
};

impl PlanPass<'_> {
    /// Unloads copies above what each model should have, once that has lasted.
    pub(crate) fn trim(&mut self) {
        for wanted in self.wanted.values() {
            while self.change_room() && self.trim_one(wanted) {}
        }
    }

    fn trim_one(&mut self, wanted: &ModelWanted) -> bool {
        let census = self.census(wanted);
        let over = census.serving() > self.want(&wanted.model);
        let since = &mut self.memory.surplus_since;
        let since = PlanMemory::lasting(since, &wanted.model, self.now, over);
        let lasted = since.is_some_and(|s| self.now.mono.since(s) >= self.settings.move_delay);
        let Some(vm) = self.worst_copy(wanted, &census).filter(|_| over) else { return false };
        if !lasted && !self.is_kept_for_other(&vm, wanted) {
            return false;
        }
        let reason = match wanted.replicas {
            0 => MoveReason::Retired,
            _ => MoveReason::Surplus,
        };
        let action = OrderAction::Unload { model: wanted.model.clone() };
        self.order(&vm, action, &wanted.model, reason)
    }

    /// Whether another model waits for the slot.
    fn is_kept_for_other(&self, vm: &VmName, wanted: &ModelWanted) -> bool {
        let target = self.fleet.get(vm);
        target.is_some_and(|target| target.is_reserved_for_other(self.now, &wanted.model))
    }

    /// The copy to give up first: one whose slot another model waits for, an outdated one, else in the failure domain with the most.
    fn worst_copy(&self, wanted: &ModelWanted, census: &ModelCensus) -> Option<VmName> {
        let by_domain = census.by_domain();
        let removable = census.copies.iter().filter(|copy| {
            copy.standing == CopyStanding::Confirmed
                && !self.orders.open.contains_key(&copy.vm)
                && census.can_spare(&copy.vm, wanted.floor())
        });
        let worst = removable.max_by_key(|copy| {
            let copies = by_domain.get(&copy.domain).copied().unwrap_or(0);
            let awaited = self.is_kept_for_other(&copy.vm, wanted);
            (awaited, !copy.current, copies, tie_break(&wanted.model, &copy.vm))
        });
        worst.map(|copy| copy.vm.clone())
    }
}
