//! What a shard's service wants done.

use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    service::event::{AppendTicket, ReadToken},
    state::SeqRange,
};

/// Work a shard holds for one target, for gossip.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetBacklog {
    /// The target.
    #[serde(rename = "t", alias = "target")]
    pub target: TargetName,
    /// Items without a result.
    #[serde(rename = "o", alias = "open")]
    pub open: u64,
    /// Least laxity of its jobs, milliseconds; negative when a job will be late.
    #[serde(rename = "l", alias = "least_laxity_ms")]
    pub least_laxity_ms: i64,
    /// Share of the target that late jobs want as floor, `0.0..=1.0`, already bounded by the
    /// target's policy and by the online reserve.
    #[serde(rename = "f", alias = "floor")]
    pub floor: f64,
}

/// What to do.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceEffect {
    /// Answer a call.
    Answer {
        /// The asking gateway's VM.
        to: VmName,
        /// Its call.
        call: CallId,
        /// The answer.
        answer: ShardAnswer,
    },
    /// Append records to the ledger, all or none, in this order.
    Append {
        /// Names the append in `Committed` and `Rejected`.
        ticket: AppendTicket,
        /// Encoded records.
        records: Vec<Payload>,
        /// Whether a caller waits for the commit.
        prompt: bool,
        /// Chunk objects that the records name for the first time: the ledger checks that they
        /// are there and young enough.
        chunks: Vec<String>,
    },
    /// Read an object of the store; answered by `ObjectRead`.
    ReadObject {
        /// Its key.
        key: String,
    },
    /// Read records of the ledger; answered by `RecordsRead`.
    ReadRecords {
        /// Names the read.
        read: ReadToken,
        /// Sequence numbers, rising.
        seqs: Vec<u64>,
    },
    /// Tell sidecars that a job is cancelled. Repeated until each of its lots is accounted for
    /// or its lease is over.
    CancelRunning {
        /// The job.
        job: JobId,
        /// The owner's epoch.
        epoch: Epoch,
        /// VMs whose sidecars hold lots of it; empty when lots of a former owner may be running:
        /// then every sidecar in reach is told.
        vms: Vec<VmName>,
    },
    /// The work held, by target; empty when there is none.
    Backlog(Vec<TargetBacklog>),
    /// The snapshot that was wanted.
    SnapshotReady {
        /// The state's bytes; may exceed one object.
        state: Payload,
        /// Every record before this sequence number is in it.
        upto: u64,
        /// Sequence numbers whose records must stay readable.
        needed: Vec<SeqRange>,
        /// Chunk objects that must stay.
        live_chunks: Vec<String>,
    },
    /// Count this.
    Count(Counter),
    /// For `explain`.
    Note(DecisionNote),
}
