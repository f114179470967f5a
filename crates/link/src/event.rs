//! Events of a link, and the handle to send on it.

use std::sync::Arc;

use notch_messages::frame::{LinkMessage, NodeRole};
use notch_types::prelude::*;

use crate::{encoded::EncodedMessage, error::LinkError, queue::LinkQueue};

/// The authenticated other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LinkPeer {
    /// Its VM.
    pub vm: VmName,
    /// Its role.
    pub role: NodeRole,
}

/// Why a link ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDown {
    /// Closed by either side.
    Closed,
    /// Nothing was received for longer than the silence limit.
    Silent,
    /// A transport error or an invalid message.
    Failed(LinkError),
}

/// Event of a link. Each link reports `Up` first, then its messages, and finally one `Down`.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "nearly all events are messages, and boxing them would cost an allocation each"
)]
pub enum LinkEvent {
    /// The link is established.
    Up {
        /// The other end.
        peer: LinkPeer,
        /// Handle to send on the link.
        link: LinkHandle,
    },
    /// A message was received.
    Message {
        /// The sender.
        peer: LinkPeer,
        /// Id of the link.
        link: u64,
        /// The message.
        message: LinkMessage,
        /// Its length on the wire, bytes.
        bytes: usize,
    },
    /// A heartbeat was received: the other end is alive and idle.
    Heartbeat {
        /// The sender.
        peer: LinkPeer,
    },
    /// The link has ended.
    Down {
        /// The other end.
        peer: LinkPeer,
        /// Id of the link.
        link: u64,
        /// Why it ended.
        reason: LinkDown,
    },
}

/// Callback for events. It runs on the link's task and must not block.
pub type LinkSink = Arc<dyn Fn(LinkEvent) + Send + Sync>;

/// Sends on one link. Cheap to clone.
#[derive(Debug, Clone)]
pub struct LinkHandle {
    pub(crate) id: u64,
    pub(crate) queue: Arc<LinkQueue>,
}

impl LinkHandle {
    /// Id of the link, unique in this process. A new link to the same peer has a new id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Queues a message without waiting.
    ///
    /// # Errors
    /// `Full` when the other side reads too slowly, `Closed` when the link has ended. In both cases it
    /// is unknown whether earlier messages arrived.
    pub fn send(&self, message: LinkMessage) -> Result<(), LinkError> {
        self.send_encoded(EncodedMessage::encode(&message)?)
    }

    /// Queues a message that is already encoded, without waiting.
    ///
    /// # Errors
    /// As for [`send`](Self::send).
    pub fn send_encoded(&self, message: EncodedMessage) -> Result<(), LinkError> {
        self.queue.try_push(message)
    }

    /// Closes the link. A link that was dialled is dialled again.
    pub fn close(&self) {
        self.queue.close();
    }
}
