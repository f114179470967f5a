//! Learned run time of items.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ewma::Ewma;

/// Weight of the newest run in the moving averages: the last dozen or so runs dominate.
const NEWEST_WEIGHT: f64 = 0.1;
/// Assumed run time before any item has ended: answers of items have a hundred tokens or more.
const DEFAULT_ITEM_TIME: Duration = Duration::from_secs(1);
/// Maximum number of runs that count for the weight of an estimate.
const MAX_RUNS: u32 = 10;

/// Learned run time of items, as exchanged between gateways.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRunTimeStats {
    /// Microseconds per item; 0 if unknown.
    pub item_us: u64,
    /// Nanoseconds per token of an answer; 0 if unknown.
    pub token_ns: u64,
    /// Number of runs that the values are based on, up to a maximum.
    pub runs: u32,
}

const MICROS_PER_SECOND: f64 = 1e6;
const NANOS_PER_SECOND: f64 = 1e9;

/// Learned run time of a complete run of an item.
#[derive(Debug, Clone, Copy, Default)]
pub struct ItemRunTime {
    /// Seconds per item, regardless of its size.
    item_seconds: Ewma,
    /// Seconds per token of an answer, from items that stated their size.
    token_seconds: Ewma,
    /// Number of runs observed. Invariant: at most [`MAX_RUNS`].
    runs: u32,
}

impl ItemRunTime {
    /// Records an item that ran from start to end within `took` and whose answer was expected to
    /// have `tokens` tokens, 0 if unknown.
    pub fn note(&mut self, took: Duration, tokens: u32) {
        let seconds = took.as_secs_f64();
        self.item_seconds.note(seconds, NEWEST_WEIGHT);
        self.runs = (self.runs + 1).min(MAX_RUNS);
        if tokens > 0 {
            self.token_seconds.note(seconds / f64::from(tokens), NEWEST_WEIGHT);
        }
    }

    /// Combines the values of several gateways, weighted by their runs. Each gateway runs few
    /// items, and short ones end long before the others, so the values of a single gateway can be
    /// far off.
    pub fn mean_of(all: impl Iterator<Item = ItemRunTimeStats>) -> Self {
        let (mut item_us, mut token_ns, mut runs, mut sized_runs) = (0.0, 0.0, 0, 0);
        for figures in all {
            item_us += figures.item_us as f64 * f64::from(figures.runs);
            runs += figures.runs;
            if figures.token_ns > 0 {
                token_ns += figures.token_ns as f64 * f64::from(figures.runs);
                sized_runs += figures.runs;
            }
        }
        let mut run_time = Self { runs: runs.min(MAX_RUNS), ..Self::default() };
        run_time
            .item_seconds
            .note(item_us / MICROS_PER_SECOND / f64::from(runs.max(1)), NEWEST_WEIGHT);
        run_time
            .token_seconds
            .note(token_ns / NANOS_PER_SECOND / f64::from(sized_runs.max(1)), NEWEST_WEIGHT);
        run_time
    }

    /// The learned values, to be sent to other gateways.
    pub fn figures(&self) -> ItemRunTimeStats {
        ItemRunTimeStats {
            item_us: (self.item_seconds.value() * MICROS_PER_SECOND) as u64,
            token_ns: (self.token_seconds.value() * NANOS_PER_SECOND) as u64,
            runs: self.runs,
        }
    }

    /// Whether any run has been observed.
    pub fn is_known(&self) -> bool {
        self.item_seconds.is_known()
    }

    /// Expected run time, with a default before any run has been observed. The default is rather
    /// too short, so that no job is refused because of it.
    pub fn expected_or_default(&self, tokens: u32) -> Duration {
        if self.is_known() { self.expected(tokens) } else { DEFAULT_ITEM_TIME }
    }

    /// Expected run time of an item whose answer is expected to have `tokens` tokens.
    pub fn expected(&self, tokens: u32) -> Duration {
        let is_sized = tokens > 0 && self.token_seconds.is_known();
        let sized = self.token_seconds.value() * f64::from(tokens);
        Duration::from_secs_f64(if is_sized { sized } else { self.item_seconds.value() })
    }
}
