//! Reuse of idle connections for requests that must not run twice.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;

const ANNOUNCED: Option<Duration> = Some(Duration::from_secs(10));
const SECOND: Duration = Duration::from_secs(1);

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Requests that must not run twice, sent to one target every 1.5 s for a minute between repeatable ones that find the
/// connection idle for longer. Returns how many of them need a new connection.
fn new_connections(is_learning: bool) -> usize {
    let mut reuse = IdleReuse::new(is_learning);
    let idle = Duration::from_millis(1_500);
    let requests = (0..40).map(|number| at(number * 1_500));
    requests
        .filter(|now| {
            let is_new = idle >= reuse.limit(ANNOUNCED);
            reuse.note_answered(ANNOUNCED, Duration::from_millis(2_200), *now);
            is_new
        })
        .count()
}

/// Guards against a new connection for nearly every request where each gateway seldom uses a target.
#[test]
fn connections_proven_to_work_are_reused() {
    assert_eq!(new_connections(false), 40, "the fixed limit");
    assert_eq!(new_connections(true), 1);
}

/// Guards against a request that is lost on a connection that the target has dropped while idle.
#[test]
fn a_failure_restores_the_initial_limit() {
    let mut reuse = IdleReuse::new(true);
    reuse.note_answered(ANNOUNCED, SECOND * 4, at(0));
    assert_eq!(reuse.limit(ANNOUNCED), SECOND * 4);
    reuse.note_failed(ANNOUNCED, at(1_000));
    assert_eq!(reuse.limit(ANNOUNCED), SECOND);
    reuse.note_answered(ANNOUNCED, SECOND * 4, at(10_000));
    assert_eq!(reuse.limit(ANNOUNCED), SECOND, "successes do not count right after a failure");
    reuse.note_answered(ANNOUNCED, SECOND * 4, at(11_000));
    assert_eq!(reuse.limit(ANNOUNCED), SECOND * 4);
}

/// Guards against evidence from targets that keep connections long being applied to others.
#[test]
fn evidence_counts_only_for_the_same_announced_timeout() {
    let mut reuse = IdleReuse::new(true);
    reuse.note_answered(ANNOUNCED, SECOND * 4, at(0));
    assert_eq!(reuse.limit(None), SECOND);
    assert_eq!(reuse.limit(Some(SECOND * 2)), SECOND);
}

/// Guards against memory that grows with every timeout that targets announce.
#[test]
fn few_announced_timeouts_are_tracked() {
    let mut reuse = IdleReuse::new(true);
    let timeout = |number: u32| Some(SECOND * number);
    (1..=100).for_each(|number| reuse.note_answered(timeout(number), SECOND * 3, at(0)));
    let raised = (1..=100).filter(|number| reuse.limit(timeout(*number)) > SECOND).count();
    assert_eq!(raised, 32);
}
