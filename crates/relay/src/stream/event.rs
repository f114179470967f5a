//! One event of a stream.

/// Why bytes are not the next event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventFault {
    /// An event without an id, or with one that is no number.
    NoId,
    /// An id that doesn't follow the one before: a piece is missing or stands twice.
    OutOfOrder,
    /// An event larger than the buffer allows.
    TooLarge,
}

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its number in the stream.
    pub id: u64,
    /// The event as it came, with its blank line.
    pub bytes: Vec<u8>,
}

impl StreamEvent {
    /// The event's data, lines joined by line feeds.
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

/// The lines of an event, without their ends.
pub(crate) fn lines(bytes: &[u8]) -> impl Iterator<Item = &[u8]> {
    bytes.split(|b| *b == b'\n').map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// The value of a line of the field `name`, or `None` when the line is of another one.
pub(crate) fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?.strip_prefix(b":")?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}
