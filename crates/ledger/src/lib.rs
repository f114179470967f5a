//! One shard of the ledger: an ordered, durable list of records kept on the platform's object API.
//!
//! [`LedgerShard`] decides; it does no I/O and reads no clock. Records and snapshot states are
//! opaque bytes here. Order, ownership and commit are one agreement: a conditional update of the
//! shard's head object on its version. docs/design/ledger.md gives the reasons.

pub mod effect;
pub mod event;
pub mod head;
mod index;
pub mod keys;
pub mod place;
pub mod probe;
pub mod segment;
pub mod seq;
pub mod settings;
pub mod shard;
pub mod snapshot;

pub use crate::{
    effect::{RejectCertainty, RejectReason, ShardEffect},
    event::{AppendTicket, AppendUrgency, ShardEvent, ShardStanding, SweepId},
    head::{EpochEnd, LedgerHead, WriterMark},
    keys::{ObjectKey, ParsedKey},
    place::RecordPlace,
    segment::{DecodeError, SegmentRef, read_segment},
    seq::{Seq, SeqRange},
    settings::{SettingsError, ShardSettings},
    shard::LedgerShard,
    snapshot::SnapshotRef,
};
