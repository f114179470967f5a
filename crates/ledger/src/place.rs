//! Where a record is.

use notch_types::prelude::Payload;

/// Where an owner finds a record of its shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RecordPlace<'a> {
    /// In the head, and so in memory.
    Inline(&'a Payload),
    /// In a segment: get the object, then [`crate::read_segment`]. If it's gone, send
    /// `SegmentMissed` and ask again: the head has moved on.
    Segment {
        /// The object's key.
        key: String,
        /// The record's index in it.
        index: usize,
    },
}
