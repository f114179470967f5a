//! Failures of lots, leases, targets and owners, one by one: what a user would see, what happens,
//! and why the promise holds.

mod support;

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

use support::{account, answered, drain, failed, job_id, rig, submission, target, vm};

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

// Symptom: an item that silently takes its VM down each time holds its job for ever.
// Sequence: three lots in turn are lost with their VMs.
// Cause: a lapse costs an attempt, and the last one ends the item.
#[test]
fn an_item_lost_with_each_vm_ends() {
    let mut rig = rig();
    rig.submit(&submission(1, 1, true));
    for round in 0..3 {
        rig.pull_lot(round, 1).expect("a lot");
        rig.advance(2_000);
    }
    let progress = rig.status(1).expect("a status");
    assert_eq!((progress.phase, progress.failed), (JobPhase::Done, 1));
    assert_eq!(rig.count(Counter::Retried(RetryReason::LeaseLapsed)), 2);
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

/// Guards against a poisonous item that takes down a third target: the report of its first crash came after its lease had
/// lapsed and was dropped, so that the item left in company and without a mark.
#[test]
fn a_late_report_of_a_crash_still_marks_its_item() {
    let mut rig = rig();
    rig.submit(&submission(1, 5, true));
    let lot = rig.pull_lot(0, 3).expect("a lot");
    rig.advance(10_000);
    rig.give_back(&lot, 1, ReturnReason::TargetCrashed, true);
    let alone = rig.pull_lot(1, 3).expect("a suspect");
    assert_eq!(alone.items.len(), 1, "a suspect leaves alone");
    assert_eq!(alone.items[0].key.item, lot.items[1].key.item);
    rig.give_back(&alone, 0, ReturnReason::TargetCrashed, true);
    assert!(rig.service.state().is_quarantined(lot.items[1].fingerprint), "the second crash");
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

// Symptom: an item that may run once runs twice, or its job never ends.
// Sequence: the release of one attempt is written, its answer lost, so it is appended again; the
// item leaves as another attempt and comes back; the first release is applied a second time.
// Cause: a release frees the very attempt that it names, in the ledger and in the queue.
#[test]
fn a_release_applied_twice_frees_its_own_attempt_only() {
    let mut rig = rig();
    rig.submit(&submission(1, 1, false));
    let first = rig.pull_lot(0, 1).expect("a lot");
    rig.prompt = false;
    rig.give_back(&first, 0, ReturnReason::NotStarted, false);
    rig.reject_next(RejectKind::Unknown, true);
    rig.advance(300);
    let pull = rig.pull(1, 1);
    let (release, claim) = (rig.open.pop_front(), rig.open.pop_front());
    rig.open.extend(claim.into_iter().chain(release));
    rig.commit_next();
    let Some(ShardAnswer::Lot(second)) = rig.answer(pull).cloned() else { panic!("no lot") };
    rig.give_back(&second, 0, ReturnReason::NotStarted, false);
    rig.commit_next();
    let early = rig.pull(2, 1);
    assert!(matches!(rig.answer(early), Some(ShardAnswer::NoWork { .. })), "freed too early");
    rig.prompt = true;
    rig.commit_all();
    drain(&mut rig, 1);
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
