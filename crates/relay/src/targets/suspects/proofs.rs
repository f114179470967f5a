//! Suspects that were answered a short time ago.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Time for which an answer proves that its suspects did not cause a crash: longer than targets that crash together take
/// to be noticed, and short enough for what new software can't run.
const PROOF_TIME: Duration = Duration::from_secs(2);

/// When requests with each suspect of one kind were last answered at this gateway.
#[derive(Debug)]
pub struct ProofTable {
    proven: FastMap<u64, MonoTime>,
    /// Suspects in the order in which they were first proven. Invariant: contains every key of `proven`.
    ages: VecDeque<u64>,
    /// Maximum number of suspects; the oldest are evicted first.
    bound: usize,
}

impl ProofTable {
    /// An empty table for this many suspects.
    pub fn new(bound: usize) -> Self {
        Self { proven: FastMap::default(), ages: VecDeque::new(), bound }
    }

    /// Records an answer.
    pub fn note(&mut self, id: u64, now: MonoTime) {
        if self.proven.insert(id, now).is_none() {
            self.ages.push_back(id);
        }
        while self.ages.len() > self.bound {
            let Some(oldest) = self.ages.pop_front() else { return };
            self.proven.remove(&oldest);
        }
    }

    /// When it was last answered; `None` if that isn't known.
    pub fn last(&self, id: u64) -> Option<MonoTime> {
        self.proven.get(&id).copied()
    }

    /// Whether it was answered so recently that a crash is not its fault.
    pub fn is_fresh(&self, id: u64, now: MonoTime) -> bool {
        self.last(id).is_some_and(|at| now.since(at) < PROOF_TIME)
    }
}
