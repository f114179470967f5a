//! Streams that clients take up at other gateways while targets are replaced by others with newer software.

use std::time::Duration;

use notch_lab::prelude::*;
use rstest::rstest;

const SEEDS: u64 = 10;
/// Streams that may hold events of two versions.
const MAX_MIXED: usize = 2;

/// Guards against streams that go on at another version, and against streams that are refused though their version is there:
/// gateways are killed one at a time, two at once, and in quick succession.
#[rstest]
#[case::one_at_a_time(3_000, 1)]
#[case::two_at_once(3_000, 2)]
#[case::in_quick_succession(700, 1)]
fn streams_go_on_at_their_version(#[case] kill_millis: u64, #[case] count: usize) {
    for seed in 1..=SEEDS {
        let kills = (Duration::from_millis(kill_millis), count);
        let study = TakenUpStudy { kills, ..TakenUpStudy::default() };
        let outcome = study.run(seed);
        assert!(outcome.mixed <= MAX_MIXED, "seed {seed}: {outcome:?}");
        assert!(outcome.continued * 2 >= outcome.taken_up, "seed {seed}: {outcome:?}");
        let without = TakenUpStudy { keeps_versions: false, ..study }.run(seed);
        assert!(without.mixed > MAX_MIXED, "the study shows the fault: {without:?}");
    }
}
