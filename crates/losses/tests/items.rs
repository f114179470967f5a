//! Why items of jobs came late, and what calls to the store were for.

use notch_losses::prelude::*;
use rstest::rstest;

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

/// A job of one item that is due at 10 s, and its first run.
const BEGIN: &str = "\
 0.0 g-1 event=started owner=g-1#1
 1.0 g-1 event=job_owned job=j items=1 cause=accepted
 1.0 g-1 event=item_run_started job=j item=a target=t after=-1 due_ms=9000
";

const IN_TIME: &str = "\
 5.0 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=4000
 5.5 g-1 event=results_stored job=j position=0 count=1 ms=8
";

/// The gateway is killed at 6 s, when the item was at its event 90; another one finds nothing of it.
const LOST_RUN: &str = "\
 6.0 g-1 event=target_known target=t9 state=ready
 7.0 g-2 event=job_owned job=j listed=0 cause=owner_gone before=g-1#1
 7.1 g-2 event=item_run_started job=j item=a target=t after=-1 due_ms=2900
 11.0 g-2 event=item_run_ended job=j item=a outcome=200 last_event=99 ms=3900
 11.1 g-2 event=results_stored job=j position=0 count=1 ms=8
";

/// The same gateway had broken the run off before, at event 60.
const LOST_EVENTS: &str = "\
 5.0 g-1 event=item_run_ended job=j item=a outcome=preempted last_event=60 ms=4000
 5.1 g-1 event=target_known target=t9 state=ready
 6.0 g-2 event=job_owned job=j listed=0 cause=owner_gone before=g-1#1
 6.1 g-2 event=item_run_started job=j item=a target=t after=-1 due_ms=3900
 12.0 g-2 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=5900
 12.1 g-2 event=results_stored job=j position=0 count=1 ms=8
";

/// The progress is known to the next owner, which comes late.
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

const NO_PLACE: &str = "\
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
#[case::no_place(NO_PLACE, LateCause::NoPlace)]
#[case::long_run(LONG_RUN, LateCause::LongRun)]
fn a_late_item_has_one_cause(#[case] rest: &str, #[case] cause: LateCause) {
    let account = ItemAccount::of_lines(&lines(&format!("{BEGIN}{rest}")));
    assert_eq!((account.in_time(), account.not_stored()), (0, 0), "{account}");
    for other in LateCause::ALL {
        assert_eq!(account.late(other), usize::from(other == cause), "{account}");
    }
}

#[test]
fn an_item_in_time_has_none() {
    let account = ItemAccount::of_lines(&lines(&format!("{BEGIN}{IN_TIME}")));
    assert_eq!((account.in_time(), account.not_stored()), (1, 0), "{account}");
    assert!(LateCause::ALL.iter().all(|cause| account.late(*cause) == 0), "{account}");
}

/// One that waited 7.5 s for a place and 0.1 s for its result to be stored, and was 0.6 s late.
#[test]
fn a_late_item_counts_under_each_part_that_it_had_no_time_for() {
    let account = ItemAccount::of_lines(&lines(&format!("{BEGIN}{NO_PLACE}")));
    let decided = LateCause::ALL.into_iter().filter(|cause| account.decided(*cause) > 0);
    assert_eq!(decided.collect::<Vec<_>>(), [LateCause::NoPlace, LateCause::LongRun]);
    let table = account.to_string();
    assert!(table.contains("     1 late, 1 in time without it, 7.5 s: no place\n"), "{table}");
}

/// A result that its gateway took with it wasn't stored by what another job's or gateway's write brought.
#[test]
fn a_result_counts_only_as_stored_by_its_own_gateway() {
    let rest = " 5.0 g-1 event=item_run_ended job=j item=a outcome=200 last_event=80 ms=4000
 6.0 g-2 event=results_stored job=j position=0 count=1 ms=8
 6.0 g-1 event=results_stored job=other position=0 count=1 ms=8\n";
    let account = ItemAccount::of_lines(&lines(&format!("{BEGIN}{rest}")));
    assert_eq!((account.in_time(), account.not_stored()), (0, 1), "{account}");
}

#[test]
fn an_item_of_a_job_that_its_client_ended_is_not_late() {
    let rest = " 5.0 g-1 event=item_run_ended job=j item=a outcome=preempted last_event=8 ms=4000
 5.0 g-2 event=job_ended job=j source=client owned=false\n";
    let account = ItemAccount::of_lines(&lines(&format!("{BEGIN}{rest}")));
    assert_eq!((account.in_time(), account.ended(), account.not_stored()), (0, 1, 0), "{account}");
}

/// Counts rise from a process's start on: of two lines the later one holds, and those of a process
/// that was killed stay.
#[test]
fn calls_add_up_over_gateways_and_their_starts() {
    let text = "\
 0.0 g-1 event=started owner=g-1#1
 10.0 g-1 event=store_calls all=7 watch=4 list=3
 20.0 g-1 event=store_calls all=12 watch=8 list=4
 25.0 g-1 event=started owner=g-1#2
 35.0 g-1 event=store_calls all=3 watch=1 list=2
 36.0 g-2 event=store_calls time=x level=info vm=g-2 domain=d all=5 results_stored=5
";
    let mut account = CallAccount::default();
    lines(text).iter().for_each(|line| account.take(line));
    let expected = [("list", 6), ("results_stored", 5), ("watch", 9)];
    let found = account.by_cause();
    let found: Vec<(&str, u64)> = found.iter().map(|(cause, count)| (&**cause, *count)).collect();
    assert_eq!(found, expected);
    let table = account.to_string();
    assert!(table.contains("logged: 20\n") && table.contains("     9   0.450 watch"), "{table}");
}
