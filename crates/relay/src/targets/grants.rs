//! Slots that a home gateway offers to other gateways.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Owner of an item that is preempted to free a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PreemptedItem {
    /// This gateway.
    Own,
    /// Another gateway.
    Peer(VmName),
}

/// A queue that a request may join when no slot is free.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueOffer {
    /// Id of the target.
    pub id: String,
    /// Requests queued at the target, including those on their way to it.
    pub waiting: u32,
}

/// A slot that a home gateway grants to another gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SlotGrant {
    /// Id of the target.
    pub id: String,
    /// Owner of the item that has to be preempted immediately; `None` if the slot is free.
    pub preempted: Option<PreemptedItem>,
}
