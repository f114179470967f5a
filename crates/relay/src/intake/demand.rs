//! Work that waits for places, by when it is due.

use std::time::Duration;

use notch_types::prelude::*;

/// Work that is due by a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DueWork {
    /// When it is due.
    pub due: MonoTime,
    /// How long it would take one place.
    pub work: Duration,
}

/// Work that waits for the places of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkDemand {
    /// Invariant: in order of due times.
    works: Vec<DueWork>,
}

impl WorkDemand {
    /// What waits, in any order.
    pub fn new(mut works: Vec<DueWork>) -> Self {
        works.sort_by_key(|work| work.due);
        Self { works }
    }

    /// Several demands as one.
    pub fn joined<'a>(all: impl Iterator<Item = &'a WorkDemand>) -> Self {
        Self::new(all.flat_map(|demand| demand.works.iter().copied()).collect())
    }

    /// In order of due times.
    pub fn works(&self) -> &[DueWork] {
        &self.works
    }

    /// All of it.
    pub fn total(&self) -> Duration {
        self.works.iter().map(|work| work.work).sum()
    }

    /// The same in at most `most` parts, each due when the last of it is. It may look a little less urgent
    /// than it is, never more: nothing is refused for the rounding.
    pub fn merged(&self, most: usize) -> Vec<DueWork> {
        let size = self.works.len().div_ceil(most.max(1)).max(1);
        let merge = |part: &[DueWork]| {
            let due = part.iter().map(|work| work.due).max().unwrap_or_default();
            DueWork { due, work: part.iter().map(|work| work.work).sum() }
        };
        self.works.chunks(size).map(merge).collect()
    }
}
