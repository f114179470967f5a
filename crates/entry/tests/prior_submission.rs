//! The rate of store lookups for jobs that are about to be refused.

use notch_entry::batch::prior_submission::LookupLimiter;
use notch_types::prelude::*;
use rstest::rstest;

// Load: a burst in which each refused job comes back a dozen times, at all gateways. All of them
// together must not use up the call rate that the store sustains.
#[rstest]
#[case::one_gateway(1)]
#[case::many(27)]
#[case::as_many_as_planned(370)]
fn lookups_stay_within_the_stores_call_rate(#[case] gateways: usize) {
    let mut paces: Vec<LookupLimiter> = (0..gateways).map(|_| LookupLimiter::default()).collect();
    let mut lookups = 0;
    for tick in 0..1_000 {
        let now = MonoTime::from_millis(5_000 + tick);
        for pace in &mut paces {
            lookups += usize::from((0..5).any(|_| pace.take(gateways, now)));
        }
    }
    assert!((gateways..=gateways.max(100)).contains(&lookups), "{lookups} lookups in a second");
    assert!(paces[0].take(gateways, MonoTime::from_millis(6_000)), "allowed again a second later");
}
