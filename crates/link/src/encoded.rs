//! A message as it travels, encoded once for all links that it goes out on.

use notch_messages::{frame::LinkMessage, slot::MessageSlot};
use tokio_tungstenite::tungstenite::Bytes;

use crate::{codec, error::LinkError};

/// An encoded message. Cheap to clone: the bytes are shared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedMessage {
    bytes: Bytes,
    slot: Option<MessageSlot>,
}

impl EncodedMessage {
    /// Encodes a message.
    ///
    /// # Errors
    /// `Undecodable` when a value can't be written, which no message type of ours causes.
    pub fn encode(message: &LinkMessage) -> Result<Self, LinkError> {
        let bytes = codec::encode(message)?.into();
        Ok(Self { bytes, slot: message.slot() })
    }

    /// Bytes on the wire, without the frame's head.
    #[allow(clippy::len_without_is_empty, reason = "a message is never empty")]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The state that it tells, where a newer message of the same state makes it obsolete.
    pub(crate) fn slot(&self) -> Option<MessageSlot> {
        self.slot
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes
    }
}
