//! What time brings: lapses, retention, repeated pushes, calls that waited too long.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_types::prelude::*;

use super::{
    Effects, ShardService,
    effect::{ServiceEffect, TargetBacklog},
    millis,
    pull::no_work,
    results::give_due,
};
use crate::{dispatch::job_rank::laxity_ms, record::LedgerRecord};

/// Window over which rates are measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

impl ShardService {
    /// When `Tick` is due at the latest; `None` on a node that is not the owner.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let term = self.owner.as_ref()?;
        let park_time = self.settings.park_time;
        let parked = [
            term.pulls.first().map(|call| call.since),
            term.pages.iter().map(|page| page.since()).min(),
            term.settlements.oldest(),
            self.reads.oldest(),
        ];
        let parked = parked.into_iter().flatten().min().map(|since| since + park_time);
        let wakes = [
            term.lots.next_expiry(),
            term.unsure.first().map(|(until, _, _)| *until),
            term.pushes.values().map(|push| push.next).min(),
            self.outbox.next_flush(),
            parked,
            Some(term.next_backlog),
            Some(term.next_expiry),
        ];
        wakes.into_iter().flatten().min()
    }

    pub(super) fn tick(&mut self, now: Now, effects: &mut Effects) {
        if self.owner.is_none() {
            return;
        }
        self.lapse_lots(now, effects);
        self.push_cancels(now, effects);
        self.give_up_reads(now, effects);
        self.give_up_calls(now, effects);
        self.reads.forgive(now.mono);
        self.tell_backlog(now, effects);
        self.expire(now, effects);
    }

    fn give_up_calls(&mut self, now: Now, effects: &mut Effects) {
        let park_time = self.settings.park_time;
        let retry_ms = millis(self.settings.idle_retry);
        let Some(term) = self.owner.as_mut() else { return };
        let old = |since: MonoTime| now.mono.since(since) >= park_time;
        for call in term.pulls.extract_if(.., |call| old(call.since)) {
            no_work(&call, retry_ms, effects);
        }
        if now.mono.0 >= park_time.as_micros() as u64 {
            give_due(term.settlements.give_up(now.mono - park_time), effects);
        }
    }

    fn tell_backlog(&mut self, now: Now, effects: &mut Effects) {
        let period = self.settings.backlog_period;
        let Some(term) = self.owner.as_mut().filter(|term| term.next_backlog <= now.mono) else {
            return;
        };
        term.next_backlog = now.mono + period;
        for share in term.shares.values_mut() {
            share.roll(now.mono, RATE_WINDOW);
        }
        let backlog = self.backlog(now);
        if let Some(term) = self.owner.as_mut() {
            let state = &self.state;
            let running = term.queues.keys().filter_map(|job| state.job(*job));
            let mut accounts: BTreeMap<&TargetName, BTreeSet<&AccountName>> = BTreeMap::new();
            for accepted in running.map(|job| job.accepted()) {
                accounts.entry(&accepted.target).or_default().insert(&accepted.account);
            }
            term.shares.retain(|target, share| {
                let Some(running) = accounts.get(target) else { return false };
                share.retain(|account| running.contains(account));
                true
            });
        }
        effects.push(ServiceEffect::Backlog(backlog));
    }

    /// The work held, by target.
    fn backlog(&self, now: Now) -> Vec<TargetBacklog> {
        let mut backlog: BTreeMap<TargetName, TargetBacklog> = BTreeMap::new();
        let queues = self.owner.iter().flat_map(|term| term.queues.keys());
        let margin = millis(self.settings.late_margin) as i64;
        for state in queues.filter_map(|job| self.state.job(*job)) {
            let accepted = state.accepted();
            let target = &accepted.target;
            let open = state.items().open();
            let laxity_ms = laxity_ms(accepted.due, now.wall, open, self.target_rate(target));
            let line = backlog.entry(target.clone()).or_insert_with(|| TargetBacklog {
                target: target.clone(),
                open: 0,
                least_laxity_ms: i64::MAX,
                floor: 0.0,
            });
            line.open += u64::from(open);
            line.least_laxity_ms = line.least_laxity_ms.min(laxity_ms);
        }
        for line in backlog.values_mut().filter(|line| line.least_laxity_ms < margin) {
            line.floor = self.floor_share(&line.target, &self.target_policy(&line.target));
        }
        backlog.into_values().collect()
    }

    /// Forgets jobs and requests whose retention is over, by records: every node forgets the
    /// same at the same place.
    fn expire(&mut self, now: Now, effects: &mut Effects) {
        let period = self.settings.expiry_period;
        let Some(term) = self.owner.as_mut().filter(|term| term.next_expiry <= now.mono) else {
            return;
        };
        term.next_expiry = now.mono + period;
        for (job, state) in self.state.jobs() {
            let retention_ms = state.accepted().retention_ms;
            let over =
                state.over_at().is_some_and(|at| at.0.saturating_add(retention_ms) <= now.wall.0);
            if over && term.expiring.insert(*job) {
                self.outbox.push(&LedgerRecord::JobExpired { job: *job });
                effects.push(ServiceEffect::Count(Counter::Event("jobs_expired")));
            }
        }
        if self.state.requests().has_expired(now.wall) && !term.requests_expiring {
            term.requests_expiring = true;
            self.outbox.push(&LedgerRecord::RequestsExpired { until: now.wall });
        }
    }
}
