//! Records of a ledger shard: what is agreed and kept.

use std::fmt;

use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A job as the ledger keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Its id.
    pub job: JobId,
    /// Whose.
    pub account: AccountName,
    /// For which target.
    pub target: TargetName,
    /// When it is due.
    pub due: WallTime,
    /// Number of items.
    pub item_count: u32,
    /// Whether items may run more than once.
    pub idempotent: bool,
    /// Most attempts of one item.
    pub max_attempts: u32,
    /// How long results stay readable after the job's end, milliseconds.
    pub retention_ms: u64,
    /// Chunk objects with the index of their first item, rising from 0.
    pub chunks: Vec<(String, ItemIndex)>,
    /// Digest of the whole input.
    pub content: u128,
    /// Random number of the submission that was accepted; 0 in records of earlier builds.
    #[serde(default)]
    pub attempt: u64,
}

/// One record. The first one of its kind for a job, item or request counts where the names say
/// "ended", "claimed" or "stored"; later ones change nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerRecord {
    /// A job was accepted.
    JobAccepted(AcceptedJob),
    /// A job was cancelled; its open items are cancelled by it.
    JobCancelled {
        /// The job.
        job: JobId,
        /// When; retention counts from here.
        at: WallTime,
    },
    /// Every item of a job has its result.
    JobEnded {
        /// The job.
        job: JobId,
        /// When; retention counts from here.
        at: WallTime,
    },
    /// A job's retention is over: it is forgotten.
    JobExpired {
        /// The job.
        job: JobId,
    },
    /// An item ended with this result.
    ItemEnded {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// How it ended.
        outcome: ItemOutcome,
    },
    /// An item of a job that is not idempotent is about to leave for a sidecar.
    ItemClaimed {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The attempt that alone may run it.
        attempt: u64,
    },
    /// The claimed attempt surely never started and never will.
    ItemReleased {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// The attempt that held it.
        attempt: u64,
    },
    /// An attempt of an item was spent without a result.
    ItemTried {
        /// The job.
        job: JobId,
        /// The item.
        item: ItemIndex,
        /// Attempts spent so far.
        attempts: u32,
        /// The VM whose target crashed with it in flight, if that is how it ended.
        crashed_on: Option<VmName>,
    },
    /// An attempt claimed a non-idempotent request.
    RequestClaimed {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// The attempt that alone may run it.
        attempt: AttemptId,
        /// What it runs.
        fingerprint: Fingerprint,
        /// When the claim may be forgotten.
        until: WallTime,
    },
    /// The claiming attempt surely never started.
    ClaimReleased {
        /// The request.
        request: RequestId,
        /// The attempt that held the claim.
        attempt: AttemptId,
    },
    /// The end of a keyed online request.
    AnswerStored {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// What it ran.
        fingerprint: Fingerprint,
        /// The answer.
        answer: StoredAnswer,
        /// Until when it stays readable.
        readable_until: WallTime,
        /// When the request may be forgotten; not before `readable_until`.
        until: WallTime,
    },
    /// Requests whose time is over are forgotten, up to and with this wall time.
    RequestsExpired {
        /// Everything whose `until` is not later.
        until: WallTime,
    },
    /// A fingerprint crashes targets.
    Quarantined {
        /// What crashes them.
        fingerprint: Fingerprint,
        /// The target's name.
        target: TargetName,
    },
}

/// Bytes that are no record of this version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordError {
    /// What the decoder met.
    pub detail: String,
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a ledger record: {}", self.detail)
    }
}

impl std::error::Error for RecordError {}

impl LedgerRecord {
    /// The record as CBOR.
    pub fn encode(&self) -> Payload {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to memory can't fail");
        Payload(bytes)
    }

    /// Reads a record back; bytes left over are an error too.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let mut rest = bytes;
        let record = ciborium::from_reader(&mut rest)
            .map_err(|error| RecordError { detail: error.to_string() })?;
        match rest.is_empty() {
            true => Ok(record),
            false => Err(RecordError { detail: format!("{} bytes left over", rest.len()) }),
        }
    }
}
