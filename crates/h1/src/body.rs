//! Body framing, and the progress of reading a body.

/// How the end of a message's body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By an empty last chunk (`Transfer-Encoding: chunked`).
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The next part to read of a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChunkStage {
    /// The size line of a chunk.
    Size,
    /// Data of a chunk, of which this many bytes are left.
    Data(u64),
    /// The line end after the data of a chunk.
    DataEnd,
    /// Trailers, up to and including an empty line.
    Trailers,
}

/// Progress of reading a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyProgress {
    pub(crate) framing: BodyFraming,
    /// Bytes left; only used for a body with a known length.
    pub(crate) left: u64,
    pub(crate) stage: ChunkStage,
    pub(crate) done: bool,
}

impl BodyProgress {
    /// Progress at the start of a body.
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
