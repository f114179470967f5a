//! Start and end of a term of ownership, and what records mean to the owner.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{
    Effects, OwnerTerm, ShardService, answer, cancel::CancelPush, count, outbox::AppendPurpose,
    pull::no_work, results::give_due,
};
use crate::{
    dispatch::{
        job_queue::{ItemPlace, JobQueue},
        target_share::TargetShare,
    },
    record::LedgerRecord,
    service::event::{AppendTicket, RejectKind},
    state::ShardState,
};

impl ShardService {
    pub(super) fn restore(&mut self, bytes: &[u8], effects: &mut Effects) {
        self.end_term(effects);
        match ShardState::restore(bytes) {
            Ok(state) => self.state = state,
            Err(_) => {
                // Answering from an empty state would deny jobs that exist; seen by the counter,
                // and prevented by never starting a term on it (see `start_term`).
                count(effects, Counter::Event("snapshots_unreadable"));
                self.state = ShardState::default();
                self.unreadable = true;
                return;
            }
        }
        self.unreadable = false;
    }

    pub(super) fn start_term(&mut self, now: Now, epoch: Epoch, effects: &mut Effects) {
        self.end_term(effects);
        if self.unreadable {
            return;
        }
        self.doubtful.clear();
        self.outbox = self.outbox.renewed();
        let mut term = OwnerTerm::new(now, epoch);
        let lease = self.settings.lease;
        let until = now.mono + lease;
        for (job, state) in self.state.jobs() {
            let recent = state
                .cancelled_at()
                .is_some_and(|at| now.wall.0.saturating_sub(at.0) <= 2 * lease.as_millis() as u64);
            if recent {
                let push = CancelPush { next: now.mono, everyone_until: until };
                term.pushes.insert(*job, push);
            }
            if !state.is_running() {
                continue;
            }
            // An item that may run once and is not claimed surely never left.
            let wait = match state.accepted().idempotent {
                true => self.settings.takeover_wait.min(lease),
                false => Duration::ZERO,
            };
            let window = self.settings.takeover_window;
            let queue = JobQueue::taken_over(state, window, now.mono + wait);
            term.queues.insert(*job, queue);
            let claimed = state.claims().keys();
            term.unsure.extend(claimed.map(|item| (until + lease, *job, *item)));
        }
        self.owner = Some(Box::new(term));
        let unended = self
            .state
            .jobs()
            .iter()
            .filter(|(_, job)| job.phase() == JobPhase::Done && job.over_at().is_none());
        for (job, _) in unended {
            self.outbox.push(&LedgerRecord::JobEnded { job: *job, at: now.wall });
        }
        self.push_cancels(now, effects);
        count(effects, Counter::Event("shard_terms_started"));
    }

    pub(super) fn end_term(&mut self, effects: &mut Effects) {
        let Some(term) = self.owner.take() else { return };
        self.drop_reads(effects);
        for purpose in self.outbox.drain() {
            match purpose {
                AppendPurpose::Ask(asked) => {
                    self.keyed_rejected(&asked, RejectKind::Unknown, effects);
                }
                AppendPurpose::Lot(lot) => no_work(lot.call(), self.store_retry_ms(), effects),
                AppendPurpose::Submit(_) | AppendPurpose::Cancel(_) | AppendPurpose::Facts(_) => {}
            }
        }
        self.outbox = self.outbox.renewed();
        let gone = ShardAnswer::NotOwner { owner: None };
        let OwnerTerm { mut settlements, submits, cancels, pulls, pages, .. } = *term;
        give_due(settlements.give_up(MonoTime(u64::MAX)), effects);
        self.doubtful.extend(submits.keys().copied());
        self.answer_lost(submits.into_values().flatten().map(|call| call.caller()), effects);
        self.answer_lost(cancels.into_values().flatten(), effects);
        for (from, call) in pages.iter().map(|page| page.caller()) {
            answer(effects, &from, call, gone.clone());
        }
        for call in &pulls {
            no_work(call, self.store_retry_ms(), effects);
        }
    }

    /// Nobody can say any more whether these changes were committed.
    fn answer_lost(&self, callers: impl Iterator<Item = (VmName, CallId)>, effects: &mut Effects) {
        for (from, call) in callers {
            let detail = "the shard's owner changed meanwhile; asking again is safe";
            let refusal = Refusal::unknown(RefusalReason::StoreUnavailable, detail);
            let refusal = refusal.retry_after(self.store_retry_ms());
            answer(effects, &from, call, ShardAnswer::Refused(refusal));
        }
    }

    /// Answers appends whose records are all applied.
    pub(super) fn finish_applied(&mut self, now: Now, effects: &mut Effects) {
        while let Some(purpose) = self.outbox.pop_applied(self.state.upto()) {
            match purpose {
                AppendPurpose::Submit(job) => self.submit_committed(job, effects),
                AppendPurpose::Cancel(job) => self.cancel_committed(job, effects),
                AppendPurpose::Lot(lot) => self.lot_committed(now, *lot, effects),
                AppendPurpose::Ask(asked) => self.keyed_committed(now, *asked, effects),
                AppendPurpose::Facts(_) => {}
            }
        }
    }

    pub(super) fn rejected(
        &mut self,
        now: Now,
        ticket: AppendTicket,
        kind: RejectKind,
        effects: &mut Effects,
    ) {
        let reason = match kind {
            RejectKind::Unknown => RetryReason::AmbiguousWrite,
            RejectKind::NotCommitted | RejectKind::ChunkStale => RetryReason::StoreUnavailable,
        };
        count(effects, Counter::Retried(reason));
        // A stale chunk says nothing about the store.
        let retry_at = match kind {
            RejectKind::ChunkStale => MonoTime::default(),
            RejectKind::NotCommitted | RejectKind::Unknown => now.mono + self.settings.store_retry,
        };
        match self.outbox.reject(ticket, retry_at) {
            Some(AppendPurpose::Submit(job)) => self.submit_rejected(job, kind, effects),
            Some(AppendPurpose::Cancel(job)) => self.cancel_rejected(now, job, kind, effects),
            Some(AppendPurpose::Lot(lot)) => self.lot_rejected(now, *lot, kind, effects),
            Some(AppendPurpose::Ask(asked)) => self.keyed_rejected(&asked, kind, effects),
            Some(AppendPurpose::Facts(_)) | None => {}
        }
    }

    /// What a record just applied means to the owner.
    pub(super) fn after_apply(
        &mut self,
        now: Now,
        record: &LedgerRecord,
        changed: bool,
        effects: &mut Effects,
    ) {
        if self.owner.is_none() {
            return;
        }
        match record {
            LedgerRecord::JobAccepted(accepted) if changed => {
                let queues = self.owner.as_mut().map(|term| &mut term.queues);
                queues.map(|queues| queues.insert(accepted.job, JobQueue::new()));
            }
            LedgerRecord::JobCancelled { job, .. } if changed => {
                self.settle_job(*job, effects);
                self.cancel_applied(now, *job, effects);
            }
            LedgerRecord::JobExpired { job } => {
                let expiring = self.owner.as_mut().map(|term| &mut term.expiring);
                expiring.map(|expiring| expiring.remove(job));
            }
            LedgerRecord::RequestsExpired { .. } => {
                self.owner.iter_mut().for_each(|term| term.requests_expiring = false);
            }
            LedgerRecord::ItemEnded { job, item, .. } => {
                self.item_ended(now, ItemKey { job: *job, item: *item }, changed, effects);
            }
            LedgerRecord::ItemReleased { job, item, attempt } => {
                let key = ItemKey { job: *job, item: *item };
                self.item_released(now, key, *attempt, effects);
            }
            _ => {}
        }
    }

    fn item_ended(&mut self, now: Now, key: ItemKey, changed: bool, effects: &mut Effects) {
        let Some(term) = self.owner.as_mut() else { return };
        give_due(term.settlements.settle(key), effects);
        if !changed {
            count(effects, Counter::Dropped(DropReason::DuplicateResult));
            return;
        }
        let Some(state) = self.state.job(key.job) else { return };
        if let Some(queue) = term.queues.get_mut(&key.job) {
            queue.forget(key.item);
        }
        let target = state.accepted().target.clone();
        term.shares.entry(target).or_insert_with(|| TargetShare::new(now.mono)).count_end();
        if state.phase() == JobPhase::Done {
            term.queues.remove(&key.job);
            self.outbox.push(&LedgerRecord::JobEnded { job: key.job, at: now.wall });
            count(effects, Counter::Event("jobs_ended"));
        }
    }

    fn item_released(&mut self, now: Now, key: ItemKey, attempt: u64, effects: &mut Effects) {
        let Some(term) = self.owner.as_mut() else { return };
        give_due(term.settlements.settle(key), effects);
        let queue = term.queues.get_mut(&key.job);
        let queue =
            queue.filter(|queue| queue.place(key.item) == Some(ItemPlace::Releasing(attempt)));
        if let Some(queue) = queue {
            let attempts = queue.get(key.item).map_or(0, |track| track.attempts);
            let delay = self.settings.backoff_after(attempts);
            queue.set_place(key.item, ItemPlace::Waiting(now.mono + delay));
        }
    }

    fn settle_job(&mut self, job: JobId, effects: &mut Effects) {
        let Some(term) = self.owner.as_mut() else { return };
        give_due(term.settlements.settle_job(job), effects);
    }
}
