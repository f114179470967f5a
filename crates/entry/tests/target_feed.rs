//! Target entries from the store and from other gateways.

use std::time::Duration;

use notch_entry::store::target::{TargetChange, TargetFeed};
use notch_messages::prelude::{TargetChanges, VersionedTarget};
use notch_relay::prelude::*;
use notch_types::prelude::*;

const NOW: MonoTime = MonoTime(1_000_000);
const NO_LAPSE: MonoTime = MonoTime(0);
const LAPSE_END: MonoTime = MonoTime(3_000_000);

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        born: 0,
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".to_owned(),
        slots: 4,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
    }
}

/// Every entry that a gateway tells to one that knows none.
fn told_whole(feed: &TargetFeed) -> Vec<VersionedTarget> {
    feed.changes_since(0).into_iter().flat_map(|part| part.entries).collect()
}

fn take_all(feed: &mut TargetFeed, parts: Vec<TargetChanges>) -> Vec<TargetChange> {
    parts.into_iter().flat_map(|part| feed.apply_changes(part, NOW)).collect()
}

fn whole_feed() -> TargetFeed {
    let mut feed = TargetFeed::default();
    feed.apply_list(Vec::new(), 1, NO_LAPSE, NOW);
    feed
}

#[test]
fn an_older_word_changes_nothing() {
    let mut feed = TargetFeed::default();
    feed.put(entry("t1"), 5);
    let removed = feed.remove("t1", 9, NO_LAPSE, NOW);
    assert_eq!(removed, Some(TargetChange::Remove("t1".to_owned())));
    assert_eq!(feed.put(entry("t1"), 7), None, "it had left by then");
    assert!(feed.put(entry("t1"), 11).is_some(), "it registered again");
}

fn started(born: u64) -> TargetEntry {
    TargetEntry { id: TargetEntry::start_id("t1", born), born, ..entry("t1") }
}

/// Symptom: requests go to a target on what was known of it before it started again, or stop going
/// there. Sequence: a target starts again under its name; its entry's writes, by the earlier start and
/// by the later one, come from the store, a watch and other gateways in any order, and one of the
/// earlier start is done after the later one's. Cause: the name alone, or the revision alone, told the
/// entries apart.
#[test]
fn a_later_start_counts_in_whatever_order_it_is_heard_of() {
    let mut feed = whole_feed();
    feed.put(started(1_000), 5);
    let restart = TargetChange::Restart { before: "t1#1000".to_owned(), entry: started(2_000) };
    assert_eq!(feed.put(started(2_000), 9), Some(restart));
    assert_eq!(feed.put(started(1_000), 7), None, "an older word");
    assert_eq!(feed.put(started(1_000), 12), None, "a write of the earlier start, done late");
    assert_eq!(feed.apply_list(vec![(started(1_000), 12)], 14, NO_LAPSE, NOW), []);
    assert_eq!(told_whole(&feed).iter().map(|t| t.entry.born).collect::<Vec<_>>(), [2_000]);
    let gone = feed.remove("t1", 20, NO_LAPSE, NOW);
    assert_eq!(gone, Some(TargetChange::Remove("t1#2000".to_owned())));
    assert_eq!(feed.put(started(1_000), 25), None, "nor after the later one has left");
    assert_eq!(feed.put(started(2_000), 26), Some(TargetChange::Put(started(2_000))));
}

#[test]
fn a_later_start_counts_though_a_late_write_of_the_earlier_one_came_first() {
    let mut feed = TargetFeed::default();
    feed.put(started(1_000), 12);
    let change = feed.put(started(2_000), 9);
    assert!(matches!(change, Some(TargetChange::Restart { .. })), "{change:?}");
    assert_eq!(feed.put(started(2_000), 12), None);
    assert!(feed.put(started(2_000), 13).is_some());
}

/// Symptom: a target that works isn't used any more, or the log fills with one fault. Sequence: its
/// entry is overwritten by another writer, read many times, then written by the target again. Cause:
/// the unreadable entry was held against the target, or told at each read.
#[test]
fn an_unreadable_entry_names_no_target_until_it_can_be_read() {
    let mut feed = whole_feed();
    feed.put(entry("t1"), 5);
    feed.put(entry("t2"), 5);
    let gone = TargetChange::Remove("t1".to_owned());
    assert_eq!(feed.refuse("t1", 7), (true, Some(gone)));
    assert_eq!(feed.refuse("t1", 7), (false, None), "the same change");
    assert_eq!(feed.refuse("t1", 8), (true, None), "another one");
    assert_eq!(feed.refuse("t9", 8), (true, None), "never known");
    assert_eq!(told_whole(&feed).len(), 1, "the other holds");
    assert_eq!(feed.put(entry("t1"), 9), Some(TargetChange::Put(entry("t1"))));
}

#[test]
fn what_a_list_leaves_out_is_gone() {
    let mut feed = TargetFeed::default();
    feed.put(entry("t1"), 5);
    let changes = feed.apply_list(vec![(entry("t2"), 6)], 8, NO_LAPSE, NOW);
    let expected = [TargetChange::Put(entry("t2")), TargetChange::Remove("t1".to_owned())];
    assert_eq!(changes, expected);
    assert!(feed.is_whole());
}

#[test]
fn a_lapsed_entry_stays_until_it_counts_as_gone() {
    let mut feed = TargetFeed::default();
    feed.put(entry("t1"), 5);
    assert_eq!(feed.apply_list(Vec::new(), 8, LAPSE_END, NOW), []);
    assert_eq!(feed.expire(NOW), []);
    assert_eq!(feed.expire(LAPSE_END), [TargetChange::Remove("t1".to_owned())]);
}

/// Symptom: requests reach a target seconds after it left. Sequence: the store turns one gateway
/// away; a target leaves, and the other gateways drop it; the store takes the gateway back, which
/// keeps the missing entry as one that may have lapsed, and tells the others what it knows. Cause:
/// the kept entry was given the list's revision, newer than the others' word of its leaving.
#[test]
fn a_lapsing_entry_is_no_news_to_gateways_that_know_it_left() {
    let mut turned_away = whole_feed();
    let mut in_touch = whole_feed();
    turned_away.put(entry("t1"), 7);
    in_touch.put(entry("t1"), 7);
    in_touch.remove("t1", 86, NO_LAPSE, NOW);
    turned_away.apply_list(Vec::new(), 89, LAPSE_END, NOW);
    let told = turned_away.changes_since(in_touch.known_since());
    assert_eq!(take_all(&mut in_touch, told), []);
    assert_eq!(take_all(&mut in_touch, turned_away.changes_since(0)), [], "nor in a whole list");
    // And the other way round it learns at once.
    assert!(in_touch.known_since() > turned_away.known_since(), "so that it asks");
    let told = in_touch.changes_since(turned_away.known_since());
    let changes = take_all(&mut turned_away, told);
    assert_eq!(changes, [TargetChange::Remove("t1".to_owned())]);
}
