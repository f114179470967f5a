//! Acceptance of jobs.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{Effects, ShardService, answer, count, millis, not_found, note, outbox::AppendPurpose};
use crate::{
    record::{AcceptedJob, LedgerRecord},
    service::event::RejectKind,
    state::item_table::MAX_ITEMS,
};

/// A caller that waits for a job's acceptance.
#[derive(Debug)]
pub(super) struct SubmitCall {
    from: VmName,
    call: CallId,
    submission: JobSubmission,
}

impl SubmitCall {
    /// Who waits.
    pub(super) fn caller(&self) -> (VmName, CallId) {
        (self.from.clone(), self.call)
    }

    /// Keys of the chunks it names.
    pub(super) fn chunk_keys(&self) -> impl Iterator<Item = &str> {
        self.submission.chunks.iter().map(|chunk| chunk.key.as_str())
    }
}

impl ShardService {
    pub(super) fn submit(
        &mut self,
        now: Now,
        from: VmName,
        call: CallId,
        submission: JobSubmission,
        effects: &mut Effects,
    ) {
        let job = submission.job;
        if self.state.job(job).is_some() {
            let known = self.answer_known(&submission, true);
            answer(effects, &from, call, known);
            return;
        }
        if let Some(refused) = self.refuse_submission(now, &submission) {
            if matches!(refused, ShardAnswer::ChunksStale(_)) {
                count(effects, Counter::Event("chunks_stale"));
            }
            answer(effects, &from, call, refused);
            return;
        }
        let Some(term) = self.owner.as_mut() else { return };
        let waiting = term.submits.entry(job).or_default();
        let first = waiting.is_empty();
        let accepted = accepted_job(&submission);
        waiting.push(SubmitCall { from, call, submission });
        if first {
            let chunks = accepted.chunks.iter().map(|(key, _)| key.clone()).collect();
            let record = LedgerRecord::JobAccepted(accepted);
            let purpose = AppendPurpose::Submit(job);
            self.outbox.append(now.mono, purpose, &[record], chunks, effects);
        }
    }

    /// The acceptance is in the ledger: everyone who waits is answered from the state.
    pub(super) fn submit_committed(&mut self, job: JobId, effects: &mut Effects) {
        for (place, call) in self.take_submits(job).into_iter().enumerate() {
            let known = self.answer_known(&call.submission, place > 0);
            answer(effects, &call.from, call.call, known);
        }
        if let Some(state) = self.state.job(job) {
            let detail = format!("{} items", state.items().len());
            note(effects, job, "accepted", detail);
            count(effects, Counter::Event("jobs_accepted"));
        }
    }

    pub(super) fn submit_rejected(&mut self, job: JobId, kind: RejectKind, effects: &mut Effects) {
        if kind == RejectKind::Unknown {
            self.doubtful.insert(job);
        }
        for call in self.take_submits(job) {
            let refused = match kind {
                RejectKind::NotCommitted => self.store_refusal(job),
                RejectKind::ChunkStale => {
                    count(effects, Counter::Event("chunks_stale"));
                    ShardAnswer::ChunksStale(
                        call.submission.chunks.iter().map(|chunk| chunk.first).collect(),
                    )
                }
                RejectKind::Unknown => self.store_refusal(job),
            };
            answer(effects, &call.from, call.call, refused);
        }
    }

    fn take_submits(&mut self, job: JobId) -> Vec<SubmitCall> {
        let term = self.owner.as_mut();
        term.and_then(|term| term.submits.remove(&job)).unwrap_or_default()
    }

    fn answer_known(&self, submission: &JobSubmission, resend: bool) -> ShardAnswer {
        let Some(state) = self.state.job(submission.job) else { return not_found() };
        let accepted = state.accepted();
        if accepted.account != submission.account {
            return not_found();
        }
        if accepted.content != submission.content {
            let detail = "the key was used for a job with another input";
            return ShardAnswer::Refused(Refusal::not_run(RefusalReason::KeyReused, detail));
        }
        let is_same_attempt = submission.attempt != 0 && submission.attempt == accepted.attempt;
        let resend = resend && !is_same_attempt;
        match self.progress(submission.job) {
            Some(progress) => ShardAnswer::JobAccepted { progress, resend },
            None => not_found(),
        }
    }

    fn refuse_submission(&self, now: Now, submission: &JobSubmission) -> Option<ShardAnswer> {
        let refuse =
            |reason, detail: &str| Some(ShardAnswer::Refused(Refusal::not_run(reason, detail)));
        if let Some(detail) = submission_fault(submission, self.shard) {
            return refuse(RefusalReason::BadRequest, detail);
        }
        if submission.item_count > self.settings.max_items.min(MAX_ITEMS) {
            return refuse(RefusalReason::TooLarge, "more items than one job may have");
        }
        let names: usize = submission.chunks.iter().map(|chunk| chunk.key.len() + 16).sum();
        if names > self.settings.body_bytes {
            return refuse(RefusalReason::TooLarge, "more chunks than one record can name");
        }
        // A chunk that no job names yet is deleted after the grace time. One older than half of
        // it could be gone before the acceptance commits, and the job's input with it.
        let limit = millis(self.settings.chunk_grace) / 2;
        let stale = submission.chunks.iter().filter(|chunk| chunk.age_ms > limit);
        let stale: Vec<ItemIndex> = stale.map(|chunk| chunk.first).collect();
        if !stale.is_empty() {
            return Some(ShardAnswer::ChunksStale(stale));
        }
        let pending = self.owner.as_ref().map_or(0, |term| term.submits.len());
        if self.state.jobs().len() + pending >= self.settings.max_jobs {
            return refuse(RefusalReason::Overloaded, "the shard holds as many jobs as it can");
        }
        self.store_is_down(now).then(|| self.store_refusal(submission.job))
    }

    /// A refusal because the store is down; truthful about an earlier try whose append's answer
    /// was lost.
    fn store_refusal(&self, job: JobId) -> ShardAnswer {
        let refusal = match self.doubtful.contains(&job) {
            true => Refusal::unknown(
                RefusalReason::StoreUnavailable,
                "the job may have been accepted; sending it again is safe",
            ),
            false => Refusal::not_run(
                RefusalReason::StoreUnavailable,
                "the job can't be made durable now and was not accepted",
            ),
        };
        ShardAnswer::Refused(refusal.retry_after(self.store_retry_ms()))
    }
}

fn accepted_job(submission: &JobSubmission) -> AcceptedJob {
    let chunks = submission.chunks.iter().map(|chunk| (chunk.key.clone(), chunk.first));
    AcceptedJob {
        job: submission.job,
        account: submission.account.clone(),
        target: submission.target.clone(),
        due: submission.due,
        item_count: submission.item_count,
        idempotent: submission.idempotent,
        max_attempts: submission.max_attempts.max(1),
        retention_ms: submission.retention_ms,
        chunks: chunks.collect(),
        content: submission.content,
        attempt: submission.attempt,
    }
}

fn submission_fault(submission: &JobSubmission, shard: ShardId) -> Option<&'static str> {
    let chunks = &submission.chunks;
    let rising = chunks.windows(2).all(|pair| pair[0].first < pair[1].first);
    let inside = chunks.last().is_some_and(|last| last.first.0 < submission.item_count);
    if submission.job.shard != shard {
        Some("the job's id names another shard")
    } else if submission.item_count == 0 {
        Some("a job needs an item")
    } else if chunks.first().is_none_or(|first| first.first != ItemIndex(0)) || !rising || !inside {
        Some("chunks must start at item 0 and rise within the job")
    } else {
        None
    }
}
