//! Refusals under a limit that are based on earlier counts.

mod support;

use std::time::Duration;

use notch_relay::{limits::drain::retry_delay, prelude::*};
use notch_types::prelude::*;
use proptest::prelude::*;
use rstest::rstest;
use support::{Admission, Fleet};

#[rstest]
#[case::minimum(1_000, 4_000.0, Duration::from_millis(300))]
#[case::later(4_000, 2_000.0, Duration::from_secs(2))]
#[case::nothing_ends(10, 0.0, Duration::from_secs(5))]
#[case::capped(1_000_000, 10.0, Duration::from_secs(5))]
fn the_retry_delay_follows_the_drain_rate(
    #[case] missing: u64,
    #[case] per_second: f64,
    #[case] wait: Duration,
) {
    assert_eq!(retry_delay(missing, per_second), wait);
}

/// A count started at `millis` that found 100 of 1,000 free.
fn counted_at(millis: u64) -> LimitCount {
    let asked_at = MonoTime::from_millis(millis);
    LimitCount { asked_at, limit: 1_000, free: 100, ended_per_second: 10.0 }
}

/// Guards against counting the limit at all gateways for every job of a burst: the limit is used up
/// and a job arrives every millisecond.
#[test]
fn in_a_burst_a_count_is_reused_until_the_next_is_due() {
    let mut throttle = LimitCountThrottle::default();
    let mut counts = Vec::new();
    for millis in 10_000..20_000 {
        let now = MonoTime::from_millis(millis);
        match throttle.refusal(101, 1_000, now, now) {
            Some(wait) => assert_eq!(wait, Duration::from_millis(300)),
            None => {
                throttle.note_asked(now);
                throttle.note_count(counted_at(millis));
                counts.push(millis);
            }
        }
    }
    // A burst of eight counts, then two per second.
    assert_eq!(counts.len(), 27, "{counts:?}");
    let gaps = counts.windows(2).map(|pair| pair[1] - pair[0]);
    assert_eq!(gaps.max(), Some(500), "an older count is not reused");
}

#[test]
fn jobs_that_arrive_together_share_a_count() {
    let at = MonoTime::from_millis;
    let mut throttle = LimitCountThrottle::default();
    assert_eq!(throttle.refusal(101, 1_000, at(990), at(1_000)), None, "no data");
    throttle.note_asked(at(1_000));
    throttle.note_count(counted_at(1_000));
    assert!(
        throttle.refusal(101, 1_000, at(1_000), at(1_010)).is_some(),
        "arrived before the count"
    );
    assert_eq!(throttle.refusal(101, 1_000, at(1_001), at(1_010)), None, "arrived after the count");
    assert_eq!(throttle.refusal(100, 1_000, at(990), at(1_010)), None, "the job fits");
    assert_eq!(throttle.refusal(101, 2_000, at(990), at(1_010)), None, "another limit");
    assert_eq!(throttle.refusal(101, 1_000, at(990), at(1_500)), None, "too old");
}

/// Guards against admitting nothing for a long time after a burst: the gateways were asked many
/// times without a result, because they did not answer or the table changed each time, and each of
/// these counts delayed the next one.
#[test]
fn failed_counts_do_not_delay_later_counts() {
    let at = MonoTime::from_millis;
    let mut throttle = LimitCountThrottle::default();
    for _ in 0..1_000 {
        throttle.note_asked(at(1_000));
        assert_eq!(throttle.refusal(1_000, 1_000, at(1_000), at(1_000)), None);
    }
    throttle.note_count(counted_at(1_000));
    assert!(throttle.refusal(101, 1_000, at(1_499), at(1_499)).is_some());
    assert_eq!(throttle.refusal(101, 1_000, at(1_500), at(1_500)), None);
}

proptest! {
    /// For any sequence of steps, a job refused by a count did not fit at some time within the last
    /// half second.
    #[test]
    fn a_count_refuses_jobs_that_fit_only_briefly(steps in proptest::collection::vec(
        (0_usize..3, any::<bool>(), 1_u64..300, 0_u64..120), 1..200,
    )) {
        let mut fleet = Fleet::new(3, 1_000);
        let mut throttles = [LimitCountThrottle::default(); 3];
        let mut totals = vec![(0, 0)];
        let mut millis = 1_000;
        for (at, is_job, amount, pause) in steps {
            millis += pause;
            let now = MonoTime::from_millis(millis);
            if is_job {
                let availability =
                    fleet.holders[at].availability(fleet.used[at], amount, fleet.limit, true);
                let refusal = throttles[at].refusal(amount, fleet.limit, now, now);
                if matches!(availability, ShareAvailability::Missing(_)) && refusal.is_some() {
                    let older = totals.iter().rposition(|(at, _)| *at + 500 <= millis);
                    let mut recent = totals.iter().skip(older.unwrap_or(0));
                    prop_assert!(recent.any(|(_, total)| total + amount > fleet.limit));
                    continue;
                }
                if matches!(availability, ShareAvailability::Missing(_)) {
                    throttles[at].note_asked(now);
                    fleet.ask(at);
                    let used = fleet.holders[at].used_by_all(fleet.used[at]);
                    throttles[at].note_count(LimitCount {
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
