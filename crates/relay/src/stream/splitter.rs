//! Cuts a stream's bytes into whole events.

use crate::stream::event::{EventFault, StreamEvent, field, lines};

/// Bytes of one event, at most: far above any event seen, far below a VM's memory.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// Cuts a stream's bytes into whole events and checks that their ids rise by one.
///
/// A target may break off in the middle of an event. Were such a part passed on, the stream could
/// not go on at another target without joining pieces of two runs, so only whole events leave
/// here; what is left at the end was never shown to anyone.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Up to here the buffer was searched for an event's end.
    searched: usize,
    /// Id of the last whole event.
    last: Option<u64>,
}

impl EventSplitter {
    /// A splitter of a stream that goes on after event `last`; the next one must follow it.
    pub fn after(last: Option<u64>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Takes more of the stream's bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    /// The bytes are not the next event of this stream; nothing after them may be used.
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

    /// Id of the last whole event, or of the one that the stream was resumed after.
    pub fn last_id(&self) -> Option<u64> {
        self.last
    }

    /// Whether bytes of an event without its end are left.
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
