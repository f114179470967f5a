//! Reads request bodies within the process's memory budget.

use std::sync::Arc;

use async_std::future::timeout;
use notch_h1::prelude::*;
use notch_relay::prelude::MemoryUse;

use crate::{
    constants::BODY_TIMEOUT,
    memory::{HeldBytes, HeldMemory},
};

/// Copies of a body that exist at a time: as read, and as sent to a target or decoded as a job.
const BODY_COPIES: usize = 2;

/// The body of a request, with the memory held for it.
#[derive(Debug)]
pub struct RequestBody {
    /// The body's bytes.
    pub bytes: Vec<u8>,
    /// Memory held until the request ends.
    pub held: HeldBytes,
}

/// Why a body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The connection failed, or the body is malformed or too large.
    Wire(WireError),
    /// The memory budget is used up. Nothing of the request ran.
    NoMemory,
}

impl From<WireError> for BodyError {
    fn from(error: WireError) -> Self {
        Self::Wire(error)
    }
}

/// Reads the body of the request with `head`, up to `max_bytes`.
///
/// # Errors
/// See [`BodyError`]; `Wire(Closed)` also when the body takes too long.
pub async fn read_body(
    reader: &mut WireReader,
    head: &RequestHead,
    max_bytes: usize,
    memory: &Arc<HeldMemory>,
) -> Result<RequestBody, BodyError> {
    let framing = head.framing()?;
    let mut held = memory.hold(MemoryUse::RequestBody);
    let announced = match framing {
        BodyFraming::Length(length) if length > max_bytes as u64 => {
            return Err(WireError::TooLarge.into());
        }
        BodyFraming::Length(length) => length as usize,
        BodyFraming::Chunked | BodyFraming::UntilClose => 0,
    };
    // A body of known length is refused before any of it is read.
    hold(&mut held, announced)?;
    if framing == BodyFraming::Length(0) {
        return Ok(RequestBody { bytes: Vec::new(), held });
    }
    if head.headers.lists("expect", "100-continue") {
        reader.send(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let reading = read_parts(reader, framing, max_bytes, &mut held);
    let bytes = timeout(BODY_TIMEOUT, reading).await.unwrap_or(Err(WireError::Closed.into()))?;
    Ok(RequestBody { bytes, held })
}

async fn read_parts(
    reader: &mut WireReader,
    framing: BodyFraming,
    max_bytes: usize,
    held: &mut HeldBytes,
) -> Result<Vec<u8>, BodyError> {
    let has_known_length = matches!(framing, BodyFraming::Length(_));
    let mut progress = BodyProgress::new(framing);
    let mut bytes = Vec::new();
    while let Some(part) = reader.body_part(&mut progress).await? {
        if bytes.len() + part.len() > max_bytes {
            return Err(WireError::TooLarge.into());
        }
        if !has_known_length {
            hold(held, part.len())?;
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}

fn hold(held: &mut HeldBytes, bytes: usize) -> Result<(), BodyError> {
    if held.grow(bytes * BODY_COPIES) { Ok(()) } else { Err(BodyError::NoMemory) }
}
