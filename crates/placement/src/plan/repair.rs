//! Loads copies that are missing, and makes room for them.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    census::{CopyStanding, ModelCensus},
    model::ModelWanted,
    orders::{MoveReason, OpenOrder},
    plan::{PlanPass, candidate::tie_break, spread::difference},
};

impl PlanPass<'_> {
    /// Loads missing copies, for the worst served model first, as far as the bounds allow: a
    /// whole domain lost would otherwise ask the weight store for everything at once.
    pub(crate) fn repair(&mut self) {
        self.use_reserved();
        let mut open: Vec<TargetName> = self.wanted.keys().cloned().collect();
        while let Some(model) = self.worst_served(&open) {
            if !self.add_copy(&model) {
                open.retain(|name| *name != model);
            }
        }
    }

    /// Loads models into the slots that were kept for them.
    fn use_reserved(&mut self) {
        let ready = self.fleet.targets.iter().filter(|(vm, target)| {
            target.is_usable() && target.free_slots() > 0 && !self.orders.open.contains_key(vm)
        });
        let kept = ready.filter_map(|(vm, target)| Some((vm.clone(), target.reserved.clone()?.0)));
        for (vm, model) in kept.collect::<Vec<_>>() {
            let Some(wanted) = self.wanted.get(&model) else { continue };
            let fits = self.fleet.get(&vm).is_some_and(|t| self.could_hold(&vm, t, wanted, None));
            if fits && self.load_room() {
                let few = self.census(wanted).present(wanted.floor()) < self.want(&model);
                let reason = if few { MoveReason::Repair } else { MoveReason::Spread };
                self.load_at(&vm, wanted, reason);
            }
        }
    }

    /// Copies still missing, of those not on their way.
    fn missing(&self, model: &TargetName) -> u32 {
        let Some(wanted) = self.wanted.get(model) else { return 0 };
        let present = self.census(wanted).present(wanted.floor());
        self.want(model).saturating_sub(present + self.reserved_for(model))
    }

    /// Targets being made ready for a model.
    pub(crate) fn reserved_for(&self, model: &TargetName) -> u32 {
        self.domains_kept_for(model).count() as u32
    }

    /// The failure domain of each target being made ready for a model. They count as copies where
    /// the next one is placed: engines that change their role first would else all be chosen in
    /// the domain with the most free slots, and its loss would take every copy.
    pub(crate) fn domains_kept_for(&self, model: &TargetName) -> impl Iterator<Item = DomainName> {
        let kept = self.fleet.targets.iter().filter(|(vm, target)| {
            let loading = self.orders.open.get(*vm).is_some_and(|open| open.is_load());
            target.is_reserved_for(self.now, model) && !target.holds(model) && !loading
        });
        kept.map(|(_, target)| target.report.domain.clone())
    }

    fn worst_served(&self, models: &[TargetName]) -> Option<TargetName> {
        let missing = models.iter().filter(|model| self.missing(model) > 0);
        let worst = missing.min_by_key(|model| {
            let present = self.wanted.get(*model).map_or(0, |wanted| {
                let present = self.census(wanted).present(wanted.floor());
                (u64::from(present >= wanted.floor()) << 32)
                    + u64::from(present) * 1_000 / u64::from(self.want(model).max(1))
            });
            (present, (*model).clone())
        });
        worst.cloned()
    }

    /// One step towards another copy; false when none can be made in this plan.
    fn add_copy(&mut self, model: &TargetName) -> bool {
        if !self.load_room() {
            return false;
        }
        let Some(wanted) = self.wanted.get(model) else { return false };
        let census = self.census(wanted);
        let below = census.present(wanted.floor()) < wanted.floor();
        let reason = if below { MoveReason::BelowMinimum } else { MoveReason::Repair };
        if let Some(vm) = self.candidate(wanted, &census) {
            return self.load_at(&vm, wanted, reason);
        }
        if self.change_room() && self.displace(wanted, &census) {
            return true;
        }
        if self.make_room(wanted, None) {
            return false;
        }
        let detail = "no target has a slot to give".to_owned();
        self.blocked(model, "repair_waits", detail);
        false
    }

    /// Takes a copy that a better served model has too many of off a target, for this model: where
    /// this one has few copies in the failure domain and the other one many, so that neither's
    /// spread suffers and the slot isn't asked back.
    fn displace(&mut self, wanted: &ModelWanted, census: &ModelCensus) -> bool {
        let by_domain = census.by_domain();
        let mut best: Option<((i64, u64), VmName, TargetName)> = None;
        for giver in self.wanted.values().filter(|giver| giver.model != wanted.model) {
            let given = self.census(giver);
            if given.serving() <= self.want(&giver.model) {
                continue;
            }
            let given_by_domain = given.by_domain();
            for copy in &given.copies {
                if !self.may_displace(&copy.vm, copy.standing, giver, &given, wanted) {
                    continue;
                }
                let taken = by_domain.get(&copy.domain).copied().unwrap_or(0);
                let given = given_by_domain.get(&copy.domain).copied().unwrap_or(0);
                let balance = i64::from(taken) - i64::from(given);
                let rank = (balance, tie_break(&wanted.model, &copy.vm));
                if best.as_ref().is_none_or(|(known, _, _)| rank < *known) {
                    best = Some((rank, copy.vm.clone(), giver.model.clone()));
                }
            }
        }
        let Some((_, vm, giver)) = best else { return false };
        self.unload_for(&vm, &giver, wanted, MoveReason::Displaced)
    }

    /// Unloads `giver` at `vm` and keeps the slot for `wanted`.
    pub(crate) fn unload_for(
        &mut self,
        vm: &VmName,
        giver: &TargetName,
        wanted: &ModelWanted,
        reason: MoveReason,
    ) -> bool {
        let action = OrderAction::Unload { model: giver.clone() };
        let ordered = self.order(vm, action, giver, reason);
        if ordered {
            self.reserve(vm, &wanted.model);
        }
        ordered
    }

    pub(crate) fn may_displace(
        &self,
        vm: &VmName,
        standing: CopyStanding,
        giver: &ModelWanted,
        given: &ModelCensus,
        wanted: &ModelWanted,
    ) -> bool {
        let without = Some(&giver.model);
        let fits =
            self.fleet.get(vm).is_some_and(|target| self.could_hold(vm, target, wanted, without));
        standing == CopyStanding::Confirmed && fits && given.can_spare(vm, giver.floor())
    }

    /// Where every free slot is at a target that has the model already, or in another failure
    /// domain: moves another model's copy there, its new one first, so that its old one can go
    /// from a target that this model needs. `within` limits that to a domain, and to moves that
    /// spread the other model less by less than a gain.
    pub(crate) fn make_room(
        &mut self,
        wanted: &ModelWanted,
        within: Option<(&DomainName, i64)>,
    ) -> bool {
        let displaced = |open: &OpenOrder| open.is_load() && open.reason == MoveReason::Displaced;
        if self.orders.open.values().any(displaced) {
            return true;
        }
        let mut movers = self.wanted.values().filter(|mover| mover.model != wanted.model);
        let found = movers.find_map(|mover| {
            let (to, census) = self.place_aside(mover)?;
            let there = &self.fleet.get(&to)?.report.domain;
            let from = self.fleet.targets.iter().find(|(vm, target)| {
                let domain = &target.report.domain;
                let fits = within.is_none_or(|(wanted_domain, gain)| {
                    domain == wanted_domain && spread_loss(&census, there, domain) < gain
                });
                fits && target.holds(&mover.model)
                    && target.free_slots() == 0
                    && target.reserved.is_none()
                    && self.could_hold(vm, target, wanted, None)
            });
            Some((from?.0.clone(), to, mover))
        });
        let Some((vm, to, mover)) = found else { return false };
        let ordered = self.load_at(&to, mover, MoveReason::Displaced);
        if ordered {
            self.reserve(&vm, &wanted.model);
        }
        ordered
    }

    /// Where another copy of `mover` can go, if it isn't moving already.
    fn place_aside(&self, mover: &ModelWanted) -> Option<(VmName, ModelCensus)> {
        let census = self.census(mover);
        if census.count(&[CopyStanding::Coming]) > 0 || self.reserved_for(&mover.model) > 0 {
            return None;
        }
        Some((self.candidate(mover, &census)?, census))
    }
}

/// How much worse a model is spread when a copy goes from one domain to another.
fn spread_loss(census: &ModelCensus, to: &DomainName, from: &DomainName) -> i64 {
    match to == from {
        // Within a domain the spread stays, as between domains that differ by one copy.
        true => -1,
        false => difference(census, to, from),
    }
}
