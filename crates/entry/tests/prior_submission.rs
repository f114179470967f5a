//! How often gateways look in the store for jobs that are about to be refused.

use notch_entry::batch::prior_submission::LookupLimiter;
use notch_types::prelude::*;
use rstest::rstest;

// The load: a burst in which each refused job comes again a dozen times, at all gateways. All of them together must
// not use up what the store takes.
#[rstest]
#[case::one_gateway(1)]
#[case::many(27)]
#[case::as_many_as_planned(370)]
fn looks_stay_within_what_the_store_takes(#[case] gateways: usize) {
    let mut paces: Vec<LookupLimiter> = (0..gateways).map(|_| LookupLimiter::default()).collect();
    let mut looks = 0;
    for tick in 0..1_000 {
        let now = MonoTime::from_millis(5_000 + tick);
        for pace in &mut paces {
            looks += usize::from((0..5).any(|_| pace.take(gateways, now)));
        }
    }
    assert!((gateways..=gateways.max(100)).contains(&looks), "{looks} looks in a second");
    assert!(paces[0].take(gateways, MonoTime::from_millis(6_000)), "again a second later");
}
