//! Splitting of a byte stream into complete events.

use crate::stream::event::{EventFault, StreamEvent, field, lines};

/// Maximum size of an event in bytes: far above any event seen and far below a VM's memory.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Splits a byte stream into complete events and checks that their ids increase by one.
///
/// A target may fail in the middle of an event. If a partial event were forwarded, the stream could
/// not be resumed at another target without joining pieces of two runs. Only complete events are
/// returned, so a partial event at the end was never forwarded.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Length of the part of `buffer` already searched for the end of an event.
    searched: usize,
    /// Id of the last complete event.
    last: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that resumes after event `last`; the next event must follow
    /// it.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// If the bytes are not the next event of this stream. Nothing after them may be used.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventFault> {
        let Some(end) = self.find_end() else {
            let oversized = self.buffer.len() > EVENT_MAX_BYTES;
            return if oversized { Err(EventFault::TooLarge) } else { Ok(None) };
        };
        let bytes: Vec<u8> = self.buffer.drain(..end).collect();
        self.searched = 0;
        let id = event_id(&bytes).ok_or(EventFault::NoId)?;
        let follows = match self.last {
            Some(last) => id == last + 1,
            None => true,
        };
        if !follows {
            return Err(EventFault::OutOfOrder);
        }
        self.last = Some(id);
        Ok(Some(StreamEvent { id, bytes }))
    }

    /// Id of the last complete event, or of the event after which the stream was resumed.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Number of bytes received that belong to no event returned yet.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer contains a partial event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        for index in from..self.buffer.len() {
            let rest = &self.buffer[index..];
            if rest.starts_with(b"\n\n") {
                return Some(index + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(index + 4);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    let value = lines(bytes).find_map(|line| field(line, b"id"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
