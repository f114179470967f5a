//! Puts one attempt's answer together from parts in any order.

use std::{collections::BTreeMap, ops::Range};

use notch_types::prelude::*;

/// Most parts kept ahead of a gap, so that many tiny ones can't outgrow the byte limit's intent.
const MAX_PARTS: usize = 1_024;

/// Why a part was not taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AssemblyError {
    /// The part lies too far ahead of the gap: ask again from [`StreamAssembly::resume_from`].
    BufferFull,
    /// Parts and end mark contradict each other: bytes lie past the total, or two end marks
    /// differ. The attempt can never be whole.
    Contradiction,
}

impl std::fmt::Display for AssemblyError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::BufferFull => f.write_str("part too far ahead of a gap"),
            Self::Contradiction => f.write_str("parts and end mark contradict each other"),
        }
    }
}

impl std::error::Error for AssemblyError {}

/// The end mark of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EndMark {
    total: u64,
    outcome: AttemptOutcome,
}

/// The answer of one attempt as it comes in.
#[derive(Debug)]
pub struct StreamAssembly {
    /// Bytes given out, all of them in order and once.
    delivered: u64,
    /// Parts ahead of a gap by offset. Invariant: every offset is over `delivered`, no two parts
    /// overlap, and their bytes together are `buffered`.
    ahead: BTreeMap<u64, Vec<u8>>,
    /// Invariant: never over `limit`.
    buffered: usize,
    /// Most bytes kept ahead of a gap.
    limit: usize,
    end: Option<EndMark>,
    /// Whether parts and end mark contradicted each other: it can never be whole.
    is_broken: bool,
}

impl StreamAssembly {
    /// An empty answer that keeps at most `limit` bytes ahead of a gap.
    pub fn new(limit: usize) -> Self {
        Self {
            delivered: 0,
            ahead: BTreeMap::new(),
            buffered: 0,
            limit,
            end: None,
            is_broken: false,
        }
    }

    /// Takes a part and returns the bytes that became contiguous, perhaps none. Bytes that were
    /// given out before, or are kept already, are dropped.
    ///
    /// # Errors
    /// See [`AssemblyError`]; nothing of the part is kept then.
    pub fn chunk(&mut self, offset: u64, bytes: &[u8]) -> Result<Vec<u8>, AssemblyError> {
        let end = offset.checked_add(bytes.len() as u64).ok_or(AssemblyError::Contradiction)?;
        let total = self.end.as_ref().map_or(u64::MAX, |mark| mark.total);
        if self.is_broken || end > total {
            self.is_broken = true;
            return Err(AssemblyError::Contradiction);
        }
        if offset > self.delivered {
            self.keep(offset, bytes)?;
            return Ok(Vec::new());
        }
        let known = (self.delivered - offset) as usize;
        let Some(fresh) = bytes.get(known..) else { return Ok(Vec::new()) };
        let mut ready = fresh.to_vec();
        self.delivered += fresh.len() as u64;
        self.drain_ahead(&mut ready);
        Ok(ready)
    }

    /// Takes the end mark; the same one again does no harm.
    ///
    /// # Errors
    /// [`AssemblyError::Contradiction`] when bytes lie past `total` or an earlier mark differs.
    pub fn ended(&mut self, total: u64, outcome: AttemptOutcome) -> Result<(), AssemblyError> {
        let mark = EndMark { total, outcome };
        let is_other = self.end.as_ref().is_some_and(|before| *before != mark);
        if self.is_broken || is_other || self.furthest() > total {
            self.is_broken = true;
            return Err(AssemblyError::Contradiction);
        }
        self.end = Some(mark);
        Ok(())
    }

    /// The outcome, once the end mark is here and every byte up to its total was given out.
    /// `None` for ever when parts and end mark contradict each other.
    pub fn settled(&self) -> Option<&AttemptOutcome> {
        let mark = self.end.as_ref().filter(|mark| mark.total == self.delivered)?;
        (!self.is_broken).then_some(&mark.outcome)
    }

    /// Whether the whole answer was given out and ended as complete.
    pub fn is_complete(&self) -> bool {
        matches!(self.settled(), Some(AttemptOutcome::Complete { .. }))
    }

    /// Bytes given out; the offset to resume from after a gap or a lost link.
    pub fn resume_from(&self) -> u64 {
        self.delivered
    }

    /// Whether something is missing that only a resume can bring: a gap before buffered parts,
    /// or an end mark whose total isn't reached.
    pub fn has_gap(&self) -> bool {
        !self.ahead.is_empty() || self.end.as_ref().is_some_and(|end| end.total > self.delivered)
    }

    /// Keeps the bytes of a part ahead of a gap that aren't kept yet.
    fn keep(&mut self, offset: u64, bytes: &[u8]) -> Result<(), AssemblyError> {
        let missing = self.missing_ranges(offset, offset + bytes.len() as u64);
        let size: usize = missing.iter().map(|range| (range.end - range.start) as usize).sum();
        let is_over = self.buffered + size > self.limit;
        if is_over || self.ahead.len() + missing.len() > MAX_PARTS {
            return Err(AssemblyError::BufferFull);
        }
        for range in missing {
            let from = (range.start - offset) as usize;
            let upto = (range.end - offset) as usize;
            self.ahead.insert(range.start, bytes[from..upto].to_vec());
        }
        self.buffered += size;
        Ok(())
    }

    /// The ranges of `start..end` that no kept part covers, in order.
    fn missing_ranges(&self, start: u64, end: u64) -> Vec<Range<u64>> {
        let before = self.ahead.range(..start).next_back();
        let mut from = before.map_or(start, |(offset, part)| start.max(part_end(*offset, part)));
        let mut missing = Vec::new();
        for (offset, part) in self.ahead.range(start..end) {
            if from < *offset {
                missing.push(from..*offset);
            }
            from = from.max(part_end(*offset, part));
        }
        if from < end {
            missing.push(from..end);
        }
        missing
    }

    /// Moves kept parts that are contiguous now to `ready`.
    fn drain_ahead(&mut self, ready: &mut Vec<u8>) {
        while let Some(entry) = self.ahead.first_entry() {
            if *entry.key() > self.delivered {
                return;
            }
            let (offset, part) = entry.remove_entry();
            self.buffered -= part.len();
            let known = (self.delivered - offset) as usize;
            let fresh = part.get(known..).unwrap_or_default();
            ready.extend_from_slice(fresh);
            self.delivered += fresh.len() as u64;
        }
    }

    /// End of the last byte seen.
    fn furthest(&self) -> u64 {
        let last = self.ahead.last_key_value();
        last.map_or(self.delivered, |(offset, part)| part_end(*offset, part))
    }
}

fn part_end(offset: u64, part: &[u8]) -> u64 {
    offset + part.len() as u64
}
