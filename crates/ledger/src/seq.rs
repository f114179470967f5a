//! Places of records in a shard's order.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A record's place in its shard: 0 for the first one ever, without gaps, never given twice.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Seq(pub u64);

impl Seq {
    /// The place `count` records further on.
    pub fn plus(self, count: u64) -> Self {
        Self(self.0 + count)
    }
}

impl fmt::Display for Seq {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// A half-open range of places.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SeqRange {
    /// The first place in the range.
    pub from: Seq,
    /// The first place after it.
    pub until: Seq,
}

impl SeqRange {
    /// Whether the two ranges share a place.
    pub fn overlaps(self, other: SeqRange) -> bool {
        self.from < other.until && other.from < self.until
    }
}
