//! Which gateways begin to follow the store.

use std::time::Duration;

use notch_relay::prelude::{expectation_span, expected_followers, takeover_delay};
use rstest::rstest;

const FOLLOWERS: usize = 4;

/// Number of `gateways` that follow the store at `up` if nobody was heard of by then.
fn followers(gateways: usize, up: Duration) -> usize {
    (0..gateways).filter(|rank| expected_followers(*rank, gateways, up) < FOLLOWERS).count()
}

/// Guards against a start of hundreds of gateways in which each lists and watches everything until it is linked.
#[rstest]
#[case(18)]
#[case(274)]
#[case(1_000)]
fn only_the_first_ones_follow_at_once(#[case] gateways: usize) {
    assert_eq!(followers(gateways, Duration::ZERO), FOLLOWERS);
    let tenth = expectation_span(gateways) / 10;
    assert!(followers(gateways, tenth) <= FOLLOWERS + gateways / 10 + 1);
}

/// Guards against a gateway that never follows the store because those ranked before it are gone for good.
#[rstest]
#[case(2)]
#[case(18)]
#[case(274)]
fn all_follow_in_the_end_if_nobody_is_heard_of(#[case] gateways: usize) {
    assert_eq!(followers(gateways, expectation_span(gateways)), gateways);
    assert!(expectation_span(gateways) <= Duration::from_secs(12));
}

/// Guards against a list of everything by every gateway whenever the watches of all followers are cut off together.
#[test]
fn few_take_over_from_followers_that_are_back_within_half_a_second() {
    let back = Duration::from_millis(500);
    let begun = (0..274).filter(|before| takeover_delay(*before, FOLLOWERS) <= back).count();
    assert!(begun <= FOLLOWERS + 1, "{begun}");
}

#[test]
fn the_first_ones_begin_at_once_and_the_last_one_in_the_end() {
    assert_eq!(takeover_delay(0, FOLLOWERS), Duration::ZERO);
    assert_eq!(takeover_delay(FOLLOWERS - 1, FOLLOWERS), Duration::ZERO);
    assert!(takeover_delay(FOLLOWERS, FOLLOWERS) > Duration::ZERO);
    assert!(takeover_delay(10_000, FOLLOWERS) <= Duration::from_secs(12));
}
