//! Causes of late job items, and store calls by cause.

use notch_losses::prelude::*;
use rstest::rstest;

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

/// A job of one item with its deadline at 10 s, and the start of the item's first run.
const BEGIN: &str = "\
 0.0 g-1 event=started owner=g-1#1
 1.0 g-1 event=job_owned job=j items=1 cause=accepted
 1.0 g-1 event=item_run_started job=j item=a target=t after=-1 due_ms=9000
";

const IN_TIME: &str = "\
 5.0 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=4000
 5.5 g-1 event=results_stored job=j position=0 count=1 ms=8
";

/// The gateway is killed after 6 s, when the run had reached event 90; the next owner has to start over.
const LOST_RUN: &str = "\
 6.0 g-1 event=target_known target=t9 state=ready
 7.0 g-2 event=job_owned job=j listed=0 cause=owner_gone before=g-1#1
 7.1 g-2 event=item_run_started job=j item=a target=t after=-1 due_ms=2900
 11.0 g-2 event=item_run_ended job=j item=a outcome=200 last_event=99 ms=3900
 11.1 g-2 event=results_stored job=j position=0 count=1 ms=8
";

/// The gateway had preempted the run at event 60 before it was killed; the next owner has to start over.
const LOST_EVENTS: &str = "\
 5.0 g-1 event=item_run_ended job=j item=a outcome=preempted last_event=60 ms=4000
 5.1 g-1 event=target_known target=t9 state=ready
 6.0 g-2 event=job_owned job=j listed=0 cause=owner_gone before=g-1#1
 6.1 g-2 event=item_run_started job=j item=a target=t after=-1 due_ms=3900
 12.0 g-2 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=5900
 12.1 g-2 event=results_stored job=j position=0 count=1 ms=8
";

/// The next owner knows the progress, but takes the job over late.
const NO_OWNER: &str = "\
 2.0 g-1 event=item_run_ended job=j item=a outcome=preempted last_event=60 ms=1000
 2.1 g-1 event=jobs_left count=1
 2.2 g-1 event=target_known target=t9 state=ready
 9.0 g-2 event=job_owned job=j listed=0 cause=owner_gone before=g-1#1
 9.5 g-2 event=item_run_started job=j item=a target=t after=60 due_ms=500
 10.5 g-2 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=1000
 10.6 g-2 event=results_stored job=j position=0 count=1 ms=8
";

const STORED_LATE: &str = "\
 5.0 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=4000
 12.5 g-1 event=results_stored job=j position=0 count=1 ms=7400
";

const FAILED_RUNS: &str = "\
 6.0 g-1 event=item_run_ended job=j item=a outcome=500 last_event=-1 ms=5000
 6.1 g-1 event=item_run_started job=j item=a target=t after=-1 due_ms=3900
 10.1 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=4000
 10.2 g-1 event=results_stored job=j position=0 count=1 ms=8
";

const NO_FREE_SLOT: &str = "\
 2.0 g-1 event=item_run_ended job=j item=a outcome=preempted last_event=60 ms=1000
 9.5 g-1 event=item_run_started job=j item=a target=t after=60 due_ms=500
 10.5 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=1000
 10.6 g-1 event=results_stored job=j position=0 count=1 ms=8
";

const LONG_RUN: &str = "\
 10.5 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=9500
 10.6 g-1 event=results_stored job=j position=0 count=1 ms=8
";

#[rstest]
#[case::run_lost_with_its_gateway(LOST_RUN, LateCause::LostProgress)]
#[case::events_lost_with_their_gateway(LOST_EVENTS, LateCause::LostProgress)]
#[case::no_owner(NO_OWNER, LateCause::NoOwner)]
#[case::stored_late(STORED_LATE, LateCause::StoredLate)]
#[case::failed_runs(FAILED_RUNS, LateCause::FailedRuns)]
#[case::no_free_slot(NO_FREE_SLOT, LateCause::NoFreeSlot)]
#[case::long_run(LONG_RUN, LateCause::LongRun)]
fn a_late_item_has_one_cause(#[case] rest: &str, #[case] cause: LateCause) {
    let statistics = ItemStatistics::of_lines(&lines(&format!("{BEGIN}{rest}")));
    assert_eq!((statistics.in_time(), statistics.not_stored()), (0, 0), "{statistics}");
    for other in LateCause::ALL {
        assert_eq!(statistics.late(other), usize::from(other == cause), "{statistics}");
    }
}

#[test]
fn an_item_in_time_has_no_cause() {
    let statistics = ItemStatistics::of_lines(&lines(&format!("{BEGIN}{IN_TIME}")));
    assert_eq!((statistics.in_time(), statistics.not_stored()), (1, 0), "{statistics}");
    assert!(LateCause::ALL.iter().all(|cause| statistics.late(*cause) == 0), "{statistics}");
}

/// The item waited 7.5 s for a slot and 0.1 s for its result to be stored, and was 0.6 s late.
#[test]
fn a_late_item_counts_under_each_decisive_cause() {
    let statistics = ItemStatistics::of_lines(&lines(&format!("{BEGIN}{NO_FREE_SLOT}")));
    let decisive = LateCause::ALL.into_iter().filter(|cause| statistics.decisive(*cause) > 0);
    assert_eq!(decisive.collect::<Vec<_>>(), [LateCause::NoFreeSlot, LateCause::LongRun]);
    let table = statistics.to_string();
    assert!(table.contains("     1 late, 1 in time without it, 7.5 s: no place\n"), "{table}");
}

/// A result that was lost with its gateway must not count as stored by a write of another job or gateway.
#[test]
fn a_result_counts_as_stored_only_by_its_own_gateway() {
    let rest = " 5.0 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=4000
 6.0 g-2 event=results_stored job=j position=0 count=1 ms=8
 6.0 g-1 event=results_stored job=other position=0 count=1 ms=8\n";
    let statistics = ItemStatistics::of_lines(&lines(&format!("{BEGIN}{rest}")));
    assert_eq!((statistics.in_time(), statistics.not_stored()), (0, 1), "{statistics}");
}

#[test]
fn an_item_of_a_job_that_its_client_ended_is_not_late() {
    let rest = " 5.0 g-1 event=item_run_ended job=j item=a outcome=preempted last_event=8 ms=4000
 5.0 g-2 event=job_ended job=j source=client owned=false\n";
    let statistics = ItemStatistics::of_lines(&lines(&format!("{BEGIN}{rest}")));
    assert_eq!(
        (statistics.in_time(), statistics.ended(), statistics.not_stored()),
        (0, 1, 0),
        "{statistics}"
    );
}

/// Counts are cumulative since a process's start: the latest line of a process counts, and the counts of a
/// killed process are kept.
#[test]
fn calls_add_up_over_gateways_and_restarts() {
    let text = "\
 0.0 g-1 event=started owner=g-1#1
 10.0 g-1 event=store_calls all=7 watch=4 list=3
 20.0 g-1 event=store_calls all=12 watch=8 list=4
 25.0 g-1 event=started owner=g-1#2
 35.0 g-1 event=store_calls all=3 watch=1 list=2
 36.0 g-2 event=store_calls time=x level=info vm=g-2 domain=d all=5 results_stored=5
";
    let mut calls = CallCounts::default();
    lines(text).iter().for_each(|line| calls.add_line(line));
    let expected = [("list", 6), ("results_stored", 5), ("watch", 9)];
    let found = calls.by_cause();
    let found: Vec<(&str, u64)> = found.iter().map(|(cause, count)| (&**cause, *count)).collect();
    assert_eq!(found, expected);
    let table = calls.to_string();
    assert!(table.contains("logged: 20\n") && table.contains("     9   0.450 watch"), "{table}");
}
