//! Brings copies to the version, adapters and role that the catalogue wants, one failure domain
//! at a time.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    census::{CopyStanding, ModelCensus, ModelCopy},
    model::ModelWanted,
    orders::MoveReason,
    plan::PlanPass,
};

impl PlanPass<'_> {
    /// Changes outdated copies, as many at once as each model and domain allow.
    pub(crate) fn rollout(&mut self) {
        for wanted in self.wanted.values().filter(|wanted| wanted.replicas > 0) {
            while self.change_room() && self.load_room() && self.roll_one(wanted) {}
        }
    }

    fn roll_one(&mut self, wanted: &ModelWanted) -> bool {
        let census = self.census(wanted);
        if census.copies.iter().all(|copy| copy.current) {
            return false;
        }
        let failures = self.memory.rollouts.get(&wanted.model).map_or(0, |r| r.failures);
        if failures >= self.settings.rollout_failures {
            let detail = format!("version {} failed to load {failures} times", wanted.version);
            self.blocked(&wanted.model, "rollout_halted", detail);
            return false;
        }
        let Some(domain) = self.rollout_domain(wanted, &census) else { return false };
        if reloading(&census, &domain) >= self.reloads_allowed(&census, &domain) {
            return false;
        }
        let mut ready = self.outdated_in(&census, &domain).into_iter().filter(|copy| {
            let target = self.fleet.get(&copy.vm);
            target.is_some_and(|target| !target.is_paused(self.now, &wanted.model))
        });
        let Some(first) = ready.next().map(|copy| copy.vm.clone()) else { return false };
        // With equal copies, one can be spared or none.
        match census.can_spare(&first, wanted.floor()) {
            true => self.change_copy(&first, wanted),
            false => self.load_beside(wanted, &census),
        }
    }

    /// The domain whose copies change now: the one already begun, else, after a rest, the one
    /// with the fewest outdated copies, so that a bad version meets few callers first.
    fn rollout_domain(&self, wanted: &ModelWanted, census: &ModelCensus) -> Option<DomainName> {
        let outdated = |domain: &DomainName| self.outdated_in(census, domain).len();
        let domains: Vec<DomainName> = census.by_domain().into_keys().collect();
        let with_work: Vec<DomainName> = domains.into_iter().filter(|d| outdated(d) > 0).collect();
        let at_work = census.copies.iter().find(|copy| copy.standing == CopyStanding::Reloading);
        if let Some(copy) = at_work {
            return Some(copy.domain.clone());
        }
        let begun = |domain: &&DomainName| {
            census.copies.iter().any(|copy| copy.domain == **domain && copy.current)
        };
        if let Some(domain) = with_work.iter().find(begun) {
            return Some(domain.clone());
        }
        let last = self.memory.rollouts.get(&wanted.model).and_then(|r| r.last_done);
        let resting = last.is_some_and(|at| self.now.mono.since(at) < self.settings.rollout_soak);
        let first = with_work.into_iter().min_by_key(|domain| outdated(domain));
        first.filter(|_| !resting)
    }

    /// Outdated copies in `domain` that are known to serve and have no order open.
    fn outdated_in<'c>(&self, census: &'c ModelCensus, domain: &DomainName) -> Vec<&'c ModelCopy> {
        let idle = census.copies.iter().filter(|copy| {
            copy.domain == *domain
                && !copy.current
                && copy.standing == CopyStanding::Confirmed
                && !self.orders.open.contains_key(&copy.vm)
        });
        idle.collect()
    }

    fn reloads_allowed(&self, census: &ModelCensus, domain: &DomainName) -> usize {
        let copies = census.by_domain().get(domain).copied().unwrap_or(0);
        let share = f64::from(copies) * self.settings.rollout_share;
        (share as usize).max(1)
    }

    /// Changes one copy where it is; false when its target can't take the role.
    fn change_copy(&mut self, vm: &VmName, wanted: &ModelWanted) -> bool {
        let Some(target) = self.fleet.get(vm) else { return false };
        let role = &wanted.role;
        if target.report.role == *role {
            return self.order(vm, wanted.load_action(), &wanted.model, MoveReason::Rollout);
        }
        let alike =
            |held: &HeldModel| self.wanted.get(&held.model).is_some_and(|w| w.role == *role);
        if target.report.models.iter().all(alike) {
            let action = OrderAction::Role { role: role.clone() };
            return self.order(vm, action, &wanted.model, MoveReason::Rollout);
        }
        let detail = format!("{vm} holds models of another role");
        self.blocked(&wanted.model, "rollout_waits", detail);
        false
    }

    /// No copy can be spared: loads the new version on a free target first. The outdated copy is
    /// then one too many, and goes.
    fn load_beside(&mut self, wanted: &ModelWanted, census: &ModelCensus) -> bool {
        let over = census.present(wanted.floor()) > self.want(&wanted.model);
        let unsure = [CopyStanding::Serving, CopyStanding::Reloading, CopyStanding::Unloading];
        if over || census.count(&unsure) > 0 || self.reserved_for(&wanted.model) > 0 {
            return false;
        }
        if let Some(vm) = self.candidate(wanted, census) {
            self.load_at(&vm, wanted, MoveReason::Rollout);
            return false;
        }
        let detail =
            format!("no copy can be spared and no slot is free; {} must go on", wanted.floor());
        self.blocked(&wanted.model, "rollout_waits", detail);
        false
    }
}

fn reloading(census: &ModelCensus, domain: &DomainName) -> usize {
    let here = census.copies.iter().filter(|copy| copy.domain == *domain);
    here.filter(|copy| copy.standing == CopyStanding::Reloading).count()
}
