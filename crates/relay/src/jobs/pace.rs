//! How long items take.

use std::time::Duration;

use crate::learned::LearnedMean;

/// Weight of the newest run in what is learned: the last dozen or so count.
const PACE_WEIGHT: f64 = 0.1;

/// How long a whole run of an item takes, learned from those that have ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct ItemPace {
    /// Seconds for an item, whatever its size.
    item_seconds: LearnedMean,
    /// Seconds for each token of an answer, of items that told their tokens.
    token_seconds: LearnedMean,
}

impl ItemPace {
    /// An item ran from its beginning to its end within `took`; its answer was expected to have
    /// `tokens`, 0 if it didn't say.
    pub fn note(&mut self, took: Duration, tokens: u32) {
        let seconds = took.as_secs_f64();
        self.item_seconds.note(seconds, PACE_WEIGHT);
        if tokens > 0 {
            self.token_seconds.note(seconds / f64::from(tokens), PACE_WEIGHT);
        }
    }

    /// How long an item whose answer is expected to have `tokens` will likely take.
    pub fn expected(&self, tokens: u32) -> Duration {
        let is_sized = tokens > 0 && self.token_seconds.is_known();
        let sized = self.token_seconds.value() * f64::from(tokens);
        Duration::from_secs_f64(if is_sized { sized } else { self.item_seconds.value() })
    }
}
