//! What a target's home has for another gateway's request.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Whose item yields a place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreemptedItem {
    /// One of this gateway.
    Own,
    /// One of another gateway.
    Peer(VmName),
}

/// A queue that a request may wait in, where no place is free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueOffer {
    /// The target's id.
    pub id: String,
    /// Requests that wait there, with those on their way.
    pub waiting: u32,
}

/// A place that a home grants another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// The target's id.
    pub id: String,
    /// Whose item has to yield the place, at once; `None` where it is free.
    pub preempted: Option<PreemptedItem>,
}
