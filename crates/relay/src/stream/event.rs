//! Events of a stream.

/// Why received bytes are not the next event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventFault {
    /// The event has no id, or one that is not a number.
    NoId,
    /// The id does not follow the one before: an event is missing or repeated.
    OutOfOrder,
    /// The event exceeds the maximum size.
    TooLarge,
}

/// A complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Sequence number of the event in the stream.
    pub id: u64,
    /// The event as received, including the blank line at its end.
    pub bytes: Vec<u8>,
}

impl StreamEvent {
    /// Data of the event, its lines joined by line feeds.
    pub fn data(&self) -> Vec<u8> {
        let mut data = Vec::with_capacity(self.bytes.len());
        let mut first = true;
        for line in lines(&self.bytes) {
            let Some(value) = field(line, b"data") else { continue };
            if !first {
                data.push(b'\n');
            }
            first = false;
            data.extend_from_slice(value);
        }
        data
    }
}

/// Lines of an event without their line endings.
pub(crate) fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Value of `line` if its field is `name`.
pub(crate) fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
