//! Work waiting for slots, by due time.

use std::time::Duration;

use notch_types::prelude::*;

/// An amount of work with a due time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueWork {
    /// When the work is due.
    pub due: MonoTime,
    /// Time that the work takes on one slot.
    pub work: Duration,
}

/// Work waiting for the slots of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkDemand {
    /// Invariant: in order of due times.
    works: Vec<DueWork>,
}

impl WorkDemand {
    /// Creates a demand from work in any order.
    pub fn new(mut works: Vec<DueWork>) -> Self {
        works.sort_by_key(|work| work.due);
        Self { works }
    }

    /// Combines several demands.
    pub fn joined<'a>(all: impl Iterator<Item = &'a WorkDemand>) -> Self {
        Self::new(all.flat_map(|demand| demand.works.iter().copied()).collect())
    }

    /// The work in order of due times.
    pub fn works(&self) -> &[DueWork] {
        &self.works
    }

    /// Total amount of work.
    pub fn total(&self) -> Duration {
        self.works.iter().map(|work| work.work).sum()
    }

    /// Merges the work into at most `max_parts` parts, each with the latest due time of the work in it.
    /// The result may look slightly less urgent than the demand, but never more, so no job is
    /// refused because of the merge.
    pub fn merged(&self, max_parts: usize) -> Vec<DueWork> {
        let size = self.works.len().div_ceil(max_parts.max(1)).max(1);
        let merge = |part: &[DueWork]| {
            let due = part.iter().map(|work| work.due).max().unwrap_or_default();
            DueWork { due, work: part.iter().map(|work| work.work).sum() }
        };
        self.works.chunks(size).map(merge).collect()
    }
}
