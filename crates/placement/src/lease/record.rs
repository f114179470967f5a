//! What the lease's object holds.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What the lease's object holds, as JSON so that an operator can read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Raised at each change of holder; the fencing token of its orders.
    pub epoch: Epoch,
    /// The holder's VM.
    pub writer: VmName,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Number of the write, unique within the incarnation: tells which of a holder's own writes
    /// took effect when an answer was lost.
    pub nonce: u64,
    /// Whether the holder has given the lease up: it may be taken at once.
    pub released: bool,
}

impl LeaseRecord {
    /// The object's value.
    pub fn encode(&self) -> Payload {
        // Plain numbers and texts always encode.
        Payload(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Reads the object's value; `None` when something else was written there.
    pub fn decode(value: &Payload) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}
