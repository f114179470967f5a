//! A shard owner's behaviour.

pub mod effect;
pub mod event;

use notch_types::prelude::*;

use crate::{
    service::{effect::ServiceEffect, event::ServiceEvent},
    settings::JobSettings,
    state::ShardState,
};

/// One shard's service on one gateway, owner or not.
#[derive(Debug)]
pub struct ShardService {
    shard: ShardId,
    settings: JobSettings,
    state: ShardState,
}

impl ShardService {
    /// A service that owns nothing and has applied nothing.
    pub fn new(shard: ShardId, settings: JobSettings) -> Self {
        Self { shard, settings, state: ShardState::default() }
    }

    /// Decides what follows from `event`.
    pub fn handle(&mut self, now: Now, event: ServiceEvent, effects: &mut Vec<ServiceEffect>) {
        let _ = (now, event, effects, self.shard, &self.settings);
    }

    /// When `Tick` is due at the latest.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// The state the records add up to.
    pub fn state(&self) -> &ShardState {
        &self.state
    }
}
