//! Slot requests to home gateways, each tested under the load pattern that needs them.

use std::time::Duration;

use notch_lab::prelude::*;
use rstest::rstest;

const SEEDS: u64 = 4;

fn short(name: &str) -> LoadPattern {
    let pattern = LoadPattern::named(name).expect("a predefined pattern");
    LoadPattern { span: Duration::from_secs(12), ..pattern }
}

/// Outcomes of a pattern without and with slot requests to home gateways.
fn compared(name: &str) -> (PolicyOutcomes, PolicyOutcomes) {
    let policies = [SelectionPolicy::UsageReports, SelectionPolicy::HomeGateways];
    let mut results = PatternComparison::run(&short(name), &policies, SEEDS).policies.into_iter();
    let (reports, homes) = (results.next(), results.next());
    (reports.expect("a result per policy"), homes.expect("a result per policy"))
}

// Guards against results that can't be reproduced from the seed.
#[rstest]
#[case(SelectionPolicy::UsageReports)]
#[case(SelectionPolicy::HomeGateways)]
#[case(SelectionPolicy::SharedItems)]
#[case(SelectionPolicy::FairShares)]
#[case(SelectionPolicy::Oracle)]
fn a_seed_gives_the_same_outcome_each_time(#[case] policy: SelectionPolicy) {
    let pattern = LoadPattern { span: Duration::from_secs(4), ..short("crests") };
    let first = Simulation::run(&pattern, policy, 3);
    assert_eq!(first, Simulation::run(&pattern, policy, 3));
    assert_ne!(first, Simulation::run(&pattern, policy, 4));
}

// Guards against requests that queue during a load peak while another target has a free slot.
#[test]
fn slot_requests_find_free_slots_in_a_peak() {
    let (reports, homes) = compared("crests");
    let missed = homes.mean(SimOutcome::free_slot_missed_share);
    assert!(missed < 0.005, "{missed} of the requests were late although a slot was free");
    assert!(homes.mean(SimOutcome::online_share) > 0.99, "{homes:?}");
    assert!(reports.mean(SimOutcome::online_share) < 0.97, "the load is too low");
}

// Guards against frozen gateways, failed targets or overload making slot requests worse than selection by
// usage reports alone.
#[rstest]
#[case("frozen-gateways")]
#[case("lost-targets")]
#[case("overload")]
#[case("high-crests")]
fn slot_requests_beat_usage_reports(#[case] name: &str) {
    let (reports, homes) = compared(name);
    let (guessed, asked) =
        (reports.mean(SimOutcome::online_share), homes.mean(SimOutcome::online_share));
    assert!(asked > guessed, "{name}: {asked} <= {guessed}");
}

// Guards against online requests starving job items.
#[test]
fn items_meet_their_deadlines_during_peaks() {
    let (_, homes) = compared("crests");
    assert!(homes.mean(SimOutcome::item_share) > 0.99, "{homes:?}");
}
