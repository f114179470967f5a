//! States of the items of a job.

use notch_types::prelude::*;

/// State of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ItemPhase {
    /// To be run, but not before this time.
    Waiting(MonoTime),
    /// A run is in progress.
    Running,
    /// Ended: its result is stored or waits to be stored.
    Ended,
}

/// State of an item, with what its runs have produced.
#[derive(Debug)]
pub(super) struct ItemProgress {
    pub(super) phase: ItemPhase,
    /// Runs that ended in a failure reported by the target.
    pub(super) failures: u32,
    /// Whether a target reported that it can never be done.
    pub(super) is_impossible: bool,
    /// Consecutive runs that were interrupted without an event.
    pub(super) interruptions: u32,
    /// Id of the last event held.
    pub(super) last_event: Option<u64>,
    /// Version of the software that wrote the events held.
    pub(super) version: String,
    /// Data of the events held, joined by line feeds.
    pub(super) output: Vec<u8>,
}

impl ItemProgress {
    /// An item that waits, or has ended if its result is listed.
    pub(super) fn new(listed: bool) -> Self {
        let phase = if listed { ItemPhase::Ended } else { ItemPhase::Waiting(MonoTime::default()) };
        let (version, output) = (String::new(), Vec::new());
        Self {
            phase,
            failures: 0,
            is_impossible: false,
            interruptions: 0,
            last_event: None,
            version,
            output,
        }
    }
}
