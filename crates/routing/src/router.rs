//! The state machine that routes online requests.

use notch_types::prelude::*;

use crate::{effect::RouterEffect, event::RouterEvent, settings::RouterSettings};

/// Routes the online requests of one gateway. Pure: time comes in with each event, chance from
/// the seed.
#[derive(Debug)]
pub struct OnlineRouter {
    settings: RouterSettings,
    seed: u64,
}

impl OnlineRouter {
    /// A router that knows no sidecar, target or account yet. `seed` also makes attempt numbers
    /// unique across gateways, so it must differ at each start of each gateway.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Self { settings, seed }
    }

    /// Takes an event and appends what is to be done.
    pub fn handle(&mut self, now: Now, event: RouterEvent, effects: &mut Vec<RouterEffect>) {
        let _ = (now, event, effects, &self.settings, self.seed);
    }

    /// When to feed `Tick` at the latest; `None` while nothing waits.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// Requests not yet ended, for a graceful shutdown to wait on.
    pub fn unfinished(&self) -> usize {
        0
    }
}
