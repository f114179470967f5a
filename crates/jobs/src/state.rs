//! What the records of one shard add up to.

use std::fmt;

use notch_types::prelude::*;

use crate::record::LedgerRecord;

/// Sequence numbers `first..=last`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SeqRange {
    /// The first one.
    pub first: u64,
    /// The last one.
    pub last: u64,
}

/// Bytes that are no snapshot of this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotError;

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a snapshot of a shard's state")
    }
}

impl std::error::Error for SnapshotError {}

/// The state of one shard: a function of its records alone.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ShardState {
    applied: u64,
}

impl ShardState {
    /// Applies the record at `seq`.
    pub fn apply(&mut self, seq: u64, record: &LedgerRecord) {
        let _ = record;
        self.applied = seq;
    }

    /// The last sequence number applied; 0 when there is none.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The state as bytes.
    pub fn snapshot(&self) -> Payload {
        Payload::default()
    }

    /// The state from [`ShardState::snapshot`]'s bytes; empty bytes are the empty state.
    pub fn restore(_bytes: &[u8]) -> Result<Self, SnapshotError> {
        Ok(Self::default())
    }

    /// Sequence numbers whose records must stay readable, rising.
    pub fn needed_ranges(&self) -> Vec<SeqRange> {
        Vec::new()
    }

    /// Keys of the chunk objects that must stay.
    pub fn live_chunks(&self) -> Vec<String> {
        Vec::new()
    }
}
