//! Splits what a target sends into events, within the process's memory budget.

use std::sync::Arc;

use notch_relay::prelude::*;

use crate::memory::{HeldBytes, HeldMemory};

/// Size up to which an incomplete event isn't counted: every stream holds that much now and then.
const UNCOUNTED_BYTES: usize = 16 << 10;

/// The events of one answer.
#[derive(Debug)]
pub(crate) struct EventBuffer {
    splitter: EventSplitter,
    /// Memory held for an incomplete event. Bytes that complete none may come without end, on many connections at a time.
    held: HeldBytes,
    counted: usize,
}

impl EventBuffer {
    /// Creates a buffer for an answer that resumes after event `last`.
    pub(crate) fn after(last: Option<u64>, memory: &Arc<HeldMemory>) -> Self {
        let held = memory.hold(MemoryUse::TargetAnswer);
        Self { splitter: EventSplitter::after(last), held, counted: UNCOUNTED_BYTES }
    }

    /// Appends received bytes.
    ///
    /// # Errors
    /// `SpoiledAnswer` if the memory budget doesn't suffice for the incomplete event.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), AttemptFailure> {
        self.splitter.push(bytes);
        let more = self.splitter.buffered_len().saturating_sub(self.counted);
        if more > 0 && !self.held.grow(more) {
            return Err(AttemptFailure::SpoiledAnswer);
        }
        self.counted += more;
        Ok(())
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// If the bytes are not the next event of this stream. Nothing after them may be used.
    pub(crate) fn next_event(&mut self) -> Result<Option<StreamEvent>, EventFault> {
        self.splitter.next_event()
    }

    /// Whether the buffer contains a partial event.
    pub(crate) fn has_partial_event(&self) -> bool {
        self.splitter.has_partial_event()
    }
}
