//! Calls that wait for a commit or a read, as their records carry them.

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// A call to be answered after a commit.
#[derive(Debug, Clone)]
pub(crate) struct AskedCall {
    /// The asking gateway's VM.
    pub(crate) from: VmName,
    /// Its call.
    pub(crate) call: CallId,
    /// What it asked.
    pub(crate) request: ShardRequest,
}

/// A call that waits for a stored answer's record.
#[derive(Debug)]
pub(super) struct StoredRead {
    pub(super) from: VmName,
    pub(super) call: CallId,
    /// Of the record.
    pub(super) seq: u64,
    /// Whether a claim asks, or a caller for its answer.
    pub(super) claim: bool,
}

/// A sidecar's pull.
#[derive(Debug, Clone)]
pub(super) struct PullCall {
    pub(super) from: VmName,
    pub(super) call: CallId,
    pub(super) pull: LotPull,
    /// When it came.
    pub(super) since: MonoTime,
}

/// A lot that leaves once its items' claims are committed.
#[derive(Debug)]
pub(crate) struct PendingLot {
    pub(super) call: PullCall,
    pub(super) job: JobId,
    pub(super) urgent: bool,
    pub(crate) items: Vec<LotItem>,
}

impl PendingLot {
    /// Who waits for it.
    pub(super) fn call(&self) -> &PullCall {
        &self.call
    }
}
