//! Failures of submission, cancellation and the store, one by one: what a user would see, what
//! happens, and why the promise holds.

mod support;

use std::time::Duration;

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

use support::{
    ShardRig, account, answered, claim, drain, job_id, refusal, rig, settings, submission, vm,
};

// Symptom: a client that saw no answer sends its job again, and the job runs twice.
// Sequence: submission; resend before the commit; commit; resend; the same key with other input.
// Cause: the id is the key's, so all but the first find the job; none is answered early.
#[test]
fn a_resent_job_is_the_same_job() {
    let mut rig = rig();
    rig.prompt = false;
    let first = rig.submit(&submission(1, 4, true));
    let again = rig.submit(&submission(1, 4, true));
    let other = rig.submit(&submission(1, 5, true));
    assert!([first, again, other].iter().all(|call| rig.answer(*call).is_none()));
    rig.commit_all();
    let resend = |rig: &ShardRig, call| match rig.answer(call) {
        Some(ShardAnswer::JobAccepted { resend, .. }) => *resend,
        other => panic!("{other:?}"),
    };
    assert!(!resend(&rig, first));
    assert!(resend(&rig, again));
    let late = rig.submit(&submission(1, 4, true));
    assert!(resend(&rig, late));
    assert_eq!(refusal(rig.answer(other)).reason, RefusalReason::KeyReused);
    assert_eq!(rig.log.len(), 1);
}

/// Guards against a client that is told of a resend though it submitted its job once: the answer to the gateway was lost, the
/// gateway asked again, and the job had been accepted meanwhile.
#[test]
fn a_submission_that_the_gateway_sends_again_is_no_resend() {
    let mut rig = rig();
    rig.prompt = false;
    let sent = JobSubmission { attempt: 5, ..submission(1, 4, true) };
    let resend = |rig: &ShardRig, call| match rig.answer(call) {
        Some(ShardAnswer::JobAccepted { resend, .. }) => *resend,
        other => panic!("{other:?}"),
    };
    let first = rig.submit(&sent);
    let again = rig.submit(&sent);
    rig.commit_all();
    assert!(!resend(&rig, first) && !resend(&rig, again), "sent twice before the commit");
    let later = rig.submit(&sent);
    assert!(!resend(&rig, later), "sent once more after it");
    let by_client = rig.submit(&JobSubmission { attempt: 6, ..sent });
    assert!(resend(&rig, by_client));
}

// Symptom: a client is told "not run" of a job that runs.
// Sequence: the append's answer is lost; the client resends in the outage; a new owner replays.
// Cause: a lost answer settles nothing, so every refusal says unknown until the ledger is read.
#[test]
fn a_lost_answer_is_told_as_unknown() {
    let mut rig = rig();
    rig.prompt = false;
    let first = rig.submit(&submission(1, 4, true));
    rig.reject_next(RejectKind::Unknown, false);
    assert_eq!(refusal(rig.answer(first)).ran, Ran::Unknown);
    let again = rig.submit(&submission(1, 4, true));
    assert_eq!(refusal(rig.answer(again)).ran, Ran::Unknown);
    let fresh = rig.submit(&submission(2, 4, true));
    let fresh = refusal(rig.answer(fresh));
    assert_eq!((fresh.ran, fresh.reason), (Ran::No, RefusalReason::StoreUnavailable));
    assert!(fresh.retry_after_ms.is_some());
}

// Symptom: a job's input is gone when its first item is to run.
// Sequence: the intake writes chunks, stalls past half the grace time, and submits.
// Cause: garbage collection may take a chunk that nothing names, so old ones are not named.
#[rstest]
#[case::just_young_enough(1_800_000, false)]
#[case::older_than_half_the_grace(1_800_001, true)]
fn old_chunks_are_written_anew(#[case] age_ms: u64, #[case] stale: bool) {
    let mut rig = rig();
    let mut submission = submission(1, 12, true);
    submission.chunks[1].age_ms = age_ms;
    let call = rig.submit(&submission);
    let met = rig.answer(call).cloned();
    match stale {
        true => assert_eq!(met, Some(ShardAnswer::ChunksStale(vec![ItemIndex(5)]))),
        false => assert!(matches!(met, Some(ShardAnswer::JobAccepted { .. }))),
    }
    // The ledger, which sees the store's clock, may find them too old later on.
    rig.prompt = false;
    let call = rig.submit(&support::submission(2, 6, true));
    rig.reject_next(RejectKind::ChunkStale, false);
    let firsts = vec![ItemIndex(0), ItemIndex(5)];
    assert_eq!(rig.answer(call), Some(&ShardAnswer::ChunksStale(firsts)));
}

#[rstest]
#[case::no_items(|s: &mut JobSubmission| s.item_count = 0)]
#[case::no_chunks(|s: &mut JobSubmission| s.chunks.clear())]
#[case::not_from_the_start(|s: &mut JobSubmission| s.chunks[0].first = ItemIndex(1))]
#[case::not_rising(|s: &mut JobSubmission| s.chunks.reverse())]
#[case::beyond_the_end(|s: &mut JobSubmission| s.item_count = 5)]
#[case::another_shard(|s: &mut JobSubmission| s.job.shard = ShardId(1))]
fn a_broken_submission_is_refused(#[case] spoil: fn(&mut JobSubmission)) {
    let mut rig = rig();
    let mut submission = submission(1, 6, true);
    spoil(&mut submission);
    let call = rig.ask(ShardRequest::SubmitJob(submission));
    let refusal = refusal(rig.answer(call));
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::BadRequest, Ran::No));
    assert_eq!(rig.count(Counter::Refused(RefusalReason::BadRequest)), 1);
}

// Symptom: in an outage the fleet stands still, or memory grows, or results are lost.
// Sequence: the store goes down under a running job and comes back.
// Cause: accepted idempotent work needs no ledger to leave; its results wait in a bounded
// buffer, are appended again after a pause, and nothing is settled before its commit.
#[test]
fn work_goes_on_in_an_outage_up_to_a_bound() {
    let mut rig = ShardRig::new(JobSettings { buffered_bytes: 3_000, ..settings() });
    rig.submit(&submission(1, 40, true));
    rig.submit(&submission(3, 4, false));
    rig.prompt = false;
    let mut reports = Vec::new();
    let mut granted = 0;
    for _ in 0..10 {
        if let Some(lot) = rig.pull_lot(0, 3) {
            assert!(lot.idempotent, "a claim left without its commit");
            granted += 1;
            reports.extend((0..lot.items.len()).map(|item| {
                rig.done(&lot, item, answered("a result of some forty bytes and no more"))
            }));
        }
        rig.reject_next(RejectKind::NotCommitted, false);
    }
    assert!((2..10).contains(&granted), "{granted} lots");
    assert!(reports.iter().all(|call| !matches!(
        rig.answer(*call),
        Some(ShardAnswer::ItemsSettled(settled)) if !settled.is_empty()
    )));
    let refused = rig.submit(&submission(2, 4, true));
    let refused = refusal(rig.answer(refused));
    assert_eq!((refused.reason, refused.ran), (RefusalReason::StoreUnavailable, Ran::No));
    let claim = rig.ask(claim(1, 1));
    assert_eq!(refusal(rig.answer(claim)).reason, RefusalReason::StoreUnavailable);
    let cancel = rig.cancel(1);
    assert_eq!(refusal(rig.answer(cancel)).ran, Ran::No);
    rig.prompt = true;
    rig.commit_all();
    drain(&mut rig, 1);
    drain(&mut rig, 3);
    let lines = rig.results(1, 7).expect("results");
    assert_eq!(lines.len(), 40);
}

// Symptom: memory grows in an outage by the results of what was out before it.
// Sequence: forty items are out; the store goes down; all end; it comes back; all report again.
// Cause: results above the bound are not taken; the sidecar keeps them and reports again.
#[test]
fn results_above_the_bound_stay_with_their_sidecars() {
    let mut rig = ShardRig::new(JobSettings { buffered_bytes: 2_000, ..settings() });
    rig.submit(&submission(1, 40, true));
    let lots: Vec<LotGrant> = std::iter::from_fn(|| rig.pull_lot(0, 3)).collect();
    rig.prompt = false;
    let finish = |rig: &mut ShardRig| {
        for lot in &lots {
            (0..lot.items.len()).for_each(|item| {
                rig.done(lot, item, answered("a result of some forty bytes and no more"));
            });
        }
    };
    finish(&mut rig);
    let buffered: usize = rig.open.iter().flat_map(|open| &open.records).map(|r| r.len()).sum();
    assert!(buffered <= 2_000 + 200, "{buffered} bytes");
    assert!(rig.count(Counter::Dropped(DropReason::BufferFull)) > 0);
    for _ in 0..40 {
        rig.commit_all();
        finish(&mut rig);
    }
    rig.commit_all();
    assert_eq!(rig.results(1, 100).expect("results").len(), 40);
}

// Symptom: the cancelled job's items go on running, or start again.
// Sequence: cancel while a lot is out; the sidecar is slow to answer; a result comes late.
// Cause: nothing leaves once the cancellation is on its way; it is pushed until every lot is
// accounted for; results after it don't count.
#[test]
fn a_cancelled_job_stops() {
    let mut rig = rig();
    rig.submit(&submission(1, 9, true));
    let lot = rig.pull_lot(0, 3).expect("a lot");
    rig.done(&lot, 0, answered("in time"));
    rig.advance(2_000);
    let lot = rig.pull_lot(1, 2).expect("a lot");
    rig.prompt = false;
    let cancel = rig.cancel(1);
    assert!(rig.pull_lot(0, 3).is_none(), "granted while its cancellation is on its way");
    assert_eq!(rig.answer(cancel), None);
    rig.prompt = true;
    rig.commit_all();
    let Some(ShardAnswer::Job(progress)) = rig.answer(cancel) else { panic!("no answer") };
    assert_eq!(
        (progress.phase, progress.answered, progress.cancelled),
        (JobPhase::Cancelled, 1, 8)
    );
    assert_eq!(rig.cancels, [(job_id(1), vec![vm(1)])]);
    rig.advance(200);
    assert_eq!(rig.cancels.len(), 2, "pushed again");
    let late = rig.done(&lot, 0, answered("late"));
    let settled = ShardAnswer::ItemsSettled(vec![lot.items[0].key]);
    assert_eq!(rig.answer(late), Some(&settled));
    rig.give_back(&lot, 1, ReturnReason::Cancelled, true);
    rig.advance(200);
    rig.advance(200);
    assert_eq!(rig.cancels.len(), 2, "acknowledged");
    let lines = rig.results(1, 100).expect("results");
    assert_eq!(lines.iter().filter(|line| line.status == ItemStatus::Cancelled).count(), 8);
    assert!(rig.pull_lot(0, 3).is_none());
    let again = rig.cancel(1);
    assert!(matches!(rig.answer(again), Some(ShardAnswer::Job(_))));
    let stranger = ShardRequest::CancelJob { job: job_id(1), account: account(0) };
    let stranger = rig.ask(stranger);
    assert_eq!(refusal(rig.answer(stranger)).reason, RefusalReason::NotFound);
}

// Symptom: an item that may run once starts in a job whose cancellation is on its way.
// Sequence: its claim is on its way; the cancellation follows; the claim commits first.
// Cause: a job that is being cancelled sends nothing, and the unused claim is freed.
#[test]
fn a_claimed_lot_does_not_leave_a_job_that_is_being_cancelled() {
    let mut rig = rig();
    rig.submit(&submission(1, 1, false));
    rig.prompt = false;
    let pull = rig.pull(0, 1);
    rig.cancel(1);
    rig.commit_next();
    assert!(matches!(rig.answer(pull), Some(ShardAnswer::NoWork { .. })));
}

// Symptom: a cancelled job's items run on after its shard's owner died.
// Sequence: the owner commits the cancellation and dies before it is pushed.
// Cause: the new owner doesn't know the lots, so it tells every sidecar for one lease.
#[test]
fn a_new_owner_pushes_a_fresh_cancellation_to_all() {
    let mut rig = rig();
    rig.submit(&submission(1, 9, true));
    rig.pull_lot(0, 3).expect("a lot");
    rig.cancel(1);
    rig.cancels.clear();
    rig.take_over(false);
    assert_eq!(rig.cancels, [(job_id(1), Vec::new())]);
    rig.advance(2_100);
    rig.cancels.clear();
    rig.advance(1_000);
    assert_eq!(rig.cancels, []);
}

// Symptom: a call hangs because the store never answers.
// Sequence: an append stays silent; a report waits for it.
// Cause: a report is answered after the park time with what is settled, and the sidecar keeps
// the rest; silence counts as an outage, so new submissions are refused truthfully.
#[test]
fn silence_of_the_store_ends_in_answers() {
    let mut rig = rig();
    rig.submit(&submission(1, 2, true));
    let lot = rig.pull_lot(0, 2).expect("a lot");
    rig.prompt = false;
    let report = rig.done(&lot, 0, answered("early"));
    rig.advance(999);
    assert_eq!(rig.answer(report), None);
    let wake = rig.service.next_wake().expect("a wake");
    assert!(wake <= rig.now.mono + Duration::from_millis(1));
    rig.advance(1);
    assert_eq!(rig.answer(report), Some(&ShardAnswer::ItemsSettled(Vec::new())));
    let refused = rig.submit(&submission(2, 4, true));
    assert_eq!(refusal(rig.answer(refused)).reason, RefusalReason::StoreUnavailable);
    let again = rig.done(&lot, 0, answered("early"));
    rig.commit_all();
    let settled = ShardAnswer::ItemsSettled(vec![lot.items[0].key]);
    assert_eq!(rig.answer(again), Some(&settled));
}
