//! The state machine of one shard.

use notch_types::prelude::*;

use crate::{
    effect::ShardEffect, event::ShardEvent, place::RecordPlace, seq::Seq, settings::ShardSettings,
};

/// One node's view of one shard, and its part in owning it.
#[derive(Debug)]
pub struct LedgerShard {
    settings: ShardSettings,
}

impl LedgerShard {
    /// A shard not yet looked at. `seed` feeds the jitter and, with writer and incarnation, the
    /// nonces.
    pub fn new(settings: ShardSettings, seed: u64) -> Self {
        let _ = seed;
        Self { settings }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: ShardEvent, effects: &mut Vec<ShardEffect>) {
        let _ = (now, event, effects);
    }

    /// When to send the next `Tick`, if nothing else happens.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// The settings given.
    pub fn settings(&self) -> &ShardSettings {
        &self.settings
    }

    /// The epoch held, when the shard is owned and replayed.
    pub fn owned_epoch(&self) -> Option<Epoch> {
        None
    }

    /// Whether this node owns the shard and its lease surely runs at `now` on its own clock. An
    /// owner answers nothing from its state, and grants no lots, while it's false.
    pub fn lease_held(&self, now: Now) -> bool {
        let _ = now;
        false
    }

    /// Where a committed record is; `None` if it isn't committed, is forgotten, or the shard
    /// isn't owned.
    pub fn locate(&self, seq: Seq) -> Option<RecordPlace<'_>> {
        let _ = seq;
        None
    }

    /// Bytes accepted and not yet committed.
    pub fn queued_bytes(&self) -> usize {
        0
    }
}
