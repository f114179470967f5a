//! Immutable segments of the log.

use std::fmt;

use notch_types::prelude::Payload;
use serde::{Deserialize, Serialize};

use crate::seq::{Seq, SeqRange};

/// Bytes that an encoded record takes besides its own, at most.
pub(crate) const RECORD_OVERHEAD_BYTES: usize = 9;

/// A sealed segment as the head and the retained index name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Place of its first record.
    #[serde(rename = "f")]
    pub first: Seq,
    /// Number of records, at least 1.
    #[serde(rename = "c")]
    pub count: u32,
    /// Its writer's nonce, part of its key.
    #[serde(rename = "n")]
    pub nonce: u64,
}

impl SegmentRef {
    /// The places it holds.
    pub fn range(self) -> SeqRange {
        SeqRange { from: self.first, until: self.first.plus(u64::from(self.count)) }
    }
}

/// Bytes that aren't what they should be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DecodeError;

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid ledger object")
    }
}

impl std::error::Error for DecodeError {}

/// The value of a segment object.
#[derive(Serialize, Deserialize)]
struct SegmentBody {
    first: Seq,
    records: Vec<Payload>,
}

#[derive(Serialize)]
struct SegmentView<'a> {
    first: Seq,
    records: &'a [Payload],
}

/// The value of a segment that starts at `first`.
pub(crate) fn encode_segment(first: Seq, records: &[Payload]) -> Payload {
    let mut bytes = Vec::new();
    ciborium::into_writer(&SegmentView { first, records }, &mut bytes)
        .expect("writing to a vector can't fail");
    Payload(bytes)
}

/// Every record of a segment, and the place of the first.
pub(crate) fn decode_segment(bytes: &[u8]) -> Result<(Seq, Vec<Payload>), DecodeError> {
    let body: SegmentBody = ciborium::from_reader(bytes).map_err(|_| DecodeError)?;
    Ok((body.first, body.records))
}

/// One record of a segment's value, by the index that `locate` gave.
///
/// # Errors
/// When the bytes aren't a segment, or hold no such record.
pub fn read_segment(bytes: &[u8], index: usize) -> Result<Payload, DecodeError> {
    let (_, mut records) = decode_segment(bytes)?;
    if index < records.len() { Ok(records.swap_remove(index)) } else { Err(DecodeError) }
}
