//! A target's answer that is not a stream: buffered while memory suffices, relayed as it comes beyond that.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use notch_h1::prelude::*;
use notch_relay::prelude::MemoryUse;

use crate::{
    constants::{ANSWER_BODY_BYTES, CLIENT_STALL},
    memory::{HeldBytes, HeldMemory},
    target::restart_watch::RestartWatch,
};

/// Copies of an answer that exist at a time: as read, and behind its head.
const ANSWER_COPIES: usize = 2;

/// Which end of a relayed answer failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PassFailure {
    /// The client can't be reached, or doesn't read.
    Client,
    /// The target broke the answer off.
    Target,
}

/// The body of a target's answer.
#[derive(Debug)]
pub(crate) struct TargetAnswer {
    framing: BodyFraming,
    progress: BodyProgress,
    bytes: Vec<u8>,
    held: HeldBytes,
}

impl TargetAnswer {
    pub(crate) fn new(framing: BodyFraming, memory: &Arc<HeldMemory>) -> Self {
        let held = memory.hold(MemoryUse::TargetAnswer);
        Self { framing, progress: BodyProgress::new(framing), bytes: Vec::new(), held }
    }

    /// What was read so far.
    pub(crate) fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Reads the answer; false if it doesn't fit into the memory budget, with what was read until then.
    ///
    /// # Errors
    /// The answer broke off, or exceeds [`ANSWER_BODY_BYTES`].
    pub(crate) async fn read(&mut self, reader: &mut WireReader) -> Result<bool, WireError> {
        while let Some(part) = reader.body_part(&mut self.progress).await? {
            if self.bytes.len() + part.len() > ANSWER_BODY_BYTES {
                return Err(WireError::TooLarge);
            }
            let is_held = self.held.grow(part.len() * ANSWER_COPIES);
            self.bytes.extend_from_slice(&part);
            if !is_held {
                return Ok(false);
            }
        }
        Ok(true)
    }

    /// Writes the answer with the head of `writer` to a client, reading the rest of it at the pace of the client. Waits
    /// for the target no longer than `left` in all; the time that the client takes doesn't count.
    pub(crate) async fn pass_on(
        &mut self,
        reader: &mut WireReader,
        client: &TcpStream,
        writer: MessageWriter,
        (watch, mut left): (RestartWatch<'_>, Duration),
    ) -> Result<(), PassFailure> {
        let head = match self.framing {
            BodyFraming::Length(length) => writer.with_length(length),
            BodyFraming::Chunked | BodyFraming::UntilClose => writer.with_chunks(),
        };
        self.write(client, &head).await?;
        let mut part = Some(std::mem::take(&mut self.bytes));
        let mut passed = 0;
        while let Some(bytes) = part {
            passed += bytes.len();
            if passed > ANSWER_BODY_BYTES || left.is_zero() {
                return Err(PassFailure::Target);
            }
            let framed = self.framed(bytes);
            self.write(client, &framed).await?;
            let began = Instant::now();
            let reading = timeout(left, reader.body_part(&mut self.progress));
            let read = watch.read(reading).await.map_err(|_| PassFailure::Target)?;
            let read = read.map_err(|_| PassFailure::Target)?;
            part = read.map_err(|_| PassFailure::Target)?;
            left = left.saturating_sub(began.elapsed());
        }
        if matches!(self.framing, BodyFraming::Length(_)) {
            return Ok(());
        }
        self.write(client, LAST_CHUNK).await
    }

    /// A part of the body as it is written: a chunk, unless the length was announced.
    fn framed(&self, bytes: Vec<u8>) -> Vec<u8> {
        if matches!(self.framing, BodyFraming::Length(_)) {
            return bytes;
        }
        let mut chunk = Vec::with_capacity(bytes.len());
        write_chunk(&mut chunk, &bytes);
        chunk
    }

    async fn write(&self, client: &TcpStream, bytes: &[u8]) -> Result<(), PassFailure> {
        let written = write_within(client, bytes, CLIENT_STALL).await;
        written.map_err(|_| PassFailure::Client)
    }
}
