//! Lots whose lease is over, and attempts that were spent.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{Effects, ShardService, count, note, outcomes::outcome_unknown};
use crate::{
    dispatch::{job_queue::ItemPlace, lot_table::LotLease},
    record::LedgerRecord,
};

/// An attempt without a result.
#[derive(Debug)]
pub(super) struct SpentAttempt {
    /// Why another one follows.
    pub(super) reason: RetryReason,
    /// The item's result if no other one follows.
    pub(super) last: ItemOutcome,
    /// The crash that ended it.
    pub(super) crashed: Option<Crash>,
    /// Whether the next one waits.
    pub(super) backoff: bool,
}

/// A target's crash with an item in flight.
#[derive(Debug)]
pub(super) struct Crash {
    pub(super) vm: VmName,
    pub(super) fingerprint: Fingerprint,
}

impl ShardService {
    /// Items of lapsed lots go back, and claimed ones whose grace is over end as unknown.
    pub(super) fn lapse_lots(&mut self, now: Now, effects: &mut Effects) {
        while let Some(lease) = self.owner.as_mut().and_then(|term| term.lots.pop_lapsed(now.mono))
        {
            self.lapse(now, lease, RetryReason::LeaseLapsed, effects);
        }
        self.end_unsure(now, effects);
    }

    /// A sidecar that restarted has forgotten its lots: they need not wait for their lapse.
    pub(super) fn lapse_orphans(&mut self, now: Now, pull: &LotPull, effects: &mut Effects) {
        let LotPull { vm, incarnation, .. } = pull;
        while let Some(lease) =
            self.owner.as_mut().and_then(|term| term.lots.pop_orphan(vm, *incarnation))
        {
            self.lapse(now, lease, RetryReason::TargetLost, effects);
        }
    }

    fn lapse(&mut self, now: Now, lease: LotLease, reason: RetryReason, effects: &mut Effects) {
        let Some(state) = self.state.job(lease.job).filter(|job| job.is_running()) else { return };
        let idempotent = state.accepted().idempotent;
        let detail = format!("{} items of a lot at {}", lease.items.len(), lease.vm);
        note(effects, lease.job, reason.code(), detail);
        for (item, entry) in lease.items {
            let key = ItemKey { job: lease.job, item: ItemIndex(item) };
            let leased = matches!(
                self.place(key),
                Some(ItemPlace::Leased { attempt, .. }) if attempt == entry.attempt
            );
            match (leased, idempotent) {
                (false, _) => {}
                (true, true) => self.lapse_item(now, key, reason, effects),
                (true, false) => self.doubt_item(now, key, effects),
            }
        }
    }

    fn lapse_item(&mut self, now: Now, key: ItemKey, reason: RetryReason, effects: &mut Effects) {
        let last = ItemOutcome::Failed {
            reason: RefusalReason::TargetLost,
            retryable: false,
            ran: Ran::Unknown,
            detail: "the VM was lost in each attempt".to_owned(),
        };
        let spent = SpentAttempt { reason, last, crashed: None, backoff: false };
        self.spend_attempt(now, key, spent, effects);
    }

    /// A claimed item of a lapsed lot may have run. It is given one more lease for a late result
    /// or a late "never started" before it ends as unknown.
    fn doubt_item(&mut self, now: Now, key: ItemKey, effects: &mut Effects) {
        count(effects, Counter::Event("claimed_items_unsure"));
        let until = now.mono + self.settings.lease;
        let Some(term) = self.owner.as_mut() else { return };
        if let Some(queue) = term.queues.get_mut(&key.job) {
            queue.set_place(key.item, ItemPlace::Unsure);
        }
        term.unsure.insert((until, key.job, key.item.0));
    }

    fn end_unsure(&mut self, now: Now, effects: &mut Effects) {
        loop {
            let Some(term) = self.owner.as_mut() else { return };
            let Some((until, job, item)) = term.unsure.first().copied() else { return };
            if until > now.mono {
                return;
            }
            term.unsure.pop_first();
            let key = ItemKey { job, item: ItemIndex(item) };
            if self.place(key) == Some(ItemPlace::Unsure) {
                self.end_item(key, outcome_unknown(), effects);
            }
        }
    }

    /// Counts an attempt of an open idempotent item, which goes back or ends.
    pub(super) fn spend_attempt(
        &mut self,
        now: Now,
        key: ItemKey,
        spent: SpentAttempt,
        effects: &mut Effects,
    ) {
        let ItemKey { job, item } = key;
        let Some(state) = self.state.job(job) else { return };
        let max_attempts = state.accepted().max_attempts;
        let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&job));
        let Some(queue) = queue else { return };
        let track = queue.track(state, item);
        track.attempts += 1;
        let attempts = track.attempts;
        if let Some(crash) = &spent.crashed
            && !track.crashed_on.contains(&crash.vm)
        {
            track.crashed_on.push(crash.vm.clone());
        }
        if let Some(crash) = &spent.crashed
            && track.crashed_on.len() >= self.settings.crash_limit
        {
            let fingerprint = crash.fingerprint;
            self.quarantine_item(key, fingerprint, effects);
            return;
        }
        if attempts >= max_attempts {
            self.end_item(key, spent.last, effects);
            return;
        }
        count(effects, Counter::Retried(spent.reason));
        let delay = match spent.backoff {
            true => self.settings.backoff_after(attempts),
            false => Duration::ZERO,
        };
        queue.set_place(item, ItemPlace::Waiting(now.mono + delay));
        let crashed_on = spent.crashed.map(|crash| crash.vm);
        self.record_try(LedgerRecord::ItemTried { job, item, attempts, crashed_on });
    }

    /// Ends an item that crashes targets, and tells the fleet.
    pub(super) fn quarantine_item(
        &mut self,
        key: ItemKey,
        fingerprint: Fingerprint,
        effects: &mut Effects,
    ) {
        let detail = format!("item {} crashes targets; it ends, its job goes on", key.item);
        note(effects, key.job, "quarantined", detail);
        if !self.state.is_quarantined(fingerprint)
            && let Some(state) = self.state.job(key.job)
        {
            let target = state.accepted().target.clone();
            self.outbox.push(&LedgerRecord::Quarantined { fingerprint, target });
        }
        let outcome = ItemOutcome::Failed {
            reason: RefusalReason::Quarantined,
            retryable: false,
            ran: Ran::Unknown,
            detail: "targets on several VMs crashed with it in flight".to_owned(),
        };
        self.end_item(key, outcome, effects);
    }

    /// Keeps the count of attempts over a change of owner, where there is room: without it a
    /// hopeless item would start anew with each owner.
    fn record_try(&mut self, tried: LedgerRecord) {
        if self.outbox.fact_bytes() < self.settings.buffered_bytes {
            self.outbox.push(&tried);
        }
    }
}
