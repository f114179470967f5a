//! Failures one by one: what a user would see, what happens, and why the promise holds.

mod support;

use std::time::Duration;

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

use support::{
    ShardRig, account, answered, attempt, custom_id, failed, job_id, settings, submission, target,
    vm,
};

fn rig() -> ShardRig {
    ShardRig::new(settings())
}

fn refusal(answer: Option<&ShardAnswer>) -> Refusal {
    match answer {
        Some(ShardAnswer::Refused(refusal)) => refusal.clone(),
        other => panic!("not a refusal: {other:?}"),
    }
}

fn is_running(rig: &mut ShardRig, number: usize) -> bool {
    rig.status(number).is_some_and(|progress| progress.phase == JobPhase::Running)
}

/// Runs a job's open items to their end on one VM.
fn drain(rig: &mut ShardRig, number: usize) {
    for _ in 0..200 {
        rig.advance(100);
        while let Some(lot) = rig.pull_lot(0, 4) {
            for item in 0..lot.items.len() {
                rig.done(&lot, item, answered("drained"));
            }
        }
        if !is_running(rig, number) {
            return;
        }
    }
    panic!("job {number} does not end");
}

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

// Symptom: an item is lost with its VM, or has two results.
// Sequence: the lease lapses; the item leaves again; then both VMs report.
// Cause: a lapse costs an attempt and puts the item back; the first result in ledger order counts.
#[test]
fn a_lapsed_lot_leaves_again_and_one_result_counts() {
    let mut rig = rig();
    rig.submit(&submission(1, 1, true));
    let lost = rig.pull_lot(0, 1).expect("a lot");
    rig.advance(1_999);
    assert!(rig.pull_lot(1, 1).is_none());
    rig.advance(1);
    assert_eq!(rig.count(Counter::Retried(RetryReason::LeaseLapsed)), 1);
    let second = rig.pull_lot(1, 1).expect("the item again");
    assert_ne!(second.items[0].attempt, lost.items[0].attempt);
    rig.give_back(&lost, 0, ReturnReason::Preempted, true);
    assert!(rig.pull_lot(2, 1).is_none(), "a stale return puts the item back");
    rig.done(&lost, 0, answered("late but first"));
    let dropped = rig.done(&second, 0, answered("second"));
    assert!(
        matches!(rig.answer(dropped), Some(ShardAnswer::ItemsSettled(keys)) if keys.len() == 1)
    );
    assert_eq!(rig.count(Counter::Dropped(DropReason::DuplicateResult)), 1);
    let lines = rig.results(1, 10).expect("results");
    assert_eq!(lines[0].status, ItemStatus::Ended(answered("late but first")));
}

// Symptom: a sidecar restarts and its items stand still for a lease.
// Sequence: lot out; the sidecar comes back with a new incarnation and pulls.
// Cause: an incarnation's lots die with it.
#[test]
fn a_restarted_sidecar_frees_its_lots() {
    let mut rig = rig();
    rig.submit(&submission(1, 2, true));
    rig.pull_lot(0, 2).expect("a lot");
    let incarnation = Incarnation(2);
    let pull = LotPull { vm: vm(0), incarnation, target: target(), slots: 2 };
    let call = rig.ask(ShardRequest::Pull(pull));
    assert!(matches!(rig.answer(call), Some(ShardAnswer::Lot(lot)) if lot.items.len() == 2));
    assert_eq!(rig.count(Counter::Retried(RetryReason::TargetLost)), 2);
}

// Symptom: a match is posted twice.
// Sequence: the lot of an item that may run once lapses, or its owner dies; or a return of an
// old attempt comes twice.
// Cause: the claim is in the ledger before the lot leaves; only its own "never started" frees it.
#[rstest]
#[case::lapse(false)]
#[case::change_of_owner(true)]
fn an_item_that_may_run_once_ends_as_unknown(#[case] owner_dies: bool) {
    let mut rig = rig();
    rig.submit(&submission(1, 2, false));
    rig.prompt = false;
    let pull = rig.pull(0, 2);
    assert_eq!(rig.answer(pull), None, "left before its claim's commit");
    rig.prompt = true;
    rig.commit_all();
    let Some(ShardAnswer::Lot(lot)) = rig.answer(pull).cloned() else { panic!("no lot") };
    rig.give_back(&lot, 1, ReturnReason::NotStarted, false);
    let second = rig.pull_lot(1, 2).expect("the freed item");
    assert_eq!(second.items.len(), 1);
    rig.give_back(&lot, 1, ReturnReason::NotStarted, false);
    assert!(rig.pull_lot(1, 2).is_none(), "freed by a stale return");
    if owner_dies {
        rig.take_over(false);
    }
    rig.done(&second, 0, answered("posted"));
    for _ in 0..5 {
        rig.advance(1_000);
        assert!(rig.pull_lot(1, 2).is_none(), "ran twice");
    }
    let lines = rig.results(1, 10).expect("results");
    let ItemStatus::Ended(ItemOutcome::Failed { reason, ran, .. }) = &lines[0].status else {
        panic!("{lines:?}");
    };
    assert_eq!((*reason, *ran), (RefusalReason::OutcomeUnknown, Ran::Unknown));
    assert_eq!(lines[1].status, ItemStatus::Ended(answered("posted")));
}

// Symptom: one poisonous item takes target after target down, and its neighbours with it.
// Sequence: a lot of three crashes VM 0; the suspects leave alone; the poison crashes VM 1.
// Cause: after a crash an item leaves alone and elsewhere; the second VM's crash ends it, and
// its fingerprint is known to the whole fleet.
#[test]
fn a_poisonous_item_ends_and_its_job_goes_on() {
    let mut rig = rig();
    rig.submit(&submission(1, 5, true));
    let lot = rig.pull_lot(0, 3).expect("a lot");
    for item in 0..3 {
        rig.give_back(&lot, item, ReturnReason::TargetCrashed, true);
    }
    rig.advance(100);
    let others = rig.pull_lot(0, 3).expect("the other items");
    assert!(others.items.iter().all(|item| item.key.item.0 > 2), "a suspect where it crashed");
    for item in 0..others.items.len() {
        rig.give_back(&others, item, ReturnReason::Preempted, true);
    }
    rig.take_over(false);
    rig.advance(2_000);
    for _ in 0..3 {
        let alone = rig.pull_lot(1, 3).expect("a suspect");
        assert_eq!(alone.items.len(), 1, "a suspect leaves alone");
        match alone.items[0].key.item.0 {
            1 => rig.give_back(&alone, 0, ReturnReason::TargetCrashed, true),
            _ => rig.done(&alone, 0, answered("well")),
        };
    }
    drain(&mut rig, 1);
    let progress = rig.status(1).expect("a status");
    assert_eq!((progress.phase, progress.answered, progress.failed), (JobPhase::Done, 4, 1));
    let line = &rig.results(1, 10).expect("results")[1];
    let ItemStatus::Ended(ItemOutcome::Failed { reason, .. }) = &line.status else { panic!() };
    assert_eq!(*reason, RefusalReason::Quarantined);
    assert!(rig.service.state().is_quarantined(lot.items[1].fingerprint));
}

// Symptom: a few items that can never complete hold their job for ever.
// Sequence: an item fails on each attempt; another comes back half done again and again.
// Cause: failures count up to the job's limit and end in a result; stepping aside costs nothing.
#[test]
fn a_hopeless_item_ends_and_a_patient_one_keeps_its_progress() {
    let mut rig = rig();
    rig.submit(&submission(1, 2, true));
    for round in 0..3 {
        rig.advance(500);
        let lot = rig.pull_lot(0, 2).expect("a lot");
        for (place, item) in lot.items.iter().enumerate() {
            match item.key.item.0 {
                0 => rig.done(&lot, place, failed(true)),
                _ => {
                    assert_eq!(item.progress.is_some(), round > 0);
                    rig.give_back(&lot, place, ReturnReason::Preempted, true)
                }
            };
        }
    }
    drain(&mut rig, 1);
    let progress = rig.status(1).expect("a status");
    assert_eq!((progress.answered, progress.failed), (1, 1));
    assert_eq!(rig.count(Counter::Retried(RetryReason::Preempted)), 3);
    assert_eq!(rig.count(Counter::Retried(RetryReason::TargetFailed)), 2);
}

// Symptom: an item that may run once, and that every target refuses, goes round for ever.
// Sequence: three targets in turn refuse it before it starts.
// Cause: a refusal frees the claim at the cost of an attempt, and the last one ends the item.
#[test]
fn an_item_refused_everywhere_ends() {
    let mut rig = rig();
    rig.submit(&submission(1, 1, false));
    for round in 0..3 {
        rig.advance(500);
        let lot = rig.pull_lot(round, 1).expect("a lot");
        let reason = RefusalReason::Overloaded;
        let detail = String::new();
        rig.done(&lot, 0, ItemOutcome::Failed { reason, retryable: true, ran: Ran::No, detail });
    }
    let progress = rig.status(1).expect("a status");
    assert_eq!((progress.phase, progress.failed), (JobPhase::Done, 1));
    assert_eq!(rig.count(Counter::Retried(RetryReason::Refused)), 2);
}

// Symptom: after a change of owner the job stands still, or everything runs twice.
// Sequence: three items are out when the owner dies.
// Cause: only the stretch that the former owner can have handed out waits, for one lease.
#[test]
fn a_new_owner_holds_back_only_what_may_be_running() {
    let mut rig = rig();
    rig.submit(&submission(1, 12, true));
    let out = rig.pull_lot(0, 3).expect("a lot");
    rig.take_over(false);
    let next = rig.pull_lot(1, 3).expect("later items at once");
    assert_eq!(next.items[0].key.item, ItemIndex(4));
    rig.done(&out, 0, answered("from before"));
    rig.give_back(&out, 1, ReturnReason::Leaving, true);
    let returned = rig.pull_lot(1, 1).expect("the returned item");
    assert_eq!(returned.items[0].key.item, ItemIndex(1));
    rig.advance(2_000);
    drain(&mut rig, 1);
    assert_eq!(rig.results(1, 5).expect("results").len(), 12);
}

// Symptom: another account's big job keeps a small one waiting for hours.
// Sequence: 300 items of one account, then 6 of another.
// Cause: accounts take turns by weighted items, whatever their jobs' sizes.
#[rstest]
#[case::equal(1, 12)]
#[case::double(2, 9)]
fn a_small_job_is_not_starved(#[case] weight: u32, #[case] items_until_done: usize) {
    let mut rig = rig();
    let account_weights = [(account(1), weight)].into();
    rig.handle(ServiceEvent::Policy(JobPolicy { account_weights, ..JobPolicy::default() }));
    rig.submit(&submission(2, 300, true));
    let mut granted = 0;
    let mut small_open = 6;
    rig.pull_lot(0, 3).expect("a lot of the big one");
    rig.submit(&submission(1, 6, true));
    while small_open > 0 {
        let lot = rig.pull_lot(0, 1).expect("a lot");
        granted += lot.items.len();
        small_open -= lot.items.iter().filter(|item| item.key.job == job_id(1)).count();
    }
    assert!(granted <= items_until_done, "{granted} items until the small job was out");
}

// Symptom: a job misses its due time although it could have made it; or the rush to make it
// starves everyone else.
// Sequence: a job late beyond hope beside another account's, of nine times the weight.
// Cause: a late job goes ahead of its turn out of a budget, a share of what others get.
#[rstest]
#[case::none(0.0, 0.0, 7..=10)]
#[case::bounded(0.5, 0.0, 40..=46)]
#[case::by_the_reserve(1.0, 0.5, 40..=46)]
fn a_late_job_gets_a_bounded_floor(
    #[case] floor_share: f64,
    #[case] reserve: f64,
    #[case] wanted: std::ops::RangeInclusive<u32>,
) {
    let mut rig = rig();
    let policy = TargetPolicy { floor_share, ..TargetPolicy::default() };
    let targets = [(target(), policy)].into();
    let account_weights = [(account(0), 9)].into();
    rig.handle(ServiceEvent::Policy(JobPolicy { targets, account_weights }));
    rig.handle(ServiceEvent::OnlineReserve { target: target(), share: reserve });
    rig.submit(&submission(2, 300, true));
    let due = WallTime(rig.now.wall.0 + 1_000);
    rig.submit(&JobSubmission { due, ..submission(1, 300, true) });
    let mut late = 0;
    for _ in 0..90 {
        let lot = rig.pull_lot(0, 1).expect("a lot");
        let is_late = lot.items[0].key.job == job_id(1);
        assert_eq!(lot.urgent, is_late);
        late += u32::from(is_late);
    }
    assert!(wanted.contains(&late), "{late} of 90 to the late job");
    rig.advance(1_000);
    assert_eq!(rig.backlog[0].open, 600);
    assert!(rig.backlog[0].least_laxity_ms < 0);
    assert_eq!(rig.backlog[0].floor, floor_share.min(1.0 - reserve));
}

// Symptom: results can't be read before the job's end, or are out of order, or cost a read each.
// Sequence: results come backwards; pages of two are read while items are open.
// Cause: pages follow the table's order; ids come from cached chunks.
#[test]
fn results_are_readable_while_the_job_runs() {
    let mut rig = rig();
    rig.submit(&submission(1, 12, true));
    let lots: Vec<LotGrant> = std::iter::from_fn(|| rig.pull_lot(0, 3)).collect();
    for lot in lots.iter().skip(1).rev() {
        for item in (0..lot.items.len()).rev() {
            rig.done(lot, item, answered("early"));
        }
    }
    let lines = rig.results(1, 2).expect("results");
    let ids: Vec<String> = lines.iter().map(|line| line.custom_id.clone()).collect();
    let open: usize = lots[0].items.len();
    let expected: Vec<String> = (open as u32..12).map(|n| custom_id(job_id(1), n)).collect();
    assert_eq!(ids, expected);
    assert!(rig.object_reads.values().all(|reads| *reads == 1), "{:?}", rig.object_reads);
    let job = job_id(1);
    let stranger =
        ShardRequest::JobResults { job, account: account(0), from: ItemIndex(0), limit: 5 };
    let stranger = rig.ask(stranger);
    assert_eq!(refusal(rig.answer(stranger)).reason, RefusalReason::NotFound);
    rig.readable = false;
    let call = rig.ask(ShardRequest::JobResults {
        job,
        account: account(1),
        from: ItemIndex(0),
        limit: 5,
    });
    assert_eq!(refusal(rig.answer(call)).reason, RefusalReason::StoreUnavailable);
}

// Symptom: a job hangs because a chunk of its input can't be read.
// Sequence: the chunk is unreadable for a while; another one is gone for good.
// Cause: an unreadable chunk is tried again; a lost one ends its items with a reason.
#[test]
fn an_unreadable_chunk_waits_and_a_lost_one_ends_its_items() {
    let mut rig = rig();
    rig.submit(&submission(1, 10, true));
    rig.objects.remove("chunk/1/10/5");
    rig.readable = false;
    assert!(rig.pull_lot(0, 3).is_none());
    rig.readable = true;
    drain(&mut rig, 1);
    let progress = rig.status(1).expect("a status");
    assert_eq!((progress.answered, progress.failed), (5, 5));
}

fn claim(request: u128, number: u64) -> ShardRequest {
    ShardRequest::Claim {
        request: RequestId(request),
        account: account(1),
        attempt: attempt(number),
        fingerprint: Fingerprint(1),
        retention_ms: 1_000,
    }
}

fn store(request: u128, text: &str) -> ShardRequest {
    ShardRequest::StoreAnswer {
        request: RequestId(request),
        account: account(1),
        fingerprint: Fingerprint(1),
        answer: stored(text),
        retention_ms: 1_000,
    }
}

fn stored(text: &str) -> StoredAnswer {
    StoredAnswer::Answered { status: 200, body: Payload::from(text) }
}

fn verdict(answer: ShardAnswer) -> ClaimVerdict {
    match answer {
        ShardAnswer::Claim(verdict) => verdict,
        other => panic!("{other:?}"),
    }
}

// Symptom: a learner's slot is booked twice, because the client sent its request again.
// Sequence: two gateways claim at once; one runs it; resends come before and after its end, and
// after the answer's retention.
// Cause: the ledger's order names one attempt; the claim outlives the resend window.
#[test]
fn one_attempt_alone_may_run_a_claimed_request() {
    let mut rig = rig();
    rig.prompt = false;
    let (first, second) = (rig.ask(claim(1, 1)), rig.ask(claim(1, 2)));
    assert!(rig.answers.is_empty(), "answered before its commit");
    rig.prompt = true;
    rig.commit_all();
    assert_eq!(rig.answer(first), Some(&ShardAnswer::Claim(ClaimVerdict::Granted)));
    let held = ClaimVerdict::HeldBy(attempt(1));
    assert_eq!(rig.answer(second), Some(&ShardAnswer::Claim(held.clone())));
    assert_eq!(verdict(rig.ask_now(claim(1, 1))), ClaimVerdict::Granted);
    let release = |number| {
        let attempt = attempt(number);
        ShardRequest::ReleaseClaim { request: RequestId(1), attempt }
    };
    rig.ask_now(release(2));
    assert_eq!(verdict(rig.ask_now(claim(1, 2))), held, "released by another attempt");
    rig.ask_now(release(1));
    assert_eq!(verdict(rig.ask_now(claim(1, 2))), ClaimVerdict::Granted);
    let ShardRequest::Claim { request, account, attempt, retention_ms, .. } = claim(1, 3) else {
        return;
    };
    let fingerprint = Fingerprint(2);
    let other = ShardRequest::Claim { request, account, attempt, fingerprint, retention_ms };
    assert_eq!(verdict(rig.ask_now(other)), ClaimVerdict::OtherBody);
    assert_eq!(rig.ask_now(store(1, "booked")), ShardAnswer::Done);
    assert_eq!(rig.ask_now(store(1, "booked again")), ShardAnswer::Done);
    assert_eq!(verdict(rig.ask_now(claim(1, 3))), ClaimVerdict::Ended(stored("booked")));
    let fetch = |number: usize| ShardRequest::FetchAnswer {
        request: RequestId(1),
        account: support::account(number),
    };
    assert_eq!(rig.ask_now(fetch(1)), ShardAnswer::Answer(Some(stored("booked"))));
    assert_eq!(refusal(Some(&rig.ask_now(fetch(0)))).reason, RefusalReason::NotFound);
    rig.advance(3_600_000);
    assert_eq!(refusal(Some(&rig.ask_now(fetch(1)))).reason, RefusalReason::Expired);
    assert_eq!(
        verdict(rig.ask_now(claim(1, 3))),
        ClaimVerdict::Ended(StoredAnswer::Unknown),
        "forgotten within the resend window"
    );
    rig.advance(24 * 3_600_000);
    assert!(rig.service.state().requests().is_empty());
}

// Symptom: the shard's memory and the store grow for ever, or a result is gone too early.
// Sequence: a job ends; its retention passes.
// Cause: expiry is a record, so every node forgets the same at the same place.
#[test]
fn an_expired_job_frees_its_records_and_chunks() {
    let mut rig = rig();
    rig.submit(&JobSubmission { retention_ms: 60_000, ..submission(1, 6, true) });
    drain(&mut rig, 1);
    let keys: Vec<String> = rig.objects.keys().cloned().collect();
    assert!(rig.service.unused_chunks(&keys).is_empty());
    rig.advance(30_000);
    let needed = rig.service.state().needed_ranges();
    let ended = rig.records();
    let ended = ended.iter().enumerate();
    let results = ended.filter(|(_, record)| matches!(record, LedgerRecord::ItemEnded { .. }));
    for (seq, _) in results {
        let held = |range: &SeqRange| (range.from..range.until).contains(&(seq as u64));
        assert!(needed.iter().any(held));
    }
    rig.advance(60_000);
    assert!(rig.status(1).is_none());
    assert!(rig.service.state().needed_ranges().is_empty());
    assert!(rig.service.state().live_chunks().is_empty());
    assert_eq!(rig.service.unused_chunks(&keys), keys);
}

// Symptom: one broken record makes a shard unusable; or an owner denies jobs that exist.
// Sequence: a record of a later version is replayed; a snapshot is damaged.
// Cause: a broken record is passed over and counted; no term starts on a broken snapshot.
#[test]
fn broken_bytes_are_passed_over_or_refused() {
    let mut rig = rig();
    rig.submit(&submission(1, 2, true));
    rig.log.push(Payload::from("no record"));
    rig.take_over(false);
    assert_eq!(rig.count(Counter::Dropped(DropReason::Undecodable)), 1);
    assert!(is_running(&mut rig, 1));
    rig.handle(ServiceEvent::SnapshotWanted);
    let (state, upto) = rig.snapshot.clone().expect("a snapshot");
    rig.snapshot = Some((Payload(state[..state.len() / 2].to_vec()), upto));
    rig.take_over(true);
    assert_eq!(rig.count(Counter::Event("snapshots_unreadable")), 1);
    let denied = ShardRequest::JobStatus { job: job_id(1), account: account(1) };
    assert_eq!(rig.ask_now(denied), ShardAnswer::NotOwner { owner: None });
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
