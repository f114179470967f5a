//! Failed runs of an item.

use serde::{Deserialize, Serialize};

/// Bits of the id of a run: numbers in JSON are exact up to here.
const ID_BITS: u32 = 53;
/// Maximum number of runs that are named. Items have far fewer attempts; further runs are only counted.
const MAX_NAMED: usize = 64;

/// A run that a target answered with a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FailedRun {
    /// Id of the run, distinct across all gateways.
    pub id: u64,
    /// Whether the target reported that the item can never be done.
    pub is_impossible: bool,
}

impl FailedRun {
    /// The run whose hash over the gateway's incarnation and the run's number there is `hash`.
    pub fn new(hash: u64, is_impossible: bool) -> Self {
        Self { id: hash >> (u64::BITS - ID_BITS), is_impossible }
    }
}

/// Failed runs of an item. What several gateways know can be joined in any order: each run counts once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailedRuns {
    /// Number of runs that may be repeated. Invariant: at least as many as `runs`; more if counted by an earlier build, which
    /// names none, or if there are too many to name.
    pub count: u32,
    /// Whether a target reported that the item can never be done.
    pub is_impossible: bool,
    /// Their ids. Invariant: distinct, few, as items have few attempts.
    #[serde(default)]
    pub runs: Vec<u64>,
}

impl FailedRuns {
    /// Whether no run failed.
    pub fn is_empty(&self) -> bool {
        self.count == 0 && !self.is_impossible
    }

    /// Whether an item with this many attempts has none left.
    pub fn exhausts(&self, attempts: u32) -> bool {
        self.is_impossible || self.count >= attempts
    }

    /// Counts a run. Returns whether it is new.
    pub fn note(&mut self, run: FailedRun) -> bool {
        if run.is_impossible {
            return !std::mem::replace(&mut self.is_impossible, true);
        }
        if self.runs.contains(&run.id) {
            return false;
        }
        if self.runs.len() < MAX_NAMED {
            self.runs.push(run.id);
        }
        self.count = self.count.saturating_add(1);
        true
    }

    /// Adds what another gateway knows. Returns whether anything of it is new.
    pub fn join(&mut self, other: &Self) -> bool {
        let before = (self.count, self.is_impossible, self.runs.len());
        for id in &other.runs {
            if !self.runs.contains(id) && self.runs.len() < MAX_NAMED {
                self.runs.push(*id);
            }
        }
        self.is_impossible |= other.is_impossible;
        self.count = self.count.max(other.count).max(self.runs.len() as u32);
        before != (self.count, self.is_impossible, self.runs.len())
    }
}
