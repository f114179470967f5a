//! How long items take.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ewma::Ewma;

/// Weight of the newest run in what is learned: the last dozen or so count.
const PACE_WEIGHT: f64 = 0.1;
/// Time of an item before any has ended: answers of items have a hundred tokens and more.
const FIRST_ITEM: Duration = Duration::from_secs(1);
/// Runs that count in what is learned.
const RUNS_MOST: u32 = 10;

/// What is learned of items' runs, as one gateway tells another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemRunTimeStats {
    /// Microseconds for an item; 0 when not known.
    pub item_us: u64,
    /// Nanoseconds for each token of an answer; 0 when not known.
    pub token_ns: u64,
    /// Runs that it was learned from, as far as they count.
    pub runs: u32,
}

/// Microseconds of a second.
const SECOND_US: f64 = 1e6;
/// Nanoseconds of a second.
const SECOND_NS: f64 = 1e9;

/// How long a whole run of an item takes, learned from those that have ended.
#[derive(Debug, Clone, Copy, Default)]
pub struct ItemRunTime {
    /// Seconds for an item, whatever its size.
    item_seconds: Ewma,
    /// Seconds for each token of an answer, of items that told their tokens.
    token_seconds: Ewma,
    /// Runs that it was learned from. Invariant: at most [`RUNS_MOST`].
    runs: u32,
}

impl ItemRunTime {
    /// An item ran from its beginning to its end within `took`; its answer was expected to have
    /// `tokens`, 0 if it didn't say.
    pub fn note(&mut self, took: Duration, tokens: u32) {
        let seconds = took.as_secs_f64();
        self.item_seconds.note(seconds, PACE_WEIGHT);
        self.runs = (self.runs + 1).min(RUNS_MOST);
        if tokens > 0 {
            self.token_seconds.note(seconds / f64::from(tokens), PACE_WEIGHT);
        }
    }

    /// What several gateways learned together: each gateway runs few items, and some end long before the others
    /// do, so what one has learned of a few is far off.
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
        let mut pace = Self { runs: runs.min(RUNS_MOST), ..Self::default() };
        pace.item_seconds.note(item_us / SECOND_US / f64::from(runs.max(1)), PACE_WEIGHT);
        pace.token_seconds.note(token_ns / SECOND_NS / f64::from(sized_runs.max(1)), PACE_WEIGHT);
        pace
    }

    /// What is learned, for another gateway.
    pub fn figures(&self) -> ItemRunTimeStats {
        ItemRunTimeStats {
            item_us: (self.item_seconds.value() * SECOND_US) as u64,
            token_ns: (self.token_seconds.value() * SECOND_NS) as u64,
            runs: self.runs,
        }
    }

    /// Whether a run has ended.
    pub fn is_known(&self) -> bool {
        self.item_seconds.is_known()
    }

    /// How long an item takes as far as a job that comes is concerned: as long as nothing is known, a guess that
    /// is rather too short.
    pub fn expected_or_default(&self, tokens: u32) -> Duration {
        if self.is_known() { self.expected(tokens) } else { FIRST_ITEM }
    }

    /// How long an item whose answer is expected to have `tokens` will likely take.
    pub fn expected(&self, tokens: u32) -> Duration {
        let is_sized = tokens > 0 && self.token_seconds.is_known();
        let sized = self.token_seconds.value() * f64::from(tokens);
        Duration::from_secs_f64(if is_sized { sized } else { self.item_seconds.value() })
    }
}
