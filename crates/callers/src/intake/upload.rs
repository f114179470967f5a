//! A job's body read as a stream: one chunk at a time, so that a slow store slows the caller down
//! and nothing piles up here.

use std::collections::VecDeque;

use async_std::io::ReadExt;
use http_types::Body;
use notch_http::body::BodyError;
use notch_types::prelude::*;

use super::{IntakeChunk, IntakeSettings, IntakeSummary, LineIntake};
use crate::call::body::body_refusal;

/// Bytes read at one time.
const READ_BYTES: usize = 64 << 10;

/// A job's body being read.
#[derive(Debug)]
pub struct JobUpload {
    /// The caller's bytes.
    body: Body,
    /// Checks lines; gone once the body has ended.
    intake: Option<LineIntake>,
    /// Chunks filled and not taken; at most those of one read.
    ready: VecDeque<IntakeChunk>,
    /// The whole input, once it has ended.
    summary: Option<IntakeSummary>,
    /// Reused for each read.
    buffer: Vec<u8>,
}

impl JobUpload {
    /// An upload of which nothing was read.
    pub fn new(body: Body, settings: IntakeSettings) -> Self {
        Self {
            body,
            intake: Some(LineIntake::new(settings)),
            ready: VecDeque::new(),
            summary: None,
            buffer: vec![0; READ_BYTES],
        }
    }

    /// The next chunk; `None` after the last one.
    ///
    /// # Errors
    /// A refusal `not run`: a faulty line, named, or a body that was cut, slow or over its limit.
    pub async fn next_chunk(&mut self) -> Result<Option<IntakeChunk>, Refusal> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                return Ok(Some(chunk));
            }
            let Some(intake) = self.intake.as_mut() else { return Ok(None) };
            let read = self.body.read(&mut self.buffer).await;
            let count = read.map_err(|error| body_refusal(BodyError::from(&error)))?;
            let mut chunks = Vec::new();
            intake
                .push(&self.buffer[..count], &mut chunks)
                .map_err(|error| Refusal::from(&error))?;
            if count == 0 {
                self.finish(&mut chunks)?;
            }
            self.ready.extend(chunks);
        }
    }

    fn finish(&mut self, chunks: &mut Vec<IntakeChunk>) -> Result<(), Refusal> {
        if let Some(intake) = self.intake.take() {
            let summary = intake.finish(chunks).map_err(|error| Refusal::from(&error))?;
            self.summary = Some(summary);
        }
        Ok(())
    }

    /// The whole input in a few figures, after the last chunk; `None` before that.
    pub fn summary(&self) -> Option<IntakeSummary> {
        self.summary
    }
}
