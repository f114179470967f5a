//! The check of an account's limit finds each window that exceeds it, and no other.

use std::time::Duration;

use notch_platform_standins::store::ACCOUNT;
use notch_soak::{limited_accounts::QUOTA, prelude::*};
use rstest::rstest;

/// Allows 12 requests in a window: 2 a second and 1 at once, and a tenth of that more, without the fraction.
const SMALL: AccountQuota = AccountQuota {
    per_second: 2.0,
    burst: 1.0,
    window: Duration::from_secs(5),
    overrun: 0.1,
    slack: 0.0,
};

/// Times of `count` requests from `from` on, `step` apart, milliseconds.
fn every(from: u64, step: u64, count: u64) -> Vec<Duration> {
    (0..count).map(|number| Duration::from_millis(from + number * step)).collect()
}

#[test]
fn the_tolerance_adds_to_the_limit() {
    assert_eq!(SMALL.allowed(), 12);
    assert_eq!(AccountQuota { slack: 20.0, ..SMALL }.allowed(), 32);
}

#[rstest]
#[case::nothing(vec![])]
#[case::exactly_the_limit(every(700, 0, 12))]
#[case::limit_in_each_window(every(0, 417, 200))]
#[case::next_window(every(0, 0, 12).into_iter().chain(every(5_000, 0, 12)).collect())]
fn a_kept_limit_is_no_excess(#[case] begun: Vec<Duration>) {
    assert_eq!(SMALL.find_excess(begun), None);
}

/// Guards against an excess that is not found because it falls into two aligned windows, or because the observations of
/// several targets are not in order.
#[rstest]
#[case::at_once(every(700, 0, 13), 700)]
#[case::across_aligned_windows(every(4_000, 150, 13), 4_000)]
#[case::slightly_too_fast(every(0, 416, 13), 0)]
#[case::just_within_a_window(every(0, 0, 12).into_iter().chain(every(4_999, 0, 1)).collect(), 0)]
#[case::out_of_order(every(9_000, 0, 7).into_iter().chain(every(6_000, 0, 6)).collect(), 6_000)]
#[case::late_in_a_long_run(every(0, 1_000, 60).into_iter().chain(every(60_000, 0, 12)).collect(), 56_000)]
fn a_window_above_the_limit_is_found(#[case] begun: Vec<Duration>, #[case] from: u64) {
    let excess = SMALL.find_excess(begun).expect("the limit is exceeded");
    assert_eq!(excess.from, Duration::from_millis(from));
    assert!(excess.begun > excess.allowed && excess.allowed == 12, "{excess:?}");
}

fn began(attempt: String, account: &str) -> Observation {
    let (account, at) = (account.to_owned(), Duration::from_secs(3));
    Observation::Began { attempt, account, at }
}

/// Guards against a check that mixes accounts, or counts a request twice that a gateway repeated at another target.
#[rstest]
#[case::limit(&[("hot", 0, QUOTA.allowed())], &[])]
#[case::exceeded(&[("hot", 0, QUOTA.allowed() + 1)], &[PromiseKind::WithinLimit])]
#[case::two_accounts(&[("hot", 0, QUOTA.allowed()), ("light-1", 0, QUOTA.allowed())], &[])]
#[case::repeated(&[("hot", 0, QUOTA.allowed()), ("hot", 0, QUOTA.allowed())], &[])]
#[case::other_attempts(&[("hot", 0, QUOTA.allowed()), ("hot", 1_000, 1)], &[PromiseKind::WithinLimit])]
fn requests_count_once_for_their_account(
    #[case] runs: &[(&str, usize, usize)],
    #[case] expected: &[PromiseKind],
) {
    let runs = runs.iter().flat_map(|(account, first, count)| {
        (*first..first + count).map(move |number| began(format!("{account}-{number}"), account))
    });
    let observations: Vec<Observation> = runs.collect();
    let kinds: Vec<PromiseKind> = check(&observations).iter().map(|broken| broken.kind).collect();
    assert_eq!(kinds, expected);
}

/// Guards against a request that runs for another account than that of its key.
#[rstest]
#[case::own("hot", &[])]
#[case::usual(ACCOUNT, &[PromiseKind::OwnAccount])]
#[case::other("light-1", &[PromiseKind::OwnAccount])]
fn a_request_runs_for_the_account_that_it_was_sent_for(
    #[case] account: &str,
    #[case] expected: &[PromiseKind],
) {
    let (attempt, account) = ("hot-1".to_owned(), Some(account.to_owned()));
    let observations = [
        Observation::SentFor { attempt: attempt.clone(), account: "hot".to_owned() },
        Observation::Ran { attempt, account, has_key: false },
    ];
    let kinds: Vec<PromiseKind> = check(&observations).iter().map(|broken| broken.kind).collect();
    assert_eq!(kinds, expected);
}
