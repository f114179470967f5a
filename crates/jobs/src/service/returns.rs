//! Items that sidecars give back.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{
    Effects, ShardService, count,
    leases::{Crash, SpentAttempt},
    outcomes::outcome_unknown,
    results::{LeftLot, ReportFate},
    settlement::ReportKind,
};
use crate::dispatch::job_queue::ItemPlace;

impl ShardService {
    pub(super) fn items_returned(
        &mut self,
        now: Now,
        from: VmName,
        call: CallId,
        returns: Vec<ItemReturn>,
        effects: &mut Effects,
    ) {
        let fates = returns.into_iter().map(|back| {
            let key = back.key;
            (key, self.take_return(now, (&from, back), effects))
        });
        let fates: Vec<(ItemKey, ReportFate)> = fates.collect();
        self.answer_report(now, (from, call), ReportKind::Returns, fates, effects);
    }

    fn take_return(
        &mut self,
        now: Now,
        (from, back): (&VmName, ItemReturn),
        effects: &mut Effects,
    ) -> ReportFate {
        let ItemReturn { key, lot, attempt, .. } = back;
        let current = self.is_current(key, lot, attempt);
        let left = self.leave_lot(now, lot, key, attempt);
        let Some(job) = self.state.job(key.job).filter(|job| job.is_open(key.item)) else {
            return ReportFate::Settled;
        };
        if !job.accepted().idempotent {
            let holds = job.claims().get(&key.item.0) == Some(&attempt);
            return self.take_claimed_return(&back, holds, effects);
        }
        if !current {
            if back.reason == ReturnReason::TargetCrashed {
                self.note_late_crash(key, from);
            }
            count(effects, Counter::Dropped(DropReason::LateAnswer));
            return ReportFate::Settled;
        }
        match back.reason {
            ReturnReason::TargetCrashed => self.take_crash(now, key, left, effects),
            ReturnReason::Preempted
            | ReturnReason::Leaving
            | ReturnReason::NotStarted
            | ReturnReason::Cancelled => self.take_back(now, back, effects),
        }
        ReportFate::Settled
    }

    /// Back in the queue at no cost.
    fn take_back(&mut self, now: Now, back: ItemReturn, effects: &mut Effects) {
        let reason = match back.reason {
            ReturnReason::Preempted => RetryReason::Preempted,
            _ => RetryReason::Refused,
        };
        count(effects, Counter::Retried(reason));
        let room = self.has_progress_room(back.progress.as_ref());
        let ItemKey { job, item } = back.key;
        let state = self.state.job(job);
        let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&job));
        let (Some(state), Some(queue)) = (state, queue) else { return };
        queue.track(state, item);
        if room {
            queue.keep_progress(item, back.progress);
        }
        queue.set_place(item, ItemPlace::Waiting(now.mono));
    }

    /// Marks an item that crashed a target after its lease had lapsed, as the sidecar of a crashed target may be late. The
    /// attempt was counted when it lapsed.
    fn note_late_crash(&mut self, key: ItemKey, vm: &VmName) {
        let Some(state) = self.state.job(key.job) else { return };
        let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&key.job));
        let Some(queue) = queue else { return };
        let track = queue.track(state, key.item);
        if !track.crashed_on.contains(vm) {
            track.crashed_on.push(vm.clone());
        }
        if let Some(place @ ItemPlace::Waiting(_)) = queue.place(key.item) {
            // Puts it among the suspects.
            queue.set_place(key.item, place);
        }
    }

    fn take_crash(&mut self, now: Now, key: ItemKey, left: Option<LeftLot>, effects: &mut Effects) {
        let last = ItemOutcome::Failed {
            reason: RefusalReason::TargetFailed,
            retryable: false,
            ran: Ran::Unknown,
            detail: "the target crashed with it in each attempt".to_owned(),
        };
        let crashed = left.map(|left| Crash { vm: left.vm, fingerprint: left.entry.fingerprint });
        let reason = RetryReason::TargetCrashed;
        let spent = SpentAttempt { reason, last, crashed, backoff: true };
        self.spend_attempt(now, key, spent, effects);
    }

    /// An item that may run once: it goes back only if it surely never started.
    fn take_claimed_return(
        &mut self,
        back: &ItemReturn,
        holds: bool,
        effects: &mut Effects,
    ) -> ReportFate {
        let waiting =
            matches!(self.place(back.key), Some(ItemPlace::Ending | ItemPlace::Releasing(_)));
        if holds && waiting {
            return ReportFate::Pending;
        }
        if !holds {
            count(effects, Counter::Dropped(DropReason::LateAnswer));
            return ReportFate::Settled;
        }
        if back.started {
            self.end_item(back.key, outcome_unknown(), effects);
        } else {
            count(effects, Counter::Retried(RetryReason::Refused));
            self.release_claim(back.key, back.attempt);
        }
        ReportFate::Pending
    }

    fn has_progress_room(&self, progress: Option<&Payload>) -> bool {
        let queues = self.owner.iter().flat_map(|term| term.queues.values());
        let held: usize = queues.map(|queue| queue.progress_bytes()).sum();
        held + progress.map_or(0, |progress| progress.len()) <= self.settings.progress_bytes
    }
}
