//! A message that is encoded once for all links that it is sent on.

use notch_messages::{coalesce::CoalesceKey, frame::LinkMessage};
use tokio_tungstenite::tungstenite::Bytes;

use crate::{codec, error::LinkError};

/// An encoded message. Cheap to clone: the bytes are shared.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EncodedMessage {
    bytes: Bytes,
    coalesce_key: Option<CoalesceKey>,
}

impl EncodedMessage {
    /// Encodes a message.
    ///
    /// # Errors
    /// `Undecodable` when a value can't be serialized, which doesn't happen for the message types of
    /// this system.
    pub fn encode(message: &LinkMessage) -> Result<Self, LinkError> {
        let bytes = codec::encode(message)?.into();
        Ok(Self { bytes, coalesce_key: message.coalesce_key() })
    }

    /// Length on the wire without the frame header, bytes.
    #[allow(clippy::len_without_is_empty, reason = "a message is never empty")]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Key under which a newer message replaces this one, if there is one.
    pub(crate) fn coalesce_key(&self) -> Option<CoalesceKey> {
        self.coalesce_key
    }

    pub(crate) fn into_bytes(self) -> Bytes {
        self.bytes
    }
}
