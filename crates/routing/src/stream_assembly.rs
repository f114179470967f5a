//! Puts one attempt's answer together from parts in any order.

use std::collections::BTreeMap;

use notch_types::prelude::*;

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
    broken: bool,
}

impl StreamAssembly {
    /// An empty answer that keeps at most `limit` bytes ahead of a gap.
    pub fn new(limit: usize) -> Self {
        Self { delivered: 0, ahead: BTreeMap::new(), buffered: 0, limit, end: None, broken: false }
    }

    /// Takes a part and returns the bytes that became contiguous, perhaps none.
    ///
    /// # Errors
    /// See [`AssemblyError`]; nothing of the part is kept then.
    pub fn chunk(&mut self, offset: u64, bytes: &[u8]) -> Result<Vec<u8>, AssemblyError> {
        let _ = (offset, bytes);
        Ok(Vec::new())
    }

    /// Takes the end mark.
    ///
    /// # Errors
    /// [`AssemblyError::Contradiction`] when bytes lie past `total` or an earlier mark differs.
    pub fn ended(&mut self, total: u64, outcome: AttemptOutcome) -> Result<(), AssemblyError> {
        self.end = Some(EndMark { total, outcome });
        Ok(())
    }

    /// The outcome, once the end mark is here and every byte up to its total was given out.
    pub fn settled(&self) -> Option<&AttemptOutcome> {
        self.end.as_ref().filter(|end| end.total == self.delivered).map(|end| &end.outcome)
    }

    /// Whether the whole answer was given out and ended as complete.
    pub fn is_complete(&self) -> bool {
        !self.broken && matches!(self.settled(), Some(AttemptOutcome::Complete { .. }))
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
}
