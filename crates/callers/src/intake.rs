//! The lines of a job: checked one by one as they come, and packed into chunks.
//!
//! Nothing is accepted here. A fault anywhere ends the intake, and since a job exists only once
//! the ledger names its chunks, those already stored are garbage that no one will read.

pub mod fault;
mod line;
pub mod upload;

use std::mem;

use notch_types::{object::MAX_OBJECT_BYTES, prelude::*};
use sha2::{Digest, Sha256};

use self::{
    fault::{IntakeError, LineFault},
    line::check_line,
};

/// What a job's lines may be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntakeSettings {
    /// Longest line, bytes.
    pub line_bytes: usize,
    /// Most items.
    pub item_count: u32,
    /// A chunk is closed before it grows beyond this; a single longer line makes a chunk of its
    /// own. Bytes.
    pub chunk_bytes: usize,
    /// Longest `custom_id`, bytes.
    pub id_bytes: usize,
}

impl Default for IntakeSettings {
    fn default() -> Self {
        Self { line_bytes: 512 << 10, item_count: 1_000_000, chunk_bytes: 384 << 10, id_bytes: 256 }
    }
}

impl IntakeSettings {
    /// The same settings with no chunk over what the object API holds.
    fn within_object(self) -> Self {
        let line_bytes = self.line_bytes.min(MAX_OBJECT_BYTES - 1);
        Self { line_bytes, chunk_bytes: self.chunk_bytes.min(MAX_OBJECT_BYTES), ..self }
    }
}

/// Some lines, as they go into the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IntakeChunk {
    /// Index of its first item.
    pub first: ItemIndex,
    /// How many items it holds; at least one.
    pub count: u32,
    /// The lines, each with one line break; at most the object API's size.
    pub payload: Payload,
}

/// A job's lines in a few figures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeSummary {
    /// How many items; at least one.
    pub item_count: u32,
    /// Digest of all lines in order, the same however they were cut, ended and indented by empty
    /// lines.
    pub content: u128,
}

/// Takes a job's bytes in pieces of any size and gives chunks of whole, checked lines.
///
/// Memory: one line, one chunk, and 16 bytes an item for finding duplicate ids.
#[derive(Debug)]
pub struct LineIntake {
    /// Limits, within the object API's own.
    settings: IntakeSettings,
    /// The start of a line whose end has not come; at most `line_bytes` and one.
    partial: Vec<u8>,
    /// Number of the line being read, from 1, empty ones included.
    line: u64,
    /// The chunk being filled: whole lines only.
    open: Vec<u8>,
    /// Items in `open`.
    open_count: u32,
    /// Items so far.
    item_count: u32,
    /// Digests of the ids so far, one an item. 128 bits: at a million ids a false duplicate is
    /// as likely as 1 in 10^26.
    ids: FastSet<u128>,
    /// Digest of the lines so far.
    content: Sha256,
}

/// Bytes some editors put before the first line of a UTF-8 file.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

impl LineIntake {
    /// An intake that has read nothing.
    pub fn new(settings: IntakeSettings) -> Self {
        Self {
            settings: settings.within_object(),
            partial: Vec::new(),
            line: 1,
            open: Vec::new(),
            open_count: 0,
            item_count: 0,
            ids: FastSet::default(),
            content: Sha256::new(),
        }
    }

    /// Takes the next bytes; chunks that they fill are added to `chunks`.
    ///
    /// # Errors
    /// The first fault, with its line. The intake is of no use after that.
    pub fn push(
        &mut self,
        mut bytes: &[u8],
        chunks: &mut Vec<IntakeChunk>,
    ) -> Result<(), IntakeError> {
        while let Some(end) = bytes.iter().position(|byte| *byte == b'\n') {
            let (head, rest) = bytes.split_at(end);
            bytes = &rest[1..];
            if self.partial.is_empty() {
                self.take_line(head, chunks)?;
            } else {
                self.keep_partial(head)?;
                let line = mem::take(&mut self.partial);
                self.take_line(&line, chunks)?;
            }
            self.line += 1;
        }
        self.keep_partial(bytes)
    }

    /// Takes the end of the input: a last line without a line break counts.
    ///
    /// # Errors
    /// As for [`LineIntake::push`]; an input without any item is a fault, too.
    pub fn finish(mut self, chunks: &mut Vec<IntakeChunk>) -> Result<IntakeSummary, IntakeError> {
        let last = mem::take(&mut self.partial);
        self.take_line(&last, chunks)?;
        if self.item_count == 0 {
            return Err(self.error(LineFault::NoItems));
        }
        self.close_chunk(chunks);
        let digest = self.content.finalize();
        let mut head = [0_u8; 16];
        head.copy_from_slice(&digest[..16]);
        let content = u128::from_le_bytes(head);
        Ok(IntakeSummary { item_count: self.item_count, content })
    }

    /// Items checked so far.
    pub fn item_count(&self) -> u32 {
        self.item_count
    }

    fn error(&self, fault: LineFault) -> IntakeError {
        IntakeError { line: self.line, fault }
    }

    /// Keeps the start of a line, told as too long as soon as it is.
    fn keep_partial(&mut self, bytes: &[u8]) -> Result<(), IntakeError> {
        // One more for a carriage return, which is not part of the line.
        if self.partial.len() + bytes.len() > self.settings.line_bytes + 1 {
            return Err(self.error(LineFault::TooLong { limit: self.settings.line_bytes }));
        }
        self.partial.extend_from_slice(bytes);
        Ok(())
    }

    fn take_line(&mut self, line: &[u8], chunks: &mut Vec<IntakeChunk>) -> Result<(), IntakeError> {
        let line = if self.line == 1 { without_mark(line) } else { line };
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        self.check(line).map_err(|fault| self.error(fault))?;
        if !self.open.is_empty() && self.open.len() + line.len() >= self.settings.chunk_bytes {
            self.close_chunk(chunks);
        }
        self.open.extend_from_slice(line);
        self.open.push(b'\n');
        self.open_count += 1;
        self.item_count += 1;
        self.content.update(line);
        self.content.update(b"\n");
        Ok(())
    }

    fn check(&mut self, line: &[u8]) -> Result<(), LineFault> {
        let settings = &self.settings;
        if line.len() > settings.line_bytes {
            return Err(LineFault::TooLong { limit: settings.line_bytes });
        }
        if self.item_count == settings.item_count {
            return Err(LineFault::TooManyItems { limit: settings.item_count });
        }
        let id = check_line(line, settings.id_bytes)?;
        if !self.ids.insert(stable_hash128(&[id.as_bytes()])) {
            return Err(LineFault::DuplicateId { id: id.into_owned() });
        }
        Ok(())
    }

    fn close_chunk(&mut self, chunks: &mut Vec<IntakeChunk>) {
        if self.open_count == 0 {
            return;
        }
        let first = ItemIndex(self.item_count - self.open_count);
        let payload = Payload(mem::take(&mut self.open));
        chunks.push(IntakeChunk { first, count: self.open_count, payload });
        self.open_count = 0;
    }
}

fn without_mark(line: &[u8]) -> &[u8] {
    line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line)
}
