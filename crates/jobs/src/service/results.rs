//! Items that ended at sidecars.

use std::collections::BTreeSet;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{
    Effects, ShardService, answer, count,
    leases::SpentAttempt,
    settlement::{DueAnswer, ReportKind},
};
use crate::{
    dispatch::{job_queue::ItemPlace, lot_table::LotEntry},
    record::LedgerRecord,
};

/// What became of a reported item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReportFate {
    /// Nothing more will come of it: the sidecar may forget it.
    Settled,
    /// It waits for a commit.
    Pending,
    /// Not taken; the sidecar keeps it and reports it again.
    NotTaken,
}

/// An item that a report accounts for, as its lot had it.
#[derive(Debug)]
pub(super) struct LeftLot {
    pub(super) entry: LotEntry,
    pub(super) vm: VmName,
}

impl ShardService {
    pub(super) fn items_done(
        &mut self,
        now: Now,
        from: VmName,
        call: CallId,
        results: Vec<ItemResult>,
        effects: &mut Effects,
    ) {
        let fates = results.into_iter().map(|result| {
            let key = result.key;
            (key, self.take_result(now, result, effects))
        });
        let fates: Vec<(ItemKey, ReportFate)> = fates.collect();
        self.answer_report(now, (from, call), ReportKind::Results, fates, effects);
    }

    /// Answers a report now, or once its pending items are committed.
    pub(super) fn answer_report(
        &mut self,
        now: Now,
        to: (VmName, CallId),
        kind: ReportKind,
        fates: Vec<(ItemKey, ReportFate)>,
        effects: &mut Effects,
    ) {
        let with = |wanted: ReportFate| {
            let matching = fates.iter().filter(move |(_, fate)| *fate == wanted);
            matching.map(|(key, _)| *key)
        };
        let settled = with(ReportFate::Settled).collect();
        let mut waiting: BTreeSet<ItemKey> = with(ReportFate::Pending).collect();
        let Some(term) = self.owner.as_mut() else { return };
        if term.settlements.len() >= self.settings.max_parked {
            // The sidecar keeps what isn't settled and reports it again.
            waiting.clear();
        }
        let due = term.settlements.insert(now.mono, to, kind, settled, waiting);
        give_due(due, effects);
    }

    fn take_result(&mut self, now: Now, result: ItemResult, effects: &mut Effects) -> ReportFate {
        let key = result.key;
        let open = self.state.job(key.job).is_some_and(|job| job.is_open(key.item));
        if !open {
            self.leave_lot(now, result.lot, key, result.attempt);
            count(effects, Counter::Dropped(DropReason::DuplicateResult));
            return ReportFate::Settled;
        }
        if self.place(key) == Some(ItemPlace::Ending) {
            self.leave_lot(now, result.lot, key, result.attempt);
            count(effects, Counter::Dropped(DropReason::DuplicateResult));
            return ReportFate::Pending;
        }
        match self.judge(&result) {
            ResultVerdict::Final => self.take_final(now, result, effects),
            ResultVerdict::Again => {
                self.take_failure(now, result, effects);
                ReportFate::Settled
            }
            ResultVerdict::Release => self.take_refusal(now, result, effects),
            ResultVerdict::Late => {
                self.leave_lot(now, result.lot, key, result.attempt);
                count(effects, Counter::Dropped(DropReason::LateAnswer));
                ReportFate::Settled
            }
        }
    }

    fn take_final(&mut self, now: Now, result: ItemResult, effects: &mut Effects) -> ReportFate {
        let ItemResult { key, lot, attempt, outcome } = result;
        let outcome = self.within_body_limit(outcome);
        if self.outbox.fact_bytes() + outcome_bytes(&outcome) > self.settings.buffered_bytes {
            count(effects, Counter::Dropped(DropReason::BufferFull));
            return ReportFate::NotTaken;
        }
        self.leave_lot(now, lot, key, attempt);
        self.end_item(key, outcome, effects);
        ReportFate::Pending
    }

    /// A claimed item that the target surely never ran: it's freed, at the cost of an attempt, so
    /// that one which is refused everywhere ends too.
    fn take_refusal(&mut self, now: Now, result: ItemResult, effects: &mut Effects) -> ReportFate {
        let ItemKey { job, item } = result.key;
        let Some(state) = self.state.job(job) else { return ReportFate::Settled };
        let max_attempts = state.accepted().max_attempts;
        let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&job));
        let Some(queue) = queue else { return ReportFate::Settled };
        let track = queue.track(state, item);
        if track.attempts + 1 >= max_attempts {
            return self.take_final(now, result, effects);
        }
        track.attempts += 1;
        count(effects, Counter::Retried(RetryReason::Refused));
        self.leave_lot(now, result.lot, result.key, result.attempt);
        self.release_claim(result.key, result.attempt);
        ReportFate::Pending
    }

    /// A failure that another try may mend.
    fn take_failure(&mut self, now: Now, result: ItemResult, effects: &mut Effects) {
        let ItemResult { key, lot, attempt, outcome } = result;
        self.leave_lot(now, lot, key, attempt);
        let ItemOutcome::Failed { reason, ran, detail, .. } = outcome else { return };
        let retry = match reason {
            RefusalReason::TargetLost => RetryReason::TargetLost,
            RefusalReason::TargetFailed => RetryReason::TargetFailed,
            _ => RetryReason::Refused,
        };
        let last = ItemOutcome::Failed { reason, retryable: false, ran, detail };
        let spent = SpentAttempt { reason: retry, last, crashed: None, backoff: true };
        self.spend_attempt(now, key, spent, effects);
    }

    /// What a result of an open item means.
    fn judge(&self, result: &ItemResult) -> ResultVerdict {
        let Some(job) = self.state.job(result.key.job) else { return ResultVerdict::Late };
        let failure = match &result.outcome {
            ItemOutcome::Answered { .. } => return ResultVerdict::Final,
            ItemOutcome::Failed { retryable, ran, .. } => (*retryable, *ran),
        };
        if job.accepted().idempotent {
            let stale = !self.is_current(result.key, result.lot, result.attempt);
            return match failure {
                (false, _) => ResultVerdict::Final,
                (true, _) if stale => ResultVerdict::Late,
                (true, _) => ResultVerdict::Again,
            };
        }
        let holds = job.claims().get(&result.key.item.0) == Some(&result.attempt);
        match failure {
            _ if !holds => ResultVerdict::Late,
            (true, Ran::No) => ResultVerdict::Release,
            _ => ResultVerdict::Final,
        }
    }

    /// Whether a report speaks of the try that counts now: the one leased, or one of a former
    /// owner while this owner has not handed the item out.
    pub(super) fn is_current(&self, key: ItemKey, lot: LotId, attempt: u64) -> bool {
        match self.place(key) {
            None => true,
            Some(place) => place == ItemPlace::Leased { lot, attempt },
        }
    }

    /// Queues an item's result for the ledger.
    pub(super) fn end_item(&mut self, key: ItemKey, outcome: ItemOutcome, effects: &mut Effects) {
        let ItemKey { job, item } = key;
        if let ItemOutcome::Failed { reason, .. } = &outcome {
            count(effects, Counter::Refused(*reason));
        }
        let state = self.state.job(job);
        let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&job));
        if let (Some(state), Some(queue)) = (state, queue) {
            queue.track(state, item);
            queue.set_place(item, ItemPlace::Ending);
        }
        self.outbox.push(&LedgerRecord::ItemEnded { job, item, outcome });
    }

    /// Queues the release of a claim that surely never ran.
    pub(super) fn release_claim(&mut self, key: ItemKey, attempt: u64) {
        let ItemKey { job, item } = key;
        let state = self.state.job(job);
        let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&job));
        if let (Some(state), Some(queue)) = (state, queue) {
            queue.track(state, item);
            queue.set_place(item, ItemPlace::Releasing(attempt));
        }
        self.outbox.push(&LedgerRecord::ItemReleased { job, item, attempt });
    }

    pub(super) fn place(&self, key: ItemKey) -> Option<ItemPlace> {
        self.owner.as_ref()?.queues.get(&key.job)?.place(key.item)
    }

    /// Takes an item out of its lot, if the lot holds this very try.
    pub(super) fn leave_lot(
        &mut self,
        now: Now,
        lot: LotId,
        key: ItemKey,
        attempt: u64,
    ) -> Option<LeftLot> {
        let term = self.owner.as_mut()?;
        let entry = term.lots.entry(lot, key.job, key.item, attempt)?;
        let vm = term.lots.get(lot)?.vm.clone();
        let expires = now.mono + self.settings.lease;
        term.lots.settle(lot, key.item, expires);
        Some(LeftLot { entry, vm })
    }

    /// A body that no record can hold becomes a failure that says so: appended again and again
    /// it would be rejected for ever, and its item would never end.
    fn within_body_limit(&self, outcome: ItemOutcome) -> ItemOutcome {
        match outcome {
            outcome if outcome_bytes(&outcome) <= self.settings.body_bytes => outcome,
            _ => ItemOutcome::Failed {
                reason: RefusalReason::TooLarge,
                retryable: false,
                ran: Ran::Unknown,
                detail: "the answer is larger than a stored result may be".to_owned(),
            },
        }
    }
}

/// What a result of an open item means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ResultVerdict {
    /// It's the item's result.
    Final,
    /// The item gets another attempt if it has any left.
    Again,
    /// The claimed attempt never ran.
    Release,
    /// It speaks of a try that no longer counts.
    Late,
}

pub(super) fn give_due(due: impl IntoIterator<Item = DueAnswer>, effects: &mut Effects) {
    for due in due {
        answer(effects, &due.from, due.call, due.answer);
    }
}

fn outcome_bytes(outcome: &ItemOutcome) -> usize {
    match outcome {
        ItemOutcome::Answered { body, .. } => body.len(),
        ItemOutcome::Failed { detail, .. } => detail.len(),
    }
}
