//! Spreads each model's copies over the failure domains.

use std::collections::BTreeMap;

use notch_types::prelude::*;

use crate::{
    census::ModelCensus,
    model::ModelWanted,
    orders::MoveReason,
    plan::{PlanMemory, PlanPass},
};

/// Two domains differ too much from this difference on: a smaller one can't be mended.
const SKEW: u32 = 2;
/// A swap must lower the sum of the squares of both models' copies a domain, so that no chain of
/// swaps comes back to where it began: one model's gap must exceed the other's by more than this.
const SWAP_GAIN: i64 = 2;

impl PlanPass<'_> {
    /// Moves at most one copy of each badly spread model, new one first.
    pub(crate) fn spread(&mut self) {
        for wanted in self.wanted.values().filter(|wanted| wanted.replicas > 0) {
            if self.load_room() && self.change_room() {
                self.spread_one(wanted);
            }
        }
    }

    fn spread_one(&mut self, wanted: &ModelWanted) {
        let census = self.census(wanted);
        let moving = self.orders.open.values().any(|open| open.model == wanted.model);
        let settled = !moving
            && self.reserved_for(&wanted.model) == 0
            && census.serving() == self.want(&wanted.model)
            && census.copies.iter().all(|copy| copy.current);
        let counts = self.domain_counts(&census);
        let most = counts.values().max().copied().unwrap_or(0);
        let least = counts.values().min().copied().unwrap_or(0);
        let skewed = settled && most >= least + SKEW;
        let since = &mut self.memory.skew_since;
        let since = PlanMemory::lasting(since, &wanted.model, self.now, skewed);
        if since.is_none_or(|since| self.now.mono.since(since) < self.settings.move_delay) {
            return;
        }
        let to_free = self.candidate(wanted, &census).filter(|vm| {
            let domain = self.fleet.get(vm).map(|target| &target.report.domain);
            let copies = domain.and_then(|domain| counts.get(domain)).copied().unwrap_or(0);
            most >= copies + SKEW
        });
        match to_free {
            Some(vm) => {
                self.load_at(&vm, wanted, MoveReason::Spread);
            }
            None => self.swap_in(wanted, &counts),
        }
    }

    /// Copies in every domain that has a usable target, those without a copy included.
    fn domain_counts(&self, census: &ModelCensus) -> BTreeMap<DomainName, u32> {
        let usable = self.fleet.targets.values().filter(|target| target.is_usable());
        let mut counts: BTreeMap<DomainName, u32> =
            usable.map(|target| (target.report.domain.clone(), 0)).collect();
        for (domain, copies) in census.by_domain() {
            counts.entry(domain).and_modify(|count| *count = copies);
        }
        counts
    }

    /// No slot is free where a copy is missing: another model moves aside, or gives a slot up
    /// there and gets one back where this model has too many. Only if the two together are spread
    /// better then.
    fn swap_in(&mut self, wanted: &ModelWanted, counts: &BTreeMap<DomainName, u32>) {
        let Some((rich, most)) = counts.iter().max_by_key(|(_, count)| **count) else { return };
        for (poor, count) in counts.iter().filter(|(_, count)| **count + SKEW <= *most) {
            let gap = i64::from(*most) - i64::from(*count);
            if self.make_room(wanted, Some((poor, gap - SWAP_GAIN))) {
                return;
            }
            let Some((vm, giver)) = self.swap_partner(wanted, rich, poor, gap) else { continue };
            self.unload_for(&vm, &giver, wanted, MoveReason::Spread);
            return;
        }
    }

    fn swap_partner(
        &self,
        wanted: &ModelWanted,
        rich: &DomainName,
        poor: &DomainName,
        gap: i64,
    ) -> Option<(VmName, TargetName)> {
        self.wanted.values().filter(|giver| giver.model != wanted.model).find_map(|giver| {
            let given = self.census(giver);
            let worse = difference(&given, rich, poor);
            let settled = given.serving() >= self.want(&giver.model);
            if gap <= worse + SWAP_GAIN || !settled || !self.has_place(giver, wanted, rich) {
                return None;
            }
            let copy = given.copies.iter().find(|copy| {
                copy.domain == *poor
                    && self.may_displace(&copy.vm, copy.standing, giver, &given, wanted)
            });
            copy.map(|copy| (copy.vm.clone(), giver.model.clone()))
        })
    }

    /// Whether a target in `domain` holds `wanted` and not yet `giver`.
    fn has_place(&self, giver: &ModelWanted, wanted: &ModelWanted, domain: &DomainName) -> bool {
        self.fleet.targets.values().any(|target| {
            target.report.domain == *domain
                && target.is_usable()
                && target.holds(&wanted.model)
                && !target.holds(&giver.model)
        })
    }
}

/// How many more copies one domain has than the other.
pub(crate) fn difference(census: &ModelCensus, one: &DomainName, other: &DomainName) -> i64 {
    let counts = census.by_domain();
    let count = |domain| i64::from(counts.get(domain).copied().unwrap_or(0));
    count(one) - count(other)
}
