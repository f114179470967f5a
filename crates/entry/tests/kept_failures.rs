//! Failures of items that a gateway keeps for jobs of others.

use notch_entry::batch::kept_failures::KeptFailures;
use notch_relay::prelude::*;
use notch_types::prelude::*;

fn failures(items: std::ops::Range<usize>, count: u32) -> Vec<ItemFailures> {
    let failed = |item| {
        let failed = FailedRuns { count, ..FailedRuns::default() };
        ItemFailures { item: format!("i{item}"), failed }
    };
    items.map(failed).collect()
}

#[test]
fn the_last_ones_told_of_an_item_count() {
    let mut kept = KeptFailures::default();
    kept.keep("j", &failures(0..2, 1), MonoTime(1));
    kept.keep("j", &failures(1..2, 2), MonoTime(2));
    let taken = kept.take("j");
    let counts = taken.iter().map(|item| (item.item.as_str(), item.failed.count));
    assert_eq!(counts.collect::<Vec<_>>(), [("i0", 1), ("i1", 2)]);
    assert!(kept.take("j").is_empty());
}

/// Guards against failures of many items that fill the memory of a gateway which never takes their jobs over.
#[test]
fn the_failures_of_many_items_are_bounded() {
    let mut kept = KeptFailures::default();
    for job in 0..200 {
        kept.keep(&format!("j{job}"), &failures(0..200, 1), MonoTime(1));
    }
    let of_all = |kept: &KeptFailures| -> usize {
        (0..200).map(|job| kept.of(&format!("j{job}")).len()).sum()
    };
    assert!(of_all(&kept) >= 8_000 && of_all(&kept) <= 8_192);
    assert!(!kept.keep("j-more", &failures(0..200, 1), MonoTime(1)), "the caller is told");
    let later = MonoTime::from_millis(3_600_000);
    kept.keep("j-new", &failures(0..200, 1), later);
    assert_eq!((kept.of("j-new").len(), of_all(&kept)), (200, 0), "old ones make room");
}

/// Guards against a gateway that told less, or later, and thereby lowers the count, and against failures of two owners that
/// don't add up.
#[test]
fn failures_of_several_gateways_add_up() {
    let failed = |runs: &[u64]| {
        let (count, runs) = (runs.len() as u32, runs.to_vec());
        let failed = FailedRuns { count, is_impossible: false, runs };
        [ItemFailures { item: "i0".to_owned(), failed }]
    };
    let mut kept = KeptFailures::default();
    for told in [&failed(&[1, 2]), &failed(&[3]), &failed(&[1]), &failures_named(0, true)] {
        kept.keep("j", told, MonoTime(1));
    }
    let known = &kept.of("j")[0].failed;
    assert_eq!((known.count, known.is_impossible, known.runs.len()), (3, true, 3));
    let run = FailedRun { id: 3, is_impossible: false };
    assert!(kept.note("j", "i0", run, MonoTime(2)).is_none(), "the run is known");
    let run = FailedRun { id: 4, ..run };
    assert_eq!(kept.note("j", "i0", run, MonoTime(2)).map(|item| item.failed.count), Some(4));
}

fn failures_named(count: u32, is_impossible: bool) -> [ItemFailures; 1] {
    let failed = FailedRuns { count, is_impossible, ..FailedRuns::default() };
    [ItemFailures { item: "i0".to_owned(), failed }]
}

/// Guards against failures that an earlier build told without naming the runs.
#[test]
fn a_count_without_runs_is_a_lower_bound() {
    let mut kept = KeptFailures::default();
    kept.keep("j", &failures_named(2, false), MonoTime(1));
    let run = FailedRun { id: 1, is_impossible: false };
    assert_eq!(kept.note("j", "i0", run, MonoTime(2)).map(|item| item.failed.count), Some(3));
}
