//! Refusals under a limit that rest on what was counted before.

mod support;

use std::time::Duration;

use notch_relay::{limits::drain::retry_delay, prelude::*};
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;
use support::{Admission, Fleet};

#[rstest]
#[case::soon(1_000, 4_000.0, Duration::from_millis(300))]
#[case::in_a_while(4_000, 2_000.0, Duration::from_secs(2))]
#[case::nothing_ends(10, 0.0, Duration::from_secs(5))]
#[case::far_off(1_000_000, 10.0, Duration::from_secs(5))]
fn a_refused_client_is_told_when_enough_has_ended(
    #[case] missing: u64,
    #[case] per_second: f64,
    #[case] wait: Duration,
) {
    assert_eq!(retry_delay(missing, per_second), wait);
}

/// What is free when asked at `millis`: 100 of 1,000.
fn counted_at(millis: u64) -> LimitCount {
    let asked_at = MonoTime::from_millis(millis);
    LimitCount { asked_at, limit: 1_000, free: 100, ended_per_second: 10.0 }
}

/// Symptom: in a burst gateways ask each other for every job. Sequence: a limit is used up; a job comes
/// each millisecond. Cause: each was counted for.
#[test]
fn in_a_burst_a_count_serves_until_the_next_is_due() {
    let mut pace = LimitCountThrottle::default();
    let mut counts = Vec::new();
    for millis in 10_000..20_000 {
        let now = MonoTime::from_millis(millis);
        match pace.refusal(101, 1_000, now, now) {
            Some(wait) => assert_eq!(wait, Duration::from_millis(300)),
            None => {
                pace.note_asked(now);
                pace.note_count(counted_at(millis));
                counts.push(millis);
            }
        }
    }
    // Eight at once, and two in each second.
    assert_eq!(counts.len(), 27, "{counts:?}");
    let gaps = counts.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(gaps.max(), Some(500), "a count that is older serves no more");
}

#[test]
fn jobs_that_come_together_share_a_count() {
    let at = MonoTime::from_millis;
    let mut pace = LimitCountThrottle::default();
    assert_eq!(pace.refusal(101, 1_000, at(990), at(1_000)), None, "nothing is known");
    pace.note_asked(at(1_000));
    pace.note_count(counted_at(1_000));
    assert!(pace.refusal(101, 1_000, at(1_000), at(1_010)).is_some(), "it came before the count");
    assert_eq!(pace.refusal(101, 1_000, at(1_001), at(1_010)), None, "after it");
    assert_eq!(pace.refusal(100, 1_000, at(990), at(1_010)), None, "it fitted");
    assert_eq!(pace.refusal(101, 2_000, at(990), at(1_010)), None, "another limit");
    assert_eq!(pace.refusal(101, 1_000, at(990), at(1_500)), None, "too old");
}

/// Symptom: nothing is admitted for long after a burst. Sequence: gateways were asked many times and never
/// answered, or the table changed each time. Cause: the questions were paid for one by one.
#[test]
fn counts_that_fail_put_off_no_later_one() {
    let at = MonoTime::from_millis;
    let mut pace = LimitCountThrottle::default();
    for _ in 0..1_000 {
        pace.note_asked(at(1_000));
        assert_eq!(pace.refusal(1_000, 1_000, at(1_000), at(1_000)), None);
    }
    pace.note_count(counted_at(1_000));
    assert!(pace.refusal(101, 1_000, at(1_499), at(1_499)).is_some());
    assert_eq!(pace.refusal(101, 1_000, at(1_500), at(1_500)), None);
}

proptest! {
    /// Whatever comes, a job refused by a count didn't fit at some moment of the last half second.
    #[test]
    fn a_count_refuses_nothing_that_fits_for_long(steps in proptest::collection::vec(
        (0_usize..3, any::<bool>(), 1_u64..300, 0_u64..120), 1..200,
    )) {
        let mut fleet = Fleet::new(3, 1_000);
        let mut paces = [LimitCountThrottle::default(); 3];
        let mut totals = vec![(0, 0)];
        let mut millis = 1_000;
        for (at, is_job, amount, pause) in steps {
            millis += pause;
            let now = MonoTime::from_millis(millis);
            if is_job {
                let room = fleet.holders[at].availability(fleet.used[at], amount, fleet.limit, true);
                let refusal = paces[at].refusal(amount, fleet.limit, now, now);
                if matches!(room, ShareAvailability::Missing(_)) && refusal.is_some() {
                    let older = totals.iter().rposition(|(at, _)| *at + 500 <= millis);
                    let mut late = totals.iter().skip(older.unwrap_or(0));
                    prop_assert!(late.any(|(_, total)| total + amount > fleet.limit));
                    continue;
                }
                if matches!(room, ShareAvailability::Missing(_)) {
                    paces[at].note_asked(now);
                    fleet.ask(at);
                    let used = fleet.holders[at].used_by_all(fleet.used[at]);
                    paces[at].note_count(LimitCount {
                        asked_at: now,
                        limit: fleet.limit,
                        free: fleet.limit.saturating_sub(used),
                        ended_per_second: 0.0,
                    });
                }
                let fits = fleet.total() + amount <= fleet.limit;
                let end = fleet.admit(at, amount, &[true; 3], true);
                prop_assert_eq!(end == Admission::Admitted, fits);
            } else {
                fleet.used[at] = fleet.used[at].saturating_sub(amount);
            }
            totals.push((millis, fleet.total()));
        }
    }
}
