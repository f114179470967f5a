//! What a shard's service is told.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::policy::JobPolicy;

/// Names one append; drawn by the service, unique within its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AppendTicket(pub u64);

/// Names one read of records; drawn by the service, unique within its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReadToken(pub u64);

/// Why a read gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFailure {
    /// The object is not there and won't come back.
    Gone,
    /// The store is down, slow or asks for patience.
    Unavailable,
}

/// How an append failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectKind {
    /// Surely not in the ledger, and never will be.
    NotCommitted,
    /// Likewise, because a chunk object it names is gone or too old to be named.
    ChunkStale,
    /// It may be in the ledger.
    Unknown,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum ServiceEvent {
    /// A gateway asks (perhaps the one this service runs in).
    Asked {
        /// The asking gateway's VM.
        from: VmName,
        /// Matches the answer.
        call: CallId,
        /// What is asked.
        request: ShardRequest,
    },
    /// A record at its place in the ledger. Comes in order, once each; before or after the
    /// `Committed` of the append that holds it.
    Apply {
        /// Its sequence number.
        seq: u64,
        /// Its bytes, as appended.
        record: Payload,
    },
    /// The state starts from a snapshot; `Apply` goes on after it.
    Restore {
        /// Bytes from an earlier `SnapshotReady`; empty for the state of an empty ledger.
        state: Payload,
    },
    /// This node owns the shard, and every record before the epoch has been applied.
    Owned {
        /// The lease's epoch.
        epoch: Epoch,
    },
    /// This node no longer owns the shard.
    Lost {
        /// The epoch lost.
        epoch: Epoch,
    },
    /// An append is in the ledger, its records from `first_seq` on without a gap.
    Committed {
        /// Which append.
        ticket: AppendTicket,
        /// Sequence number of its first record.
        first_seq: u64,
    },
    /// An append failed.
    Rejected {
        /// Which append.
        ticket: AppendTicket,
        /// Whether it may be in the ledger all the same.
        kind: RejectKind,
    },
    /// The ledger wants a snapshot.
    SnapshotWanted,
    /// Answer to `ReadObject`.
    ObjectRead {
        /// The object's key.
        key: String,
        /// Its value.
        result: Result<Payload, ReadFailure>,
    },
    /// Answer to `ReadRecords`: the records asked for, in any order.
    RecordsRead {
        /// Of the read.
        read: ReadToken,
        /// Each record's sequence number and bytes.
        result: Result<Vec<(u64, Payload)>, ReadFailure>,
    },
    /// The catalogue's dispatch limits and weights in force.
    Policy(JobPolicy),
    /// Share of a target that online work keeps; a floor never reaches into it.
    OnlineReserve {
        /// The target.
        target: TargetName,
        /// `0.0..=1.0`.
        share: f64,
    },
    /// Time went on; due at `next_wake` at the latest.
    Tick,
}
