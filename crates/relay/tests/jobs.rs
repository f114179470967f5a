//! A job owned by a gateway.

use std::{sync::Arc, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

const DELAY: Duration = Duration::from_millis(400);
const BYTES: usize = 1 << 20;

fn job(items: usize) -> OwnedJob {
    OwnedJob::new(Arc::new(spec("j", 0, items)), Vec::new(), Now::at_millis(0))
}

/// A job with one item, accepted at the given time.
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
    job.start_item(index, "v1");
    job.add_progress(index, 2, b"a\nb");
    job.end_item(index, &ItemEnd::Completed, now);
}

#[test]
fn an_items_output_joins_its_runs() {
    let mut job = job(1);
    job.start_item(0, "v1");
    job.add_progress(0, 2, b"a\nb");
    job.end_item(0, &ItemEnd::Preempted, at(10));
    assert_eq!(job.next_item(at(10)), None, "delayed after the preemption");
    assert_eq!(job.next_item(at(300)), Some(0));
    let (_, last) = job.start_item(0, "v1");
    assert_eq!(last, Some(2));
    job.add_progress(0, 3, b"c");
    job.end_item(0, &ItemEnd::Completed, at(400));
    let write = job.take_pending(DELAY, BYTES, at(400)).expect("the job is complete");
    assert_eq!(write.lines[0].output, "a\nb\nc");
}

/// Guards against different results at the same position of a job's list: a write gets no answer,
/// more results arrive, the write is retried with all of them, and the first write takes effect
/// late.
#[test]
fn results_being_stored_stay_the_same() {
    let mut job = job(3);
    complete(&mut job, 0, at(0));
    let first = job.take_pending(DELAY, BYTES, at(1_000)).expect("it waited long enough");
    complete(&mut job, 1, at(1_000));
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), None, "one write at a time");
    job.stored(at(9_000));
    assert_eq!(job.results(), first.lines.as_slice());
    let second = job.take_pending(DELAY, BYTES, at(9_500)).expect("the next one");
    assert_eq!(second.lines.len(), 1);
}

/// Guards against two results of one item: an owner is wrongly considered dead, another gateway
/// runs the job and stores a result, and the first owner then stores its own result of the same
/// item.
#[test]
fn results_stored_by_another_gateway_take_precedence() {
    let mut job = job(2);
    complete(&mut job, 0, at(0));
    job.take_pending(DELAY, BYTES, at(1_000)).expect("it waited long enough");
    job.displaced(vec![line("i0")], OwnershipGeneration::default().next(), at(1_010));
    assert_eq!(job.results(), [line("i0")]);
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), None, "no result is pending");
    assert_eq!(job.next_item(at(9_000)), Some(1));
}

/// Guards against the loss of a result that a client has read: an owner is partitioned and another
/// gateway takes its job over. After the partition heals, the former owner's write takes effect at
/// the end of the list, and the new owner does not know of it.
#[test]
fn a_fence_blocks_the_former_owners_writes() {
    let mut job = job(2);
    complete(&mut job, 0, at(0));
    let first = job.take_pending(DELAY, BYTES, at(1_000)).expect("it waited long enough");
    let before = OwnershipGeneration::default();
    let doubt = before.next();
    job.displaced(Vec::new(), doubt, at(1_010));
    assert_eq!(job.take_pending(DELAY, BYTES, at(60_000)), None, "ownership is not confirmed");
    job.confirm(before);
    assert!(!job.is_confirmed(), "requested before the fence was found");
    assert_eq!(job.take_pending(DELAY, BYTES, at(60_000)), None);
    job.confirm(doubt);
    assert!(job.is_confirmed());
    assert_eq!((job.results().len(), job.fences()), (0, 1));
    // If the store confirms the ownership after all, the same results are stored after the fence.
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), Some(first));
    job.stored(at(9_010));
    assert_eq!((job.results().len(), job.fences()), (1, 0));
}

/// A confirmation requested before an invalidation does not count, whether the invalidation
/// concerns one job or all jobs, and also if the job is not in the table yet.
#[test]
fn confirmations_requested_before_an_invalidation_are_ignored() {
    let mut jobs = JobTable::default();
    let asked_early = jobs.ownership_generation();
    jobs.invalidate_all_ownership();
    let mut owned = job(1);
    owned.confirm(asked_early);
    jobs.add(owned);
    let is_confirmed = |jobs: &JobTable| jobs.get("j").expect("the job was added").is_confirmed();
    assert!(!is_confirmed(&jobs), "invalidated before the job was added");
    let asked = jobs.ownership_generation();
    jobs.get_mut("j").expect("the job was added").confirm(asked);
    assert!(is_confirmed(&jobs));
    jobs.invalidate_ownership("another job");
    assert!(is_confirmed(&jobs));
    jobs.invalidate_ownership("j");
    jobs.get_mut("j").expect("the job was added").confirm(asked);
    assert!(!is_confirmed(&jobs));
}

fn failed(run: u64) -> ItemEnd {
    ItemEnd::Failed { run: FailedRun { id: run, is_impossible: false } }
}

#[test]
fn an_item_is_given_up_after_its_last_attempt() {
    let mut job = job(1);
    job.start_item(0, "v1");
    job.end_item(0, &failed(1), at(0));
    assert!(!job.item_ended(0));
    job.start_item(0, "v1");
    job.end_item(0, &failed(2), at(500));
    let write = job.take_pending(DELAY, BYTES, at(500)).expect("the job is complete");
    assert_eq!(write.lines[0].state, ItemState::GivenUp);
}

/// Guards against a job that never ends because one of its items can never succeed and is retried
/// forever.
#[test]
fn an_impossible_item_ends_its_job() {
    let mut job = job(1);
    job.start_item(0, "v1");
    job.end_item(0, &ItemEnd::Impossible, at(0));
    job.take_pending(DELAY, BYTES, at(0)).expect("the job is complete");
    job.stored(at(10));
    assert!(job.is_closed());
}

/// Guards against an item that takes down one target after another because it crashes each target
/// that runs it and is retried without a delay.
#[test]
fn interruptions_without_an_event_back_off_exponentially() {
    let mut job = job(1);
    let mut now = 0;
    let mut waits = Vec::new();
    for _ in 0..5 {
        job.start_item(0, "v1");
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
fn items_are_given_up_after_their_lifetime() {
    let mut job = job(1);
    job.give_up_items(false, at(60_000));
    assert!(!job.item_ended(0), "another VM's clock may be behind");
    job.give_up_items(false, at(63_100));
    assert!(job.item_ended(0));
}

/// Guards against restarting every item in a rolling restart: a gateway stops, another one takes
/// over its job, and the progress of the runs is lost.
#[test]
fn progress_is_adopted_after_a_handover() {
    let mut before = job(2);
    before.start_item(1, "v1");
    before.add_progress(1, 2, b"a\nb");
    before.end_item(1, &ItemEnd::Preempted, at(0));
    let mut after = job(2);
    after.adopt_progress(before.progress());
    assert_eq!(after.next_item(at(0)), Some(1), "the item with progress comes first");
    assert_eq!(after.start_item(1, "v1").1, Some(2));
}

/// Guards against a result that joins the events of two software versions: an interrupted item starts at another one, here
/// or at the gateway that takes its job over.
#[rstest]
#[case::the_same("v1", Some(2), "a\nb\nc")]
#[case::another("v2", None, "c")]
#[case::of_an_earlier_build("", None, "c")]
fn an_item_keeps_the_events_of_one_version(
    #[case] version: &str,
    #[case] last: Option<u64>,
    #[case] output: &str,
) {
    let mut before = job(1);
    before.start_item(0, version);
    before.add_progress(0, 2, b"a\nb");
    before.end_item(0, &ItemEnd::Preempted, at(0));
    let mut after = job(1);
    after.adopt_progress(before.progress());
    for mut job in [before, after] {
        assert_eq!(job.item_version(0), Some(version));
        assert_eq!(job.start_item(0, "v1").1, last);
        job.add_progress(0, 3, b"c");
        job.end_item(0, &ItemEnd::Completed, at(400));
        let write = job.take_pending(DELAY, BYTES, at(400)).expect("the job is complete");
        assert_eq!(write.lines[0].output, output);
    }
}

#[test]
fn an_ended_job_starts_and_stores_nothing() {
    let mut job = job(2);
    complete(&mut job, 0, at(0));
    job.end();
    assert_eq!(job.next_item(at(1_000)), None);
    assert_eq!(job.take_pending(DELAY, BYTES, at(9_000)), None);
}

/// Guards against a burst of jobs of which nearly all end late: with items run by due time alone,
/// each item starts when it is just too late for it. Here two jobs wait and the one due first can
/// no longer be done in time.
#[test]
fn late_items_run_after_others() {
    let mut jobs = JobTable::default();
    jobs.add(named_job("early", 0));
    jobs.add(named_job("later", 6_000));
    let first = |jobs: &JobTable, now| jobs.next_item(at(now)).map(|(job, _)| job);
    assert_eq!(first(&jobs, 17_000).as_deref(), Some("early"), "no run time is known");
    let item = spec("any", 0, 1).items.remove(0);
    jobs.note_whole_run(&item, Duration::from_secs(4));
    assert_eq!(first(&jobs, 13_900).as_deref(), Some("early"), "in time");
    assert_eq!(
        first(&jobs, 14_100).as_deref(),
        Some("later"),
        "the item of the early job would be late"
    );
    assert_eq!(first(&jobs, 20_100).as_deref(), Some("early"), "the items of both jobs are late");
    assert_eq!(first(&jobs, 53_500).as_deref(), Some("early"), "its lifetime is nearly over");
}

/// Guards against treating a preempted item as late when only its last events are missing: less
/// than its full run time is left, and its progress must count.
#[test]
fn an_item_with_progress_needs_less_time() {
    let mut job = job(2);
    job.start_item(0, "v1");
    job.add_progress(0, 2, b"a\nb");
    job.end_item(0, &ItemEnd::Preempted, at(14_000));
    let mut run_time = ItemRunTime::default();
    run_time.note(Duration::from_secs(4), 0);
    assert!(!job.is_late(0, &run_time, at(15_000)));
    assert!(job.is_late(1, &run_time, at(15_000)));
}

/// Guards against starting a long item shortly before its job is due, ahead of items that would
/// still end in time, because all items are expected to take the average run time.
#[test]
fn run_time_scales_with_tokens() {
    let mut run_time = ItemRunTime::default();
    assert_eq!(run_time.expected(1_000), Duration::ZERO, "no data yet");
    run_time.note(Duration::from_secs(4), 0);
    assert_eq!(run_time.expected(1_000), Duration::from_secs(4));
    run_time.note(Duration::from_secs(4), 400);
    assert_eq!(run_time.expected(800).as_millis(), 8_000);
    assert_eq!(run_time.expected(0), Duration::from_secs(4), "the token count is unknown");
}

/// A reader gets as many results as fit, but at least one if there is any.
#[test]
fn results_are_limited_by_bytes() {
    let lines = [line("i0"), line("i1"), line("i2")];
    let two = lines[0].json_bytes() + lines[1].json_bytes();
    assert_eq!(ResultLine::fitting(&lines, two), &lines[..2]);
    assert_eq!(ResultLine::fitting(&lines, two - 1), &lines[..1]);
    assert_eq!(ResultLine::fitting(&lines, 0), &lines[..1], "a reader must make progress");
    assert_eq!(ResultLine::fitting(&[], two), &[]);
}

/// Guards against an item that waits longer after crashes than its job has time.
#[test]
fn an_item_that_met_crashes_is_tried_again_in_time() {
    let mut job = job(1);
    let mut now = at(0);
    let mut starts = Vec::new();
    while now < at(18_000) {
        if job.next_item(now).is_some() {
            job.start_item(0, "v1");
            job.end_item(0, &ItemEnd::Interrupted, now);
            starts.push(now);
        }
        now = now + Duration::from_millis(10);
    }
    let pauses = starts.windows(2).map(|pair| (pair[1].since(pair[0]), at(18_000).since(pair[0])));
    for (pause, left) in pauses {
        assert!(pause <= left / 4 + Duration::from_millis(160), "{pause:?} of {left:?}");
    }
    assert!(starts.len() < 40, "{} runs", starts.len());
    assert!(at(18_000).since(*starts.last().expect("runs")) < Duration::from_millis(500));
}

/// Guards against targets that write without end and fill a gateway's memory with the output of interrupted items.
#[test]
fn the_output_held_of_an_interrupted_item_is_bounded() {
    let mut job = job(1);
    for (bytes, held) in [(100 << 10, Some(1)), (100 << 10, Some(1)), (100 << 10, None)] {
        job.start_item(0, "v1");
        job.add_progress(0, 1, &vec![b'x'; bytes]);
        job.end_item(0, &ItemEnd::Interrupted, at(0));
        assert_eq!(job.progress().first().map(|held| held.last_event), held);
    }
    job.start_item(0, "v1");
    job.add_progress(0, 1, &vec![b'x'; 300 << 10]);
    job.end_item(0, &ItemEnd::Completed, at(0));
    let write = job.take_pending(DELAY, 1 << 20, at(0)).expect("the job is complete");
    assert_eq!(write.lines[0].output.len(), 300 << 10, "a whole output is kept");
}
