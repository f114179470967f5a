//! New requests and retries of an account near its limit.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

const LIMIT: AccountLimit = AccountLimit { per_second: 114.0, burst: 114.0 };
/// Time that each client waits for its answer.
const PATIENCE: Duration = Duration::from_secs(5);
/// At most two in a thousand requests within the limit may be refused.
const MIN_SERVED_SHARE: f64 = 0.998;

fn at(micros: u64) -> MonoTime {
    MonoTime(micros)
}

/// A number in [0, 1) that is the same in each run.
fn draw(seed: u64, number: u64) -> f64 {
    stable_hash64(&[&seed.to_le_bytes(), &number.to_le_bytes()]) as f64 / u64::MAX as f64
}

/// Arrival times of new requests in 24 s: peaks of 2.4 s in each 5.8 s, five times the usual rate between 8.8 s and 15.4 s.
fn arrivals(seed: u64) -> Vec<MonoTime> {
    let mut times = Vec::new();
    let mut now = 0.0;
    while now < 24.0 {
        let peak = if now % 5.8 >= 3.4 { 1.87 } else { 0.383 };
        let hot = if (8.8..15.4).contains(&now) { 5.3 } else { 1.0 };
        let uniform = draw(seed, times.len() as u64).max(1e-9);
        now += -uniform.ln() / (35.0 * peak * hot);
        times.push(at((now * 1e6) as u64));
    }
    times
}

/// Whether each request is within the limit if no client ever retries.
fn within_limit(arrivals: &[MonoTime]) -> Vec<bool> {
    let mut bucket = CreditBucket::new(LIMIT, LIMIT.burst, at(0));
    arrivals.iter().map(|now| bucket.take(LIMIT, 1, *now).is_ok()).collect()
}

/// Outcome of requests within the limit.
#[derive(Debug, Default)]
struct RetryOutcome {
    served_at_once: usize,
    refused_twice: usize,
    all: usize,
}

/// Plays the arrivals. With `new_first`, retries are deferred and spread over the time that clients wait; else they
/// come back at the time of the next credit and compete with new requests.
fn play(seed: u64, new_first: bool) -> RetryOutcome {
    let arrivals = arrivals(seed);
    let owed = within_limit(&arrivals);
    let mut bucket = CreditBucket::new(LIMIT, LIMIT.burst, at(0));
    let mut events: Vec<(MonoTime, usize, bool)> =
        arrivals.iter().enumerate().map(|(index, now)| (*now, index, false)).collect();
    let mut outcome =
        RetryOutcome { all: owed.iter().filter(|owed| **owed).count(), ..RetryOutcome::default() };
    while !events.is_empty() {
        let first = (0..events.len()).min_by_key(|index| events[*index]).unwrap_or_default();
        let (now, request, is_retry) = events.swap_remove(first);
        let demand = CreditDemand { wanted: 1, is_deferred: is_retry && new_first };
        match bucket.take(LIMIT, demand, now) {
            Ok(_) => outcome.served_at_once += usize::from(owed[request] && !is_retry),
            Err(_) if is_retry => outcome.refused_twice += usize::from(owed[request]),
            Err(wait) => {
                let spread = retry_delay(Some(PATIENCE), draw(seed + 1, request as u64));
                let delay = if new_first { spread } else { wait };
                events.push((now + delay, request, true));
            }
        }
    }
    outcome
}

/// Guards against retries of refused clients that take the credit of new requests while an account is over its limit.
#[rstest]
fn new_requests_within_the_limit_are_served_at_once(#[values(1, 2, 3)] seed: u64) {
    let (former, new) = (play(seed, false), play(seed, true));
    let share = |outcome: &RetryOutcome| outcome.served_at_once as f64 / outcome.all as f64;
    assert!(share(&former) < MIN_SERVED_SHARE, "{former:?}");
    assert!(share(&new) >= MIN_SERVED_SHARE, "{new:?}");
    assert!(new.refused_twice < former.refused_twice, "{former:?} {new:?}");
}

/// Guards against a small account whose retries are never admitted, as its bucket cannot hold the reserve.
#[test]
fn a_deferred_request_is_admitted_by_a_full_bucket() {
    let small = AccountLimit { per_second: 1.0, burst: 1.0 };
    let mut bucket = CreditBucket::new(small, 1.0, at(0));
    assert!(bucket.take(small, CreditDemand { wanted: 1, is_deferred: true }, at(0)).is_ok());
}

/// Guards against a deferred request that takes the last credit.
#[test]
fn a_deferred_request_leaves_credit_for_new_ones() {
    let mut bucket = CreditBucket::new(LIMIT, 20.0, at(0));
    assert!(bucket.take(LIMIT, CreditDemand { wanted: 1, is_deferred: true }, at(0)).is_err());
    assert!(bucket.take(LIMIT, 1, at(0)).is_ok());
}

/// Guards against clients that come back before they are recognized as retries, or after the time that they wait.
#[rstest]
#[case::usual(Some(PATIENCE), 200, 1_583)]
#[case::little_time(Some(Duration::from_millis(300)), 200, 200)]
#[case::unknown_deadline(None, 200, 1_500)]
fn retry_delays_are_spread_over_the_time_that_clients_wait(
    #[case] left: Option<Duration>,
    #[case] first: u64,
    #[case] last: u64,
) {
    let delays: Vec<u64> =
        (0..=10).map(|n| retry_delay(left, f64::from(n) / 10.0).as_millis() as u64).collect();
    assert_eq!((delays[0], delays[10]), (first, last));
    assert!(delays.is_sorted());
}
