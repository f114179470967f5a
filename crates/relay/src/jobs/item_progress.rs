//! States of the items of a job.

use notch_types::prelude::*;

use super::failed_runs::FailedRuns;

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
    /// Runs for which a target reported a failure.
    pub(super) failed: FailedRuns,
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
        let failed = FailedRuns::default();
        Self { phase, failed, interruptions: 0, last_event: None, version, output }
    }
}
