//! Snapshots: the user's state and the index of segments that stay readable.

use notch_types::prelude::Payload;
use serde::{Deserialize, Serialize};

use crate::{
    segment::{DecodeError, SegmentRef},
    seq::Seq,
};

/// A snapshot as the head names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRef {
    /// The state covers every record before this place.
    pub upto: Seq,
    /// Its writer's nonce, part of its keys.
    pub nonce: u64,
    /// Number of parts, at least 1.
    pub parts: u32,
}

/// A whole snapshot. The index travels here and not in the head, because it grows with the
/// retention and the head is written at each commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SnapshotBody {
    /// Segments wholly before the snapshot whose records must stay readable, in order.
    pub(crate) retained: Vec<SegmentRef>,
    /// The user's state.
    #[serde(with = "serde_bytes")]
    pub(crate) state: Vec<u8>,
}

impl SnapshotBody {
    /// The values of the parts, each of at most `part_bytes`.
    pub(crate) fn encode(&self, part_bytes: usize) -> Vec<Payload> {
        let mut bytes = Vec::with_capacity(self.state.len() + self.retained.len() * 32 + 64);
        ciborium::into_writer(self, &mut bytes).expect("writing to a vector can't fail");
        bytes.chunks(part_bytes).map(|part| Payload(part.to_vec())).collect()
    }

    /// The snapshot that the parts make together.
    pub(crate) fn decode(parts: &[Payload]) -> Result<Self, DecodeError> {
        let bytes = parts.iter().flat_map(|part| part.iter().copied()).collect::<Vec<u8>>();
        ciborium::from_reader(bytes.as_slice()).map_err(|_| DecodeError)
    }
}
