//! Attempts that never may start, or that ended and whose output is gone.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Why an attempt is remembered though nothing of it is left.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum TombstoneKind {
    /// Refused before it started.
    Refused(RefusalReason),
    /// Sealed before it was ever offered.
    Sealed,
    /// It ran; this is its end mark.
    Finished {
        /// Bytes of the whole answer.
        total: u64,
        /// How it ended.
        outcome: AttemptOutcome,
    },
}

/// Remembered attempts, bounded in number and age.
///
/// Without it a copy of an offer that arrives late (sent again over a new link, then the refusal
/// of the first one overtakes it) would start an attempt that was reported as never run.
#[derive(Debug)]
pub(crate) struct TombstoneSet {
    known: FastMap<AttemptId, TombstoneKind>,
    /// In order of age; each key of `known` once.
    ages: VecDeque<(MonoTime, AttemptId)>,
    bound: usize,
    retention: Duration,
}

impl TombstoneSet {
    pub(crate) fn new(bound: usize, retention: Duration) -> Self {
        Self { known: FastMap::default(), ages: VecDeque::new(), bound, retention }
    }

    pub(crate) fn get(&self, attempt: AttemptId) -> Option<&TombstoneKind> {
        self.known.get(&attempt)
    }

    /// Whether a new promise ("never will start") can be kept without breaking an older one.
    pub(crate) fn has_room(&mut self, now: MonoTime) -> bool {
        self.expire(now);
        self.known.len() < self.bound
    }

    /// Remembers `attempt`. At the bound the oldest one is forgotten; callers that promise
    /// something ask [`TombstoneSet::has_room`] first.
    pub(crate) fn insert(&mut self, now: MonoTime, attempt: AttemptId, kind: TombstoneKind) {
        self.expire(now);
        if self.known.insert(attempt, kind).is_none() {
            self.ages.push_back((now, attempt));
        }
        if self.known.len() > self.bound {
            self.drop_oldest();
        }
    }

    fn expire(&mut self, now: MonoTime) {
        while self.ages.front().is_some_and(|(born, _)| now.since(*born) > self.retention) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, attempt)) = self.ages.pop_front() {
            self.known.remove(&attempt);
        }
    }
}
