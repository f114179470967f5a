//! Takes a body from the bytes that were read.

use super::WireReader;
use crate::{
    body::{BodyFraming, BodyProgress, ChunkStage},
    error::WireError,
};

/// Maximum size of a chunk's size line, and of all trailers together.
const MAX_LINE_BYTES: usize = 4 << 10;

impl WireReader {
    /// The buffered part of the body; `None` when more has to be read first.
    pub(super) fn take_body(
        &mut self,
        progress: &mut BodyProgress,
    ) -> Result<Option<Vec<u8>>, WireError> {
        match progress.framing {
            BodyFraming::UntilClose => Ok(self.take(u64::MAX)),
            BodyFraming::Length(_) => {
                let part = self.take(progress.left);
                progress.left -= part.as_ref().map_or(0, |p| p.len() as u64);
                progress.done = progress.left == 0;
                Ok(part)
            }
            BodyFraming::Chunked => self.take_chunks(progress),
        }
    }

    fn take_chunks(&mut self, progress: &mut BodyProgress) -> Result<Option<Vec<u8>>, WireError> {
        let mut data = Vec::new();
        loop {
            let advanced = match progress.stage {
                ChunkStage::Size => self.take_size(progress)?,
                ChunkStage::Data(left) => self.take_data(progress, left, &mut data),
                ChunkStage::DataEnd => self.take_line_end(progress)?,
                ChunkStage::Trailers => self.take_trailers(progress)?,
            };
            if !advanced || progress.done {
                return Ok(if data.is_empty() { None } else { Some(data) });
            }
        }
    }

    fn take_size(&mut self, progress: &mut BodyProgress) -> Result<bool, WireError> {
        let buffered = &self.buffer[self.consumed..];
        match httparse::parse_chunk_size(buffered) {
            Ok(httparse::Status::Complete((length, size))) => {
                self.consumed += length;
                progress.stage =
                    if size == 0 { ChunkStage::Trailers } else { ChunkStage::Data(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if buffered.len() <= MAX_LINE_BYTES => Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => Err(WireError::Malformed),
        }
    }

    fn take_data(&mut self, progress: &mut BodyProgress, left: u64, data: &mut Vec<u8>) -> bool {
        let Some(part) = self.take(left) else { return false };
        data.extend_from_slice(&part);
        let left = left - part.len() as u64;
        progress.stage = if left == 0 { ChunkStage::DataEnd } else { ChunkStage::Data(left) };
        true
    }

    fn take_line_end(&mut self, progress: &mut BodyProgress) -> Result<bool, WireError> {
        let buffered = &self.buffer[self.consumed..];
        if buffered.len() < 2 {
            return Ok(false);
        }
        if !buffered.starts_with(b"\r\n") {
            return Err(WireError::Malformed);
        }
        self.consumed += 2;
        progress.stage = ChunkStage::Size;
        Ok(true)
    }

    fn take_trailers(&mut self, progress: &mut BodyProgress) -> Result<bool, WireError> {
        let buffered = &self.buffer[self.consumed..];
        let length = if buffered.starts_with(b"\r\n") {
            2
        } else {
            match buffered.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(position) => position + 4,
                None if buffered.len() > MAX_LINE_BYTES => return Err(WireError::Malformed),
                None => return Ok(false),
            }
        };
        self.consumed += length;
        progress.done = true;
        Ok(true)
    }
}
