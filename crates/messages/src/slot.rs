//! Messages of which only the newest counts.

use crate::{frame::LinkMessage, peer::PeerMessage};

/// State that a message tells whole: a newer message of the same slot makes an older one obsolete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageSlot {
    /// Use of targets and versions known.
    Report,
    /// Work that waits.
    Demand,
}

impl LinkMessage {
    /// The slot, for messages that tell a state whole.
    pub fn slot(&self) -> Option<MessageSlot> {
        match self {
            Self::Peer(PeerMessage::Report { .. }) => Some(MessageSlot::Report),
            Self::Peer(PeerMessage::Demand { .. }) => Some(MessageSlot::Demand),
            _ => None,
        }
    }
}
