//! Coalescing of messages of which only the newest is of use.

use crate::{frame::LinkMessage, peer::PeerMessage};

/// Identifies state that a message contains completely: a newer message with the same key replaces
/// an older one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CoalesceKey {
    /// Use of targets and known versions.
    Report,
    /// Waiting work.
    Demand,
}

impl LinkMessage {
    /// The key under which the message is coalesced; `None` if it must be delivered.
    pub fn coalesce_key(&self) -> Option<CoalesceKey> {
        match self {
            Self::Peer(PeerMessage::Report { .. }) => Some(CoalesceKey::Report),
            Self::Peer(PeerMessage::Demand { .. }) => Some(CoalesceKey::Demand),
            _ => None,
        }
    }
}
