//! Scenes that several tests begin with, and filters of calls.

use std::time::Duration;

use notch_ledger::{LedgerHead, ObjectKey, RecordPlace, Seq, ShardSettings, read_segment};
use notch_types::object::StoreOp;

use super::{
    SHARD,
    world::{World, needed_from},
};

pub fn puts_head(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Put { key, .. } if key.ends_with("/head"))
}

pub fn puts_segment(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Put { key, .. } if key.contains("/seg/"))
}

pub fn deletes(op: &StoreOp) -> bool {
    matches!(op, StoreOp::Delete { .. })
}

pub fn lists_ledger(op: &StoreOp) -> bool {
    matches!(op, StoreOp::List { prefix, .. } if prefix.starts_with("ledger/"))
}

/// Two nodes of which the first owns the shard.
pub fn owned(seed: u64) -> World {
    let mut world = World::tuned(2, seed, keep);
    world.run(500);
    assert_eq!(world.owner(), Some(0));
    world
}

/// A standby that has taken over keeps the shard for the whole test.
pub fn keep(settings: &mut ShardSettings) {
    settings.least_tenure = Duration::from_secs(600);
}

/// Enough appends for many segments and several snapshots.
pub fn fill(world: &mut World, node: usize, appends: usize) {
    for _ in 0..appends {
        world.append(node, 4, 60);
        world.run(25);
    }
}

pub fn segments(world: &World) -> Vec<String> {
    world.store.objects.keys().filter(|key| key.contains("/seg/")).cloned().collect()
}

pub fn head(world: &World) -> LedgerHead {
    let value = world.store.value(&ObjectKey { shard: SHARD }.head()).expect("a head");
    LedgerHead::decode(value).expect("a head")
}

impl World {
    /// Every record that must be readable at the present owner is.
    pub fn check_reads(&self) {
        let Some(owner) = self.owner() else { return };
        let shard = self.nodes[owner].shard.as_ref().expect("an owner");
        let value = self.store.value(&ObjectKey { shard: SHARD }.head()).expect("a head");
        let head = notch_ledger::LedgerHead::decode(value).expect("a head");
        let snapshot = head.snapshot.map_or(0, |snapshot| snapshot.upto.0);
        for (record, seq) in self.naive.list.iter().zip(0..self.nodes[owner].state.len() as u64) {
            let place = shard.locate(Seq(seq));
            assert!(place.is_some() || seq < needed_from(snapshot), "{seq} can't be located");
            match place {
                Some(RecordPlace::Inline(found)) => assert_eq!(found, record),
                Some(RecordPlace::Segment { key, index }) => {
                    let value = self.store.value(&key).expect("a located segment is there");
                    assert_eq!(read_segment(value, index).as_ref(), Ok(record));
                }
                None => {}
            }
        }
    }
}
