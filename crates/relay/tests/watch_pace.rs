//! How often a watch is repeated under few and under many changes.

use std::time::Duration;

use notch_relay::prelude::WatchPace;
use notch_types::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(millis)
}

/// Follows changes that come every `interval` for ten seconds. Returns the number of calls and the longest time until a
/// change is heard of, milliseconds.
fn follow(interval: u64) -> (usize, u64) {
    let mut pace = WatchPace::new(at(0));
    let (mut now, mut calls, mut slowest) = (0, 0, 0);
    while now < 10_000 {
        let asked = now + pace.next_pause(at(now)).as_millis() as u64;
        // The call is answered by the first change that wasn't told before, which may have come during the pause.
        let first = (now / interval + 1) * interval;
        let answered = asked.max(first);
        slowest = slowest.max(answered - first);
        calls += 1;
        now = answered;
    }
    (calls, slowest)
}

#[test]
fn single_changes_are_heard_of_at_once() {
    assert_eq!(follow(1_000).1, 0);
}

/// Guards against a call for each of hundreds of targets that register one after the other.
#[test]
fn a_storm_of_changes_costs_few_calls() {
    let (calls, slowest) = follow(10);
    assert!(calls <= 25, "{calls} calls");
    assert!(slowest <= 500, "{slowest} ms");
}
