//! Reading bodies under a limit, and bodies that are written part by part.

use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use async_channel::{Receiver, Sender};
use async_std::io::{BufRead, Read, ReadExt};
use futures_util::Stream;
use http_types::Body;

/// Why a body could not be read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It has more bytes than allowed.
    TooLarge {
        /// The limit, bytes.
        limit: u64,
    },
    /// No byte came for too long, or the whole request took too long.
    TimedOut,
    /// The connection ended before the body did.
    Cut,
    /// The body's framing can't be understood.
    Malformed,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge { limit } => write!(f, "body over its limit of {limit} bytes"),
            Self::TimedOut => f.write_str("body took too long"),
            Self::Cut => f.write_str("connection ended inside the body"),
            Self::Malformed => f.write_str("malformed body framing"),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<BodyError> for io::Error {
    fn from(error: BodyError) -> Self {
        let kind = match error {
            BodyError::TooLarge { .. } => io::ErrorKind::FileTooLarge,
            BodyError::TimedOut => io::ErrorKind::TimedOut,
            BodyError::Cut => io::ErrorKind::UnexpectedEof,
            BodyError::Malformed => io::ErrorKind::InvalidData,
        };
        io::Error::new(kind, error)
    }
}

impl From<&io::Error> for BodyError {
    fn from(error: &io::Error) -> Self {
        if let Some(body) = error.get_ref().and_then(|inner| inner.downcast_ref::<BodyError>()) {
            return *body;
        }
        match error.kind() {
            io::ErrorKind::TimedOut => Self::TimedOut,
            io::ErrorKind::InvalidData => Self::Malformed,
            _ => Self::Cut,
        }
    }
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`BodyError::TooLarge`] as soon as one byte too many has come or is announced; the other
/// kinds when the body can't be read to its end.
pub async fn read_body(mut body: Body, limit: u64) -> Result<Vec<u8>, BodyError> {
    let announced = body.len();
    if announced.is_some_and(|length| length as u64 > limit) {
        return Err(BodyError::TooLarge { limit });
    }
    let mut bytes = Vec::with_capacity(announced.unwrap_or(0));
    let mut limited = (&mut body).take(limit.saturating_add(1));
    let read = limited.read_to_end(&mut bytes).await;
    read.map_err(|error| BodyError::from(&error))?;
    if bytes.len() as u64 > limit {
        return Err(BodyError::TooLarge { limit });
    }
    Ok(bytes)
}

/// Parts a streamed body holds before its sender has to wait.
const PARTS_IN_FLIGHT: usize = 16;

/// A body without a known length, and the sender of its parts. Each part goes to the peer at once.
///
/// The body ends well only by [`BodySender::finish`]; a sender dropped before that cuts the
/// connection, so that a cut answer never looks whole. The sender learns that the peer is gone,
/// or too slow for the write time-out, when its `send` fails.
pub fn streamed_body() -> (BodySender, Body) {
    let (sender, parts) = async_channel::bounded(PARTS_IN_FLIGHT);
    let reader = PartReader { parts: Box::pin(parts), current: Vec::new(), at: 0, ended: false };
    (BodySender { sender }, Body::from_reader(reader, None))
}

/// One step of a streamed body.
#[derive(Debug)]
enum BodyPart {
    /// Bytes, never empty.
    Bytes(Vec<u8>),
    /// The body is whole.
    End,
}

/// The peer is gone or was given up: nobody reads this body any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerGone;

impl fmt::Display for PeerGone {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the peer is gone")
    }
}

impl std::error::Error for PeerGone {}

/// Writes the parts of a [`streamed_body`].
#[derive(Debug)]
pub struct BodySender {
    /// Holds at most [`PARTS_IN_FLIGHT`] parts.
    sender: Sender<BodyPart>,
}

impl BodySender {
    /// Hands over one part, waiting while the peer is slow.
    ///
    /// # Errors
    /// [`PeerGone`] when the body was dropped.
    pub async fn send(&self, bytes: Vec<u8>) -> Result<(), PeerGone> {
        if bytes.is_empty() {
            return if self.is_gone() { Err(PeerGone) } else { Ok(()) };
        }
        self.sender.send(BodyPart::Bytes(bytes)).await.map_err(|_| PeerGone)
    }

    /// Marks the body as whole.
    ///
    /// # Errors
    /// [`PeerGone`] when the body was dropped.
    pub async fn finish(self) -> Result<(), PeerGone> {
        self.sender.send(BodyPart::End).await.map_err(|_| PeerGone)
    }

    /// Whether the body was dropped.
    pub fn is_gone(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the body is dropped.
    pub async fn gone(&self) {
        self.sender.closed().await;
    }
}

/// Reads the parts in order.
struct PartReader {
    /// Where parts come from.
    parts: Pin<Box<Receiver<BodyPart>>>,
    /// The part being read.
    current: Vec<u8>,
    /// Bytes of `current` already read; at most its length.
    at: usize,
    /// Whether the end mark has come.
    ended: bool,
}

impl BufRead for PartReader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.at == this.current.len() && !this.ended {
            match ready!(this.parts.as_mut().poll_next(cx)) {
                Some(BodyPart::Bytes(bytes)) => {
                    this.current = bytes;
                    this.at = 0;
                }
                Some(BodyPart::End) => this.ended = true,
                None => return Poll::Ready(Err(BodyError::Cut.into())),
            }
        }
        Poll::Ready(Ok(&this.current[this.at..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.at = (self.at + count).min(self.current.len());
    }
}

impl Read for PartReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let part = ready!(self.as_mut().poll_fill_buf(cx))?;
        let count = part.len().min(buf.len());
        buf[..count].copy_from_slice(&part[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
