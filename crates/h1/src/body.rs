//! How long a body is, and how much of it was read.

/// How a message tells its body's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length.
    Length(u64),
    /// In chunks, the last one empty.
    Chunked,
    /// By the connection's end.
    UntilClose,
}

/// Where a chunked body stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChunkStage {
    /// A chunk's size comes next.
    Size,
    /// That many bytes of a chunk are left.
    Data(u64),
    /// The line end after a chunk comes next.
    DataEnd,
    /// Trailers, up to an empty line.
    Trailers,
}

/// How much of a body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    pub(crate) framing: BodyFraming,
    /// Bytes left of a body with a length.
    pub(crate) left: u64,
    pub(crate) stage: ChunkStage,
    pub(crate) done: bool,
}

impl BodyProgress {
    /// The start of a body.
    pub fn new(framing: BodyFraming) -> Self {
        let left = match framing {
            BodyFraming::Length(length) => length,
            BodyFraming::Chunked | BodyFraming::UntilClose => 0,
        };
        let done = framing == BodyFraming::Length(0);
        Self { framing, left, stage: ChunkStage::Size, done }
    }

    /// Whether the whole body was read.
    pub fn is_done(&self) -> bool {
        self.done
    }
}
