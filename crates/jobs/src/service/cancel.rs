//! Cancellation of jobs.

use notch_types::prelude::*;

use super::{
    Effects, ShardService, answer, count, effect::ServiceEffect, not_found, note,
    outbox::AppendPurpose,
};
use crate::{record::LedgerRecord, service::event::RejectKind};
use notch_messages::prelude::*;

/// A committed cancellation that sidecars have not all acknowledged.
#[derive(Debug)]
pub(super) struct CancelPush {
    /// When to push it again.
    pub(super) next: MonoTime,
    /// Until when lots of a former owner may run: every sidecar is told.
    pub(super) everyone_until: MonoTime,
}

impl ShardService {
    pub(super) fn cancel(
        &mut self,
        now: Now,
        from: VmName,
        call: CallId,
        job: JobId,
        account: &AccountName,
        effects: &mut Effects,
    ) {
        let Some(state) = self.job_of(job, account) else {
            answer(effects, &from, call, not_found());
            return;
        };
        if !state.is_running() {
            let progress = self.progress_answer(job);
            answer(effects, &from, call, progress);
            return;
        }
        let down = self.store_is_down(now);
        let retry_ms = self.store_retry_ms();
        let Some(term) = self.owner.as_mut() else { return };
        if let Some(waiting) = term.cancels.get_mut(&job) {
            waiting.push((from, call));
            return;
        }
        if down {
            answer(effects, &from, call, cancel_refusal(Ran::No, retry_ms));
            return;
        }
        term.cancels.insert(job, vec![(from, call)]);
        if let Some(queue) = term.queues.get_mut(&job) {
            queue.stopping = true;
        }
        let record = LedgerRecord::JobCancelled { job, at: now.wall };
        let purpose = AppendPurpose::Cancel(job);
        self.outbox.append(now.mono, purpose, &[record], Vec::new(), effects);
    }

    pub(super) fn cancel_committed(&mut self, job: JobId, effects: &mut Effects) {
        let progress = self.progress_answer(job);
        for (from, call) in self.take_cancels(job) {
            answer(effects, &from, call, progress.clone());
        }
    }

    pub(super) fn cancel_rejected(
        &mut self,
        now: Now,
        job: JobId,
        kind: RejectKind,
        effects: &mut Effects,
    ) {
        let ran = match kind {
            RejectKind::Unknown => Ran::Unknown,
            RejectKind::NotCommitted | RejectKind::ChunkStale => Ran::No,
        };
        let retry_ms = self.store_retry_ms();
        for (from, call) in self.take_cancels(job) {
            answer(effects, &from, call, cancel_refusal(ran, retry_ms));
        }
        match ran {
            Ran::No => {
                let queue = self.owner.as_mut().and_then(|term| term.queues.get_mut(&job));
                queue.into_iter().for_each(|queue| queue.stopping = false);
            }
            // It may be in the ledger, so nothing of the job may leave; it's wanted, so it's
            // appended until it surely is.
            Ran::Unknown => self.outbox.push(&LedgerRecord::JobCancelled { job, at: now.wall }),
        }
    }

    /// The cancellation is in the ledger: running attempts are stopped.
    pub(super) fn cancel_applied(&mut self, now: Now, job: JobId, effects: &mut Effects) {
        note(effects, job, "cancelled", "no item of it is started any more".to_owned());
        count(effects, Counter::Event("jobs_cancelled"));
        let lease = self.settings.lease;
        let Some(term) = self.owner.as_mut() else { return };
        term.queues.remove(&job);
        let everyone_until = term.since + lease;
        term.pushes.insert(job, CancelPush { next: now.mono, everyone_until });
        self.push_cancels(now, effects);
    }

    /// Pushes due cancellations; forgets those that nobody runs any more.
    pub(super) fn push_cancels(&mut self, now: Now, effects: &mut Effects) {
        let repeat = self.settings.cancel_repeat;
        let Some(term) = self.owner.as_mut() else { return };
        let (lots, epoch) = (&term.lots, term.epoch);
        term.pushes.retain(|job, push| {
            if push.next > now.mono {
                return true;
            }
            let everyone = now.mono < push.everyone_until;
            let vms = if everyone { Vec::new() } else { lots.vms_of(*job) };
            if !everyone && vms.is_empty() {
                return false;
            }
            push.next = now.mono + repeat;
            effects.push(ServiceEffect::CancelRunning { job: *job, epoch, vms });
            true
        });
    }

    fn take_cancels(&mut self, job: JobId) -> Vec<(VmName, CallId)> {
        let term = self.owner.as_mut();
        term.and_then(|term| term.cancels.remove(&job)).unwrap_or_default()
    }
}

fn cancel_refusal(ran: Ran, retry_ms: u64) -> ShardAnswer {
    let detail = "the cancellation can't be made durable now; asking again is safe";
    let reason = RefusalReason::StoreUnavailable;
    let refusal = Refusal { ran, ..Refusal::not_run(reason, detail) };
    ShardAnswer::Refused(refusal.retry_after(retry_ms))
}
