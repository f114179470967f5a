//! What a gateway knows of the others' entries.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::time::Duration;

use notch_entry::peers::{
    registration::GatewayEntry,
    roster::{GatewayRoster, RosterChange},
};
use notch_types::prelude::*;
use proptest::prelude::*;

fn entry(owner: u64) -> GatewayEntry {
    let address = "10.1.0.9:7720".parse().unwrap();
    GatewayEntry { address, owner: format!("g#{owner}"), domain: "z".to_owned() }
}

fn vm(number: u8) -> VmName {
    VmName::new(&format!("g-{number}"))
}

fn at(millis: u64) -> MonoTime {
    MonoTime::default() + Duration::from_millis(millis)
}

/// Guards against a late message that brings a removed gateway back.
#[test]
fn an_older_entry_does_not_undo_a_removal() {
    let mut roster = GatewayRoster::default();
    assert!(roster.put(&vm(1), entry(1), 5).is_some());
    assert_eq!(roster.remove(&vm(1), 7), Some(RosterChange::Remove(vm(1))));
    assert_eq!(roster.put(&vm(1), entry(1), 6), None);
    assert!(roster.put(&vm(1), entry(2), 8).is_some());
}

#[test]
fn a_list_removes_what_it_does_not_contain_unless_that_is_newer() {
    let mut roster = GatewayRoster::default();
    roster.put(&vm(1), entry(1), 5);
    roster.put(&vm(2), entry(2), 9);
    let changes = roster.apply_list(vec![(vm(3), entry(3), 6)], 7);
    assert!(changes.contains(&RosterChange::Remove(vm(1))));
    assert!(!changes.contains(&RosterChange::Remove(vm(2))));
}

/// Guards against a gateway that missed a push and never learns of another one, which might take its jobs over.
#[test]
fn a_lasting_difference_to_a_follower_is_repaired_by_its_whole_list() {
    let (mut follower, mut roster) = (GatewayRoster::default(), GatewayRoster::default());
    follower.put(&vm(1), entry(1), 5);
    follower.put(&vm(2), entry(2), 6);
    roster.put(&vm(1), entry(1), 5);
    assert!(!roster.note_digest(follower.digest(), false, at(0)), "a push may be on its way");
    assert!(roster.note_digest(follower.digest(), false, at(400)));
    assert!(!roster.note_digest(follower.digest(), false, at(500)), "one request at a time");
    roster.apply_changes(follower.whole());
    assert_eq!(roster.digest(), follower.digest());
    assert!(!roster.note_digest(follower.digest(), false, at(2_000)));
}

/// A change of the store's entries: of one gateway, to an owner or to none.
fn store_changes() -> impl Strategy<Value = Vec<(u8, Option<u64>)>> {
    prop::collection::vec((0..6_u8, prop::option::of(0..4_u64)), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Whatever order pushes arrive in, and whichever are lost, the whole list makes two gateways agree.
    #[test]
    fn pushes_in_any_order_and_a_whole_list_lead_to_the_same_entries(
        changes in store_changes(),
        lost in prop::collection::vec(any::<bool>(), 40),
        seed in any::<u64>(),
    ) {
        let mut follower = GatewayRoster::default();
        let mut messages = Vec::new();
        for (revision, (number, owner)) in (1_u64..).zip(&changes) {
            let before = follower.change_count();
            match owner {
                Some(owner) => drop(follower.put(&vm(*number), entry(*owner), revision)),
                None => drop(follower.remove(&vm(*number), revision)),
            }
            messages.extend(follower.changes_since(before));
        }
        let mut received: Vec<_> =
            messages.into_iter().zip(&lost).filter(|(_, lost)| !**lost).map(|(m, _)| m).collect();
        received.sort_by_key(|message| stable_hash64(&[&seed.to_be_bytes(), &message.as_of.to_be_bytes()]));
        let mut roster = GatewayRoster::default();
        for message in received {
            roster.apply_changes(message);
        }
        roster.apply_changes(follower.whole());
        prop_assert_eq!(roster.digest(), follower.digest());
    }
}
