//! Places at other gateways' targets, asked for: each decision replays the load that it answers.

use std::time::Duration;

use notch_lab::prelude::*;
use rstest::rstest;

const SEEDS: u64 = 4;

fn short(name: &str) -> LoadPattern {
    let pattern = LoadPattern::named(name).expect("the pattern is known");
    LoadPattern { span: Duration::from_secs(12), ..pattern }
}

/// Outcomes of a pattern, with and without asking for places.
fn compared(name: &str) -> (PolicyOutcomes, PolicyOutcomes) {
    let policies = [SelectionPolicy::Reports, SelectionPolicy::Homes];
    let mut played = PatternComparison::run(&short(name), &policies, SEEDS).policies.into_iter();
    let (reports, homes) = (played.next(), played.next());
    (reports.expect("it was played"), homes.expect("it was played"))
}

// Guards against results that can't be played again.
#[rstest]
#[case(SelectionPolicy::Reports)]
#[case(SelectionPolicy::Homes)]
#[case(SelectionPolicy::AllKnowing)]
fn a_play_is_the_same_each_time(#[case] policy: SelectionPolicy) {
    let pattern = LoadPattern { span: Duration::from_secs(4), ..short("crests") };
    let first = LabWorld::play(&pattern, policy, 3);
    assert_eq!(first, LabWorld::play(&pattern, policy, 3));
    assert_ne!(first, LabWorld::play(&pattern, policy, 4));
}

// Guards against requests that wait in a crest while a place is free elsewhere.
#[test]
fn places_asked_for_are_found_in_a_crest() {
    let (reports, homes) = compared("crests");
    let missed = homes.mean(PlayOutcome::place_free_share);
    assert!(missed < 0.005, "{missed} late though a place was free");
    assert!(homes.mean(PlayOutcome::online_share) > 0.99, "{homes:?}");
    assert!(reports.mean(PlayOutcome::online_share) < 0.97, "the load is one that needs it");
}

// Guards against a way to place work that a frozen gateway, or lost targets, make worse than guessing.
#[rstest]
#[case("frozen-gateways")]
#[case("lost-targets")]
#[case("overload")]
#[case("high-crests")]
fn asking_for_places_beats_guessing(#[case] name: &str) {
    let (reports, homes) = compared(name);
    let (guessed, asked) =
        (reports.mean(PlayOutcome::online_share), homes.mean(PlayOutcome::online_share));
    assert!(asked > guessed, "{name}: {asked} after {guessed}");
}

// Guards against online requests served at the price of items that are never done.
#[test]
fn items_are_in_time_beside_crests() {
    let (_, homes) = compared("crests");
    assert!(homes.mean(PlayOutcome::item_share) > 0.99, "{homes:?}");
}
