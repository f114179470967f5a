//! Names, values and settings.

mod support;

use std::time::Duration;

use notch_ledger::{
    LedgerHead, ObjectKey, ParsedKey, Seq, ShardSettings, probe::MapStore, read_segment,
};
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(0x636f_6465),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn bytes_of_no_meaning_are_refused(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = LedgerHead::decode(&bytes);
        prop_assert!(read_segment(&bytes, 3).is_err());
    }

    #[test]
    fn keys_are_parsed_as_built(first in any::<u64>(), nonce in any::<u64>(), part in any::<u32>()) {
        let keys = ObjectKey { shard: support::SHARD };
        let first = Seq(first);
        let segment = keys.segment(first, nonce);
        prop_assert_eq!(keys.parse(&segment), Some(ParsedKey::Segment { first, nonce }));
        let snapshot = keys.snapshot_part(first, nonce, part);
        let parsed = ParsedKey::SnapshotPart { upto: first, nonce, part };
        prop_assert_eq!(keys.parse(&snapshot), Some(parsed));
        prop_assert_eq!(ObjectKey { shard: ShardId(8) }.parse(&segment), None);
    }
}

#[test]
fn a_head_that_breaks_its_invariant_is_refused() {
    let mut world = support::world::World::new(1, 1);
    world.run(300);
    world.append(0, 2, 10);
    world.run(100);
    let store: &MapStore = &world.store;
    let value = store.value(&ObjectKey { shard: support::SHARD }.head()).expect("a head");
    let head = LedgerHead::decode(value).expect("sound");
    assert_eq!(LedgerHead::decode(&head.encode()), Ok(head.clone()));
    let broken = LedgerHead { next: Seq(1), ..head };
    assert!(LedgerHead::decode(&broken.encode()).is_err(), "a tail longer than the log");
    assert!(LedgerHead::decode(&value[..value.len() - 1]).is_err(), "cut short");
}

#[rstest]
#[case("lease", ShardSettings { renew_every: Duration::from_secs(6), ..Default::default() })]
#[case("backoff_max", ShardSettings { backoff_max: Duration::from_secs(3), ..Default::default() })]
#[case("record", ShardSettings { max_record_bytes: 1 << 20, ..Default::default() })]
#[case("inline", ShardSettings { inline_limit_bytes: 1 << 20, ..Default::default() })]
#[case("grace", ShardSettings { grace: Duration::from_secs(10), ..Default::default() })]
#[case("delay", ShardSettings { commit_delay_max: Duration::ZERO, ..Default::default() })]
fn settings_that_cannot_work_are_refused(#[case] _about: &str, #[case] settings: ShardSettings) {
    assert_eq!(ShardSettings::default().check(), Ok(()));
    assert!(settings.check().is_err());
}
