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
        if since.is_none_or(|since| self.now.mono.since(since) < self.settings.move_delay) {
            return false;
        }
        let Some(vm) = self.worst_copy(wanted, &census) else { return false };
        let reason = match wanted.replicas {
            0 => MoveReason::Retired,
            _ => MoveReason::Surplus,
        };
        let action = OrderAction::Unload { model: wanted.model.clone() };
        self.order(&vm, action, &wanted.model, reason)
    }

    /// The copy to give up first: an outdated one, else in the failure domain with the most.
    fn worst_copy(&self, wanted: &ModelWanted, census: &ModelCensus) -> Option<VmName> {
        let by_domain = census.by_domain();
        let removable = census.copies.iter().filter(|copy| {
            let serves = matches!(copy.standing, CopyStanding::Confirmed | CopyStanding::Serving);
            serves
                && !self.orders.open.contains_key(&copy.vm)
                && census.can_spare(&copy.vm, wanted.floor())
        });
        let worst = removable.max_by_key(|copy| {
            let copies = by_domain.get(&copy.domain).copied().unwrap_or(0);
            (!copy.current, copies, tie_break(&wanted.model, &copy.vm))
        });
        worst.map(|copy| copy.vm.clone())
    }
}
