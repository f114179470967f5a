//! One job that a gateway owns.

use std::{sync::Arc, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;

const DELAY: Duration = Duration::from_millis(400);
const BYTES: usize = 1 << 20;

fn job(items: usize) -> OwnedJob {
    OwnedJob::new(Arc::new(spec("j", 0, items)), Vec::new(), Now::at_millis(0))
}

/// A job with one item that was accepted at a time.
fn named_job(id: &str, accepted_ms: u64) -> OwnedJob {
    let now = Now::at_millis(accepted_ms);
    OwnedJob::new(Arc::new(spec(id, accepted_ms, 1)), Vec::new(), now)
}

fn spec(id: &str, accepted_ms: u64, items: usize) -> JobSpec {
    let item = |n| ItemSpec {
        id: format!("i{n}"),
        path: "/b/1".to_owned(),
        headers: Vec::new(),
        body: Vec::new(),
        answer: AnswerSize::default(),
        limit_tokens: 9,
    };
    let terms = JobTerms {
        due: Duration::from_secs(18),
        item_lifetime: Duration::from_secs(60),
        max_attempts: 2,
    };
    JobSpec {
        id: id.to_owned(),
        host: "h".to_owned(),
        path: "/b/".to_owned(),
        route: "r1".to_owned(),
        account: String::new(),
        accepted_at: WallTime(accepted_ms),
        terms,
        items: (0..items).map(item).collect(),
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn line(id: &str) -> Arc<ResultLine> {
    let (state, output) = (ItemState::Completed, "other".to_owned());
    Arc::new(ResultLine { id: id.to_owned(), state, output })
}

fn complete(job: &mut OwnedJob, index: usize, now: MonoTime) {
    job.start_item(index);
    job.add_progress(index, 2, b"a\nb");
    job.end_item(index, &ItemEnd::Completed, now);
}

#[test]
fn an_items_output_joins_its_runs() {
    let mut job = job(1);
    job.start_item(0);
    job.add_progress(0, 2, b"a\nb");
    job.end_item(0, &ItemEnd::Preempted, at(10));
    assert_eq!(job.next_item(at(10)), None, "it pauses after it was broken off");
    assert_eq!(job.next_item(at(300)), Some(0));
    let (_, last) = job.start_item(0);
    assert_eq!(last, Some(2));
    job.add_progress(0, 3, b"c");
    job.end_item(0, &ItemEnd::Completed, at(400));
    let lines = job.take_pending(DELAY, BYTES, at(400)).expect("the job is complete");
    assert_eq!(lines[0].output, "a\nb\nc");
}

/// Symptom: a position of a job's list holds another result than before. Sequence: a write of
/// results gets no answer, more results come, the write is tried again with all of them, the first
/// one takes effect late. Cause: what is tried again was not the same.
#[test]
fn results_being_stored_stay_the_same() {
    let mut job = job(3);
    complete(&mut job, 0, at(0));
    let first = job.take_pending(DELAY, BYTES, at(1_000)).expect("it waited long enough");
    complete(&mut job, 1, at(1_000));
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), None, "one write at a time");
    job.stored(at(9_000));
    assert_eq!(job.results(), first.as_slice());
    let second = job.take_pending(DELAY, BYTES, at(9_500)).expect("the next one");
    assert_eq!(second.len(), 1);
}

/// Symptom: an item stands at two positions. Sequence: an owner is taken for dead, another gateway
/// runs the job and stores a result, the first one stores its own of the same item. Cause: what
/// was found at the position didn't replace what was held.
#[test]
fn another_writers_results_come_first() {
    let mut job = job(2);
    complete(&mut job, 0, at(0));
    job.take_pending(DELAY, BYTES, at(1_000)).expect("it waited long enough");
    job.displaced(vec![line("i0")], OwnershipGeneration::default().next(), at(1_010));
    assert_eq!(job.results(), [line("i0")]);
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), None, "nothing of it is left");
    assert_eq!(job.next_item(at(9_000)), Some(1));
}

/// Symptom: a result that was read isn't there any more. Sequence: an owner is cut off, another gateway
/// takes its job over; the cut heals, the former owner's write takes effect, and the new one doesn't
/// know of it. Cause: nothing kept the former owner from writing where the list ended.
#[test]
fn a_fence_displaces_the_former_owners_results() {
    let mut job = job(2);
    complete(&mut job, 0, at(0));
    let first = job.take_pending(DELAY, BYTES, at(1_000)).expect("it waited long enough");
    let before = OwnershipGeneration::default();
    let doubt = before.next();
    job.displaced(Vec::new(), doubt, at(1_010));
    assert_eq!(job.take_pending(DELAY, BYTES, at(60_000)), None, "it may be another's job by now");
    job.confirm(before);
    assert!(!job.is_confirmed(), "the question was asked before the fence was found");
    assert_eq!(job.take_pending(DELAY, BYTES, at(60_000)), None);
    job.confirm(doubt);
    assert!(job.is_confirmed());
    assert_eq!((job.results().len(), job.fences()), (0, 1));
    // Should the store say that it's ours after all, the same results go after the fence.
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), Some(first));
    job.stored(at(9_010));
    assert_eq!((job.results().len(), job.fences()), (1, 0));
}

/// A confirmation that is under way when a doubt comes up is none, whether the doubt is about one job or about
/// all, and also where the job isn't on the board yet.
#[test]
fn only_what_is_asked_after_a_doubt_confirms() {
    let mut board = JobTable::default();
    let asked_early = board.ownership_generation();
    board.invalidate_all_ownership();
    let mut owned = job(1);
    owned.confirm(asked_early);
    board.add(owned);
    let is_confirmed = |board: &JobTable| board.get("j").expect("it was added").is_confirmed();
    assert!(!is_confirmed(&board), "it was taken while the links were down");
    let asked = board.ownership_generation();
    board.get_mut("j").expect("it was added").confirm(asked);
    assert!(is_confirmed(&board));
    board.invalidate_ownership("another job");
    assert!(is_confirmed(&board));
    board.invalidate_ownership("j");
    board.get_mut("j").expect("it was added").confirm(asked);
    assert!(!is_confirmed(&board));
}

#[test]
fn an_item_is_given_up_after_its_attempts_only() {
    let mut job = job(1);
    job.start_item(0);
    job.end_item(0, &ItemEnd::Failed, at(0));
    assert!(!job.item_ended(0));
    job.start_item(0);
    job.end_item(0, &ItemEnd::Failed, at(500));
    let lines = job.take_pending(DELAY, BYTES, at(500)).expect("the job is complete");
    assert_eq!(lines[0].state, ItemState::GivenUp);
}

/// Symptom: a job never ends. Sequence: one of its items can never be done. Cause: it was tried
/// again and again.
#[test]
fn an_impossible_item_ends_its_job() {
    let mut job = job(1);
    job.start_item(0);
    job.end_item(0, &ItemEnd::Impossible, at(0));
    job.take_pending(DELAY, BYTES, at(0)).expect("the job is complete");
    job.stored(at(10));
    assert!(job.is_closed());
}

/// Symptom: targets go down one after the other. Sequence: an item crashes each target that runs
/// it. Cause: it went on to the next one without a pause.
#[test]
fn an_item_that_breaks_without_an_event_waits_longer_each_time() {
    let mut job = job(1);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..5 {
        job.start_item(0);
        job.end_item(0, &ItemEnd::Interrupted, at(now));
        let began = now;
        while job.next_item(at(now)).is_none() {
            now += 10;
        }
        waits.push(now - began);
    }
    assert!(waits.windows(2).all(|pair| pair[1] >= 2 * pair[0] - 10), "{waits:?}");
}

#[test]
fn items_are_given_up_when_their_time_is_over_not_before() {
    let mut job = job(1);
    job.give_up_items(false, at(60_000));
    assert!(!job.item_ended(0), "another VM's clock may be behind");
    job.give_up_items(false, at(63_100));
    assert!(job.item_ended(0));
}

/// Symptom: a rolling restart makes every item start again. Sequence: a gateway stops, another one
/// takes its job over. Cause: what the runs had brought was thrown away.
#[test]
fn progress_is_handed_over() {
    let mut before = job(2);
    before.start_item(1);
    before.add_progress(1, 2, b"a\nb");
    before.end_item(1, &ItemEnd::Preempted, at(0));
    let mut after = job(2);
    after.adopt_progress(before.progress());
    assert_eq!(after.next_item(at(0)), Some(1), "the one with progress first");
    assert_eq!(after.start_item(1).1, Some(2));
}

#[test]
fn an_ended_job_starts_and_stores_nothing() {
    let mut job = job(2);
    complete(&mut job, 0, at(0));
    job.end();
    assert_eq!(job.next_item(at(1_000)), None);
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), None);
}

/// Symptom: a burst of jobs larger than what the targets do in time is nearly all late. Sequence: two
/// jobs wait, the one due first can't be done in time any more. Cause: items ran in the order of their
/// due times alone, so each one started when it was just too late for it.
#[test]
fn items_that_would_be_late_let_others_pass() {
    let mut board = JobTable::default();
    board.add(named_job("early", 0));
    board.add(named_job("later", 6_000));
    let first = |board: &JobTable, now| board.next_item(at(now)).map(|(job, _)| job);
    assert_eq!(first(&board, 17_000).as_deref(), Some("early"), "no item's time is known");
    let item = spec("any", 0, 1).items.remove(0);
    board.note_whole_run(&item, Duration::from_secs(4));
    assert_eq!(first(&board, 13_900).as_deref(), Some("early"), "in time");
    assert_eq!(first(&board, 14_100).as_deref(), Some("later"), "the early one's would be late");
    assert_eq!(first(&board, 20_100).as_deref(), Some("early"), "both are late");
    assert_eq!(first(&board, 53_500).as_deref(), Some("early"), "near the end of its lifetime");
}

/// Symptom: an item that only lacks its last events waits as if it were late. Sequence: it was broken
/// off; less than an item's usual time is left. Cause: what it had done didn't count.
#[test]
fn an_item_with_progress_needs_less_time() {
    let mut job = job(2);
    job.start_item(0);
    job.add_progress(0, 2, b"a\nb");
    job.end_item(0, &ItemEnd::Preempted, at(14_000));
    let mut pace = ItemRunTime::default();
    pace.note(Duration::from_secs(4), 0);
    assert!(!job.is_late(0, &pace, at(15_000)));
    assert!(job.is_late(1, &pace, at(15_000)));
}

/// Symptom: a long item begins shortly before its job is due and ends late, before others that would
/// have ended in time. Sequence: items of unlike size run. Cause: all were expected to take as long as
/// the usual one.
#[test]
fn an_items_time_follows_its_tokens() {
    let mut pace = ItemRunTime::default();
    assert_eq!(pace.expected(1_000), Duration::ZERO, "nothing is known yet");
    pace.note(Duration::from_secs(4), 0);
    assert_eq!(pace.expected(1_000), Duration::from_secs(4));
    pace.note(Duration::from_secs(4), 400);
    assert_eq!(pace.expected(800).as_millis(), 8_000);
    assert_eq!(pace.expected(0), Duration::from_secs(4), "one that doesn't say its tokens");
}

/// A reader gets as many results as fit, one at least, none where there is none.
#[test]
fn results_fit_by_their_bytes() {
    let lines = [line("i0"), line("i1"), line("i2")];
    let two = lines[0].approx_bytes() + lines[1].approx_bytes();
    assert_eq!(ResultLine::fitting(&lines, two), &lines[..2]);
    assert_eq!(ResultLine::fitting(&lines, two - 1), &lines[..1]);
    assert_eq!(ResultLine::fitting(&lines, 0), &lines[..1], "a reader must get on");
    assert_eq!(ResultLine::fitting(&[], two), &[]);
}
