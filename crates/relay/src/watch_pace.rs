//! How often a followed kind of objects is asked for changes.

use std::time::Duration;

use notch_types::prelude::*;

/// Number of watch calls that may follow one another at once, so that single changes are heard of without delay.
const BURST: f64 = 4.0;
/// Watch calls a second beyond that. A change is heard of half a second late at most, a fraction of the time in which it
/// has to be in force everywhere.
const CALLS_PER_SECOND: f64 = 2.0;

/// Limits how often a watch is repeated.
///
/// A watch is answered at each change. While hundreds of targets register one after the other, each change would cost a
/// call of every follower; with a pause, one answer carries many changes.
#[derive(Debug, Clone, Copy)]
pub struct WatchPace {
    /// Calls that may be made without a pause. Invariant: at most [`BURST`].
    tokens: f64,
    /// When `tokens` was last updated.
    updated_at: MonoTime,
}

impl WatchPace {
    /// A pace that allows a burst at `now`.
    pub fn new(now: MonoTime) -> Self {
        Self { tokens: BURST, updated_at: now }
    }

    /// The pause before the next call, which is counted as made after it.
    pub fn next_pause(&mut self, now: MonoTime) -> Duration {
        let earned = now.since(self.updated_at).as_secs_f64() * CALLS_PER_SECOND;
        let tokens = (self.tokens + earned).min(BURST) - 1.0;
        let pause = Duration::from_secs_f64((-tokens).max(0.0) / CALLS_PER_SECOND);
        self.tokens = tokens.max(0.0);
        self.updated_at = now + pause;
        pause
    }
}
