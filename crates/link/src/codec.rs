//! Encoding of messages: CBOR, one message per WebSocket frame.

use serde::{Serialize, de::DeserializeOwned};

use crate::error::LinkError;

/// Encodes a message.
///
/// # Errors
/// `Undecodable` when a value can't be serialized, which doesn't happen for the message types of
/// this system.
pub fn encode<T: Serialize>(message: &T) -> Result<Vec<u8>, LinkError> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes).map_err(|_| LinkError::Undecodable)?;
    Ok(bytes)
}

/// Decodes a message. Trailing bytes are an error, because they indicate mixed-up frames.
///
/// # Errors
/// `Undecodable` for anything that is not exactly one message. Never panics.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, LinkError> {
    let mut rest = bytes;
    let message = ciborium::from_reader(&mut rest).map_err(|_| LinkError::Undecodable)?;
    if rest.is_empty() { Ok(message) } else { Err(LinkError::Undecodable) }
}
