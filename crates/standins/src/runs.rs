//! How often each thing ran, for checks of "at most once".

use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard},
};

use serde::{Deserialize, Serialize};

/// Most keys counted apart; runs of further keys are counted together.
const MAX_KEYS: usize = 2_000_000;
/// The key of runs that are counted together.
pub const OTHER_KEYS: &str = "(others)";

/// Runs of one key.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCounts {
    /// How often it began to run.
    pub started: u64,
    /// How often it ran to its end.
    pub finished: u64,
}

/// Runs by key.
#[derive(Debug, Default)]
pub struct RunLog {
    /// At most [`MAX_KEYS`] and [`OTHER_KEYS`].
    runs: Mutex<BTreeMap<String, RunCounts>>,
}

impl RunLog {
    /// Runs of `key`.
    pub fn of(&self, key: &str) -> RunCounts {
        self.locked().get(key).copied().unwrap_or_default()
    }

    /// Runs of every key.
    pub fn all(&self) -> BTreeMap<String, RunCounts> {
        self.locked().clone()
    }

    pub(crate) fn count_start(&self, key: &str) {
        self.change(key, |counts| counts.started += 1);
    }

    pub(crate) fn count_finish(&self, key: &str) {
        self.change(key, |counts| counts.finished += 1);
    }

    fn change(&self, key: &str, change: impl FnOnce(&mut RunCounts)) {
        let mut runs = self.locked();
        if let Some(counts) = runs.get_mut(key) {
            return change(counts);
        }
        let key = if runs.len() < MAX_KEYS { key } else { OTHER_KEYS };
        change(runs.entry(key.to_string()).or_default());
    }

    fn locked(&self) -> MutexGuard<'_, BTreeMap<String, RunCounts>> {
        self.runs.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
