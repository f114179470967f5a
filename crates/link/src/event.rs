//! What a link tells its process, and the handle to send on it.

use std::sync::Arc;

use notch_messages::frame::{LinkMessage, NodeRole};
use notch_types::prelude::*;

use crate::{encoded::EncodedMessage, error::LinkError, queue::LinkQueue};

/// The proved other end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkPeer {
    /// Its VM.
    pub vm: VmName,
    /// What it is.
    pub role: NodeRole,
}

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDown {
    /// Closed by either side.
    Closed,
    /// Nothing came for the silence limit.
    Silent,
    /// A fault of the transport or of a message.
    Failed(LinkError),
}

/// News of links, in order for each link: `Up`, then messages, then `Down` once.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all are messages; a box would cost each an allocation"
)]
pub enum LinkEvent {
    /// A link stands.
    Up {
        /// Whom it leads to.
        peer: LinkPeer,
        /// To send on it.
        link: LinkHandle,
    },
    /// A message came.
    Message {
        /// From whom.
        peer: LinkPeer,
        /// On which link.
        link: u64,
        /// The message.
        message: LinkMessage,
        /// Its length on the wire, bytes.
        bytes: usize,
    },
    /// A heartbeat came: the other end lives and has nothing to say.
    Heartbeat {
        /// From whom.
        peer: LinkPeer,
    },
    /// The link is gone.
    Down {
        /// Whom it led to.
        peer: LinkPeer,
        /// Which link.
        link: u64,
        /// Why.
        reason: LinkDown,
    },
}

/// Called with each event, on the link's own task: it must not block.
pub type LinkSink = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// Sends on one link. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LinkHandle {
    pub(crate) id: u64,
    pub(crate) queue: Arc<LinkQueue>,
}

impl LinkHandle {
    /// A number unique in this process: a new link to the same peer has another.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    /// `Full` when the other side reads too slowly, `Closed` when the link is gone. Neither tells
    /// whether earlier messages arrived.
    pub fn send(&self, message: LinkMessage) -> Result<(), LinkError> {
        self.send_encoded(EncodedMessage::encode(&message)?)
    }

    /// Queues a message that was encoded before, without waiting.
    ///
    /// # Errors
    /// As for [`send`](Self::send).
    pub fn send_encoded(&self, message: EncodedMessage) -> Result<(), LinkError> {
        self.queue.try_push(message)
    }

    /// Closes the link; a dialled one is dialled again.
    pub fn close(&self) {
        self.queue.close();
    }
}
