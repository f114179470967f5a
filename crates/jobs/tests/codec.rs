//! Bytes from outside: records, snapshots and chunks never panic, whatever they hold.

mod support;

use notch_jobs::{chunk::ParsedChunk, prelude::*, record::AcceptedJob};
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use support::{account, job_id, target};

fn sample_state(results: &[(u32, bool)]) -> ShardState {
    let mut state = ShardState::default();
    let job = job_id(1);
    let accepted = AcceptedJob {
        job,
        account: account(1),
        target: target(),
        due: WallTime(5),
        item_count: 64,
        idempotent: true,
        max_attempts: 3,
        retention_ms: 9,
        chunks: vec![("chunk".to_owned(), ItemIndex(0))],
        content: 3,
        attempt: 0,
    };
    state.apply(0, &LedgerRecord::JobAccepted(accepted));
    for (place, (item, good)) in results.iter().enumerate() {
        let outcome = if *good { support::answered("x") } else { support::failed(false) };
        let record = LedgerRecord::ItemEnded { job, item: ItemIndex(*item), outcome };
        state.apply(7 + place as u64 * 1_000, &record);
    }
    state
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn any_bytes_are_a_record_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = LedgerRecord::decode(&bytes);
        let _ = ShardState::restore(&bytes);
    }

    #[test]
    fn damaged_records_and_snapshots_never_panic(
        results in prop::collection::vec((0..70_u32, any::<bool>()), 0..40),
        place in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let mut bytes = sample_state(&results).snapshot().0;
        let place_in = place.index(bytes.len());
        bytes[place_in] = byte;
        if let Ok(state) = ShardState::restore(&bytes) {
            let _ = (state.needed_ranges(), state.snapshot());
        }
        let record = LedgerRecord::Quarantined { fingerprint: Fingerprint(1), target: target() };
        let mut bytes = record.encode().0;
        let place_in = place.index(bytes.len());
        bytes[place_in] = byte;
        if let Ok(record) = LedgerRecord::decode(&bytes) {
            ShardState::default().apply(0, &record);
        }
    }

    #[test]
    fn snapshots_round_trip(results in prop::collection::vec((0..70_u32, any::<bool>()), 0..80)) {
        let state = sample_state(&results);
        prop_assert_eq!(ShardState::restore(&state.snapshot()), Ok(state));
    }

    #[test]
    fn any_chunk_has_lines_or_none(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let chunk = ParsedChunk::new(Payload(bytes));
        for line in 0..8 {
            let _ = chunk.line(line).map(|line| (line.custom_id(), line.body()));
        }
    }

    #[test]
    fn chunk_lines_read_back(ids in prop::collection::vec("\\PC{0,12}", 1..20)) {
        let line = |id: &String| format!("{{\"body\":[1, 2],\"custom_id\":{}}}", quoted(id));
        let text: Vec<String> = ids.iter().map(line).collect();
        let chunk = ParsedChunk::new(Payload::from(text.join("\n").as_str()));
        for (place, id) in ids.iter().enumerate() {
            let line = chunk.line(place as u32).expect("a line");
            prop_assert_eq!(&line.custom_id(), id);
            prop_assert_eq!(line.body(), Payload::from("[1, 2]"));
        }
        prop_assert!(chunk.line(ids.len() as u32).is_none());
    }
}

fn quoted(text: &str) -> String {
    serde_json::to_string(text).expect("text")
}

#[test]
fn bytes_left_over_are_an_error() {
    let mut bytes = LedgerRecord::JobExpired { job: job_id(1) }.encode().0;
    assert!(LedgerRecord::decode(&bytes).is_ok());
    bytes.push(0);
    assert!(LedgerRecord::decode(&bytes).is_err());
}

/// A release of another attempt than the holder frees nothing.
#[test]
fn only_the_holder_is_released() {
    let mut state = sample_state(&[]);
    let (job, item) = (job_id(1), ItemIndex(3));
    state.apply(1, &LedgerRecord::ItemClaimed { job, item, attempt: 1 });
    assert!(!state.apply(2, &LedgerRecord::ItemReleased { job, item, attempt: 2 }));
    assert!(state.apply(3, &LedgerRecord::ItemReleased { job, item, attempt: 1 }));
    assert!(state.apply(4, &LedgerRecord::ItemClaimed { job, item, attempt: 2 }));
}
