//! Failures of items that a gateway keeps for jobs of others.

use notch_entry::batch::kept_failures::KeptFailures;
use notch_relay::prelude::ItemFailures;
use notch_types::prelude::*;

fn failures(items: std::ops::Range<usize>, count: u32) -> Vec<ItemFailures> {
    let failed = |item| ItemFailures { item: format!("i{item}"), count, is_impossible: false };
    items.map(failed).collect()
}

#[test]
fn the_last_ones_told_of_an_item_count() {
    let mut kept = KeptFailures::default();
    kept.keep("j", failures(0..2, 1), MonoTime(1));
    kept.keep("j", failures(1..2, 2), MonoTime(2));
    let taken = kept.take("j");
    let counts = taken.iter().map(|item| (item.item.as_str(), item.count));
    assert_eq!(counts.collect::<Vec<_>>(), [("i0", 1), ("i1", 2)]);
    assert!(kept.take("j").is_empty());
}

/// Guards against failures of many items that fill the memory of a gateway which never takes their jobs over.
#[test]
fn the_failures_of_many_items_are_bounded() {
    let mut kept = KeptFailures::default();
    for job in 0..200 {
        kept.keep(&format!("j{job}"), failures(0..200, 1), MonoTime(1));
    }
    let of_all = |kept: &KeptFailures| -> usize {
        (0..200).map(|job| kept.of(&format!("j{job}")).len()).sum()
    };
    assert!(of_all(&kept) >= 8_000 && of_all(&kept) <= 8_192);
    let later = MonoTime::from_millis(3_600_000);
    kept.keep("j-new", failures(0..200, 1), later);
    assert_eq!((kept.of("j-new").len(), of_all(&kept)), (200, 0), "old ones make room");
}
