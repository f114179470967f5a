//! A write of the head by its owner, and what depends on it.

use crate::{
    segment::SegmentRef,
    shard::{owner::queue::AppendBatch, write::HeadWrite},
};

/// One commit on its way.
#[derive(Debug)]
pub(crate) struct CommitFlight {
    /// Its number within the ownership.
    pub(crate) serial: u64,
    pub(crate) write: HeadWrite,
    /// Empty for a renewal.
    pub(crate) batch: AppendBatch,
    /// The retained index that comes into force with a snapshot named by this write.
    pub(crate) retained: Option<Vec<SegmentRef>>,
    /// Whether it gives the shard up.
    pub(crate) releases: bool,
}
