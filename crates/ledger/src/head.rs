//! The head object: the shard's one point of agreement.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    segment::{DecodeError, SegmentRef},
    seq::Seq,
    snapshot::SnapshotRef,
};

/// Ended epochs remembered in the head. A writer whose answer was lost finds its fate here unless
/// the shard changed hands more often than this meanwhile; then it is truthfully unknown.
pub const REMEMBERED_EPOCHS: usize = 16;

/// Who wrote a version of the head, and which of its writes it was.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterMark {
    /// The VM.
    pub vm: VmName,
    /// The process on it.
    pub incarnation: Incarnation,
    /// Drawn for each write.
    pub nonce: u64,
}

/// How an epoch ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EpochEnd {
    /// The epoch.
    pub epoch: Epoch,
    /// Its last write. An epoch has one writer with one write in flight, so that write of it
    /// whose answer was lost took effect exactly when it is this one.
    pub last: WriterMark,
}

/// The value of the head object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHead {
    /// Raised by one at each change of owner.
    pub epoch: Epoch,
    /// The owner; `None` after it gave the shard up.
    pub owner: Option<VmName>,
    /// Who wrote this version.
    pub writer: WriterMark,
    /// The ends of the last epochs, oldest first; at most [`REMEMBERED_EPOCHS`].
    pub ended: Vec<EpochEnd>,
    /// The place of the next record. Invariant: snapshot, segments and tail cover every place
    /// before it: `segments` join on without gap and `tail` ends right before `next`.
    pub next: Seq,
    /// The newest snapshot.
    pub snapshot: Option<SnapshotRef>,
    /// Sealed segments since that snapshot, in order. The first may begin before it.
    pub segments: Vec<SegmentRef>,
    /// The newest records, not sealed yet.
    pub tail: Vec<Payload>,
}

impl LedgerHead {
    /// The place of the first record of the tail.
    pub fn tail_first(&self) -> Seq {
        Seq(self.next.0 - self.tail.len() as u64)
    }

    /// The value of the head object.
    pub fn encode(&self) -> Payload {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector can't fail");
        Payload(bytes)
    }

    /// The head in an object's value.
    ///
    /// # Errors
    /// When the bytes aren't a head, or break its invariant.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let head: Self = ciborium::from_reader(bytes).map_err(|_| DecodeError)?;
        if head.tail.len() as u64 > head.next.0 {
            return Err(DecodeError);
        }
        Ok(head)
    }
}
