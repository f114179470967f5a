//! How long items take.

use std::time::Duration;

/// Weight of the newest run in what is learned: the last dozen or so count.
const PACE_WEIGHT: f64 = 0.1;

/// How long a whole run of an item takes, learned from those that have ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct ItemPace {
    /// Seconds for an item, whatever its size; 0 until one has ended.
    item_seconds: f64,
    /// Seconds for each token of an answer; 0 until an item has ended that told its tokens.
    token_seconds: f64,
}

impl ItemPace {
    /// An item ran from its beginning to its end within `took`; its answer was expected to have
    /// `tokens`, 0 if it didn't say.
    pub fn note(&mut self, took: Duration, tokens: u32) {
        let seconds = took.as_secs_f64();
        learn(&mut self.item_seconds, seconds);
        if tokens > 0 {
            learn(&mut self.token_seconds, seconds / f64::from(tokens));
        }
    }

    /// How long an item whose answer is expected to have `tokens` will likely take.
    pub fn expected(&self, tokens: u32) -> Duration {
        let is_sized = tokens > 0 && self.token_seconds > 0.0;
        let sized = self.token_seconds * f64::from(tokens);
        Duration::from_secs_f64(if is_sized { sized } else { self.item_seconds })
    }
}

fn learn(known: &mut f64, newest: f64) {
    let weight = if *known > 0.0 { PACE_WEIGHT } else { 1.0 };
    *known += (newest - *known) * weight;
}
