//! Merging of target entries from the store and from other gateways.

use std::time::Duration;

use notch_entry::store::target::{TargetChange, TargetFeed};
use notch_messages::prelude::{TargetChanges, VersionedTarget};
use notch_relay::prelude::*;
use notch_types::prelude::*;

const NOW: MonoTime = MonoTime(1_000_000);
const NO_GRACE: MonoTime = MonoTime(0);
const GRACE_END: MonoTime = MonoTime(3_000_000);

fn entry(id: &str) -> TargetEntry {
    TargetEntry {
        id: id.to_owned(),
        name: id.to_owned(),
        born: 0,
        software_version: "v1".to_owned(),
        service: "llm".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        domain: "a".to_owned(),
        slots: 4,
        state: TargetState::Ready,
        cold_left: Duration::ZERO,
    }
}

/// Every entry sent to a gateway that knows none.
fn all_entries(feed: &TargetFeed) -> Vec<VersionedTarget> {
    feed.changes_since(0).into_iter().flat_map(|part| part.entries).collect()
}

fn apply_all(feed: &mut TargetFeed, parts: Vec<TargetChanges>) -> Vec<TargetChange> {
    parts.into_iter().flat_map(|part| feed.apply_changes(part, NOW)).collect()
}

fn whole_feed() -> TargetFeed {
    let mut feed = TargetFeed::default();
    feed.apply_list(Vec::new(), 1, NO_GRACE, NOW);
    feed
}

#[test]
fn an_outdated_entry_changes_nothing() {
    let mut feed = TargetFeed::default();
    feed.put(entry("t1"), 5);
    let removed = feed.remove("t1", 9, NO_GRACE, NOW);
    assert_eq!(removed, Some(TargetChange::Remove("t1".to_owned())));
    assert_eq!(feed.put(entry("t1"), 7), None, "the target had left by then");
    assert!(feed.put(entry("t1"), 11).is_some(), "the target registered again");
}

fn started(born: u64) -> TargetEntry {
    TargetEntry { id: TargetEntry::start_id("t1", born), born, ..entry("t1") }
}

/// Guards against requests that are routed by what was known of a target before it started again,
/// or that stop going to it. A target starts again under the same name. Writes by its earlier and
/// its later instance arrive from the store, a watch and other gateways in any order, and one by
/// the earlier instance takes effect after one by the later. The entries were messages apart by the
/// name alone, or by the revision alone.
#[test]
fn a_later_start_wins_whatever_the_order_of_arrival() {
    let mut feed = whole_feed();
    feed.put(started(1_000), 5);
    let restart = TargetChange::Restart { before: "t1#1000".to_owned(), entry: started(2_000) };
    assert_eq!(feed.put(started(2_000), 9), Some(restart));
    assert_eq!(feed.put(started(1_000), 7), None, "an outdated write");
    assert_eq!(feed.put(started(1_000), 12), None, "a delayed write by the earlier start");
    assert_eq!(feed.apply_list(vec![(started(1_000), 12)], 14, NO_GRACE, NOW), []);
    assert_eq!(all_entries(&feed).iter().map(|t| t.entry.born).collect::<Vec<_>>(), [2_000]);
    let gone = feed.remove("t1", 20, NO_GRACE, NOW);
    assert_eq!(gone, Some(TargetChange::Remove("t1#2000".to_owned())));
    assert_eq!(feed.put(started(1_000), 25), None, "not even after the later start has left");
    assert_eq!(feed.put(started(2_000), 26), Some(TargetChange::Put(started(2_000))));
}

#[test]
fn a_later_start_wins_over_a_delayed_write_of_the_earlier_one() {
    let mut feed = TargetFeed::default();
    feed.put(started(1_000), 12);
    let change = feed.put(started(2_000), 9);
    assert!(matches!(change, Some(TargetChange::Restart { .. })), "{change:?}");
    assert_eq!(feed.put(started(2_000), 12), None);
    assert!(feed.put(started(2_000), 13).is_some());
}

/// Guards against a working target that is no longer used, and against a log full of one error.
/// Another program overwrites the target's entry, the entry is read many times, and then the target
/// writes it again. The invalid entry still excluded the target, or was logged at each read.
#[test]
fn an_undecodable_entry_removes_the_target_until_it_is_valid() {
    let mut feed = whole_feed();
    feed.put(entry("t1"), 5);
    feed.put(entry("t2"), 5);
    let gone = TargetChange::Remove("t1".to_owned());
    assert_eq!(feed.refuse("t1", 7), (true, Some(gone)));
    assert_eq!(feed.refuse("t1", 7), (false, None), "the same revision");
    assert_eq!(feed.refuse("t1", 8), (true, None), "a new revision");
    assert_eq!(feed.refuse("t9", 8), (true, None), "an unknown target");
    assert_eq!(all_entries(&feed).len(), 1, "the other entry stays valid");
    assert_eq!(feed.put(entry("t1"), 9), Some(TargetChange::Put(entry("t1"))));
}

#[test]
fn an_entry_missing_from_a_list_is_removed() {
    let mut feed = TargetFeed::default();
    feed.put(entry("t1"), 5);
    let changes = feed.apply_list(vec![(entry("t2"), 6)], 8, NO_GRACE, NOW);
    let expected = [TargetChange::Put(entry("t2")), TargetChange::Remove("t1".to_owned())];
    assert_eq!(changes, expected);
    assert!(feed.is_whole());
}

#[test]
fn a_lapsed_entry_is_kept_until_its_grace_period_ends() {
    let mut feed = TargetFeed::default();
    feed.put(entry("t1"), 5);
    assert_eq!(feed.apply_list(Vec::new(), 8, GRACE_END, NOW), []);
    assert_eq!(feed.expire(NOW), []);
    assert_eq!(feed.expire(GRACE_END), [TargetChange::Remove("t1".to_owned())]);
}

/// Guards against requests to a target seconds after it left. One gateway is cut off from the
/// store; a target leaves, and the other gateways drop it; the gateway reaches the store again,
/// keeps the missing entry as possibly expired, and sends the others what it knows. The kept entry
/// was given the revision of the list, which is newer than the removal known to the others.
#[test]
fn a_lapsing_entry_does_not_return_at_gateways_that_know_it_left() {
    let mut cut_off = whole_feed();
    let mut in_touch = whole_feed();
    cut_off.put(entry("t1"), 7);
    in_touch.put(entry("t1"), 7);
    in_touch.remove("t1", 86, NO_GRACE, NOW);
    in_touch.note_complete(86);
    cut_off.apply_list(Vec::new(), 89, GRACE_END, NOW);
    let messages = cut_off.changes_since(in_touch.known_since());
    assert_eq!(apply_all(&mut in_touch, messages), []);
    assert_eq!(
        apply_all(&mut in_touch, cut_off.changes_since(0)),
        [],
        "not even with a whole list"
    );
    // In the other direction the gateway learns of the removal at once.
    assert!(in_touch.known_since() > cut_off.known_since(), "the lower revision makes it ask");
    let messages = in_touch.changes_since(cut_off.known_since());
    let changes = apply_all(&mut cut_off, messages);
    assert_eq!(changes, [TargetChange::Remove("t1".to_owned())]);
}

/// Guards against requests to a target long after it left: a gateway was told of later changes by one at which the removal
/// waited, and never asked the others for it.
#[test]
fn a_removal_that_waits_at_one_gateway_is_learned_from_another() {
    let mut feeds = [whole_feed(), whole_feed(), whole_feed()];
    for feed in &mut feeds {
        feed.put(entry("t1"), 7);
        feed.note_complete(7);
    }
    let [regained, in_touch, follower] = &mut feeds;
    for (feed, grace) in [(&mut *regained, GRACE_END), (&mut *in_touch, NO_GRACE)] {
        feed.remove("t1", 9, grace, NOW);
        feed.put(entry("t2"), 11);
        feed.note_complete(11);
    }
    let told = apply_all(follower, regained.changes_since(follower.known_since()));
    assert_eq!(told, [TargetChange::Put(entry("t2"))], "what is new is passed on at once");
    assert!(follower.known_since() < in_touch.known_since(), "the lower revision makes it ask");
    let learned = apply_all(follower, in_touch.changes_since(follower.known_since()));
    assert!(learned.contains(&TargetChange::Remove("t1".to_owned())), "{learned:?}");
    assert_eq!(follower.known_since(), in_touch.known_since());
}

/// Guards against a version of a target's software that a gateway misses for good: it missed the change of an entry, and
/// its digest was the same as that of the others.
#[test]
fn the_digest_tells_versions_apart() {
    let mut feeds = [whole_feed(), whole_feed()];
    let newer = TargetEntry { software_version: "v2".to_owned(), ..entry("t1") };
    feeds[0].put(entry("t1"), 5);
    feeds[1].put(newer, 5);
    assert_ne!(feeds[0].digest(), feeds[1].digest());
}
