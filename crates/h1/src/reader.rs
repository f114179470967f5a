//! Reads messages from a connection.

mod body;

use std::io::ErrorKind;

use async_std::{
    io::ReadExt,
    net::TcpStream,
    task::{Context, Poll},
};

use crate::{
    body::{BodyFraming, BodyProgress},
    error::WireError,
    head::{MAX_HEADERS, RequestHead, ResponseHead, copy_headers, is_status, keeps_alive},
    writer::write_all,
};

/// Size of a read: several events of a stream, or a whole typical request.
const READ_BYTES: usize = 8 << 10;

/// Reads messages from a connection. All reads are cancellation-safe: one that is dropped at an await loses no bytes.
#[derive(Debug)]
pub struct WireReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of bytes at the start of the buffer that were consumed.
    consumed: usize,
    /// Why the connection broke, if a write found out. The system reports that once, so a read only sees what had arrived
    /// and then an end. Invariant: `None` if the peer had ended its side before, as that end is in order.
    break_error: Option<WireError>,
}

impl WireReader {
    /// Creates a reader of `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), consumed: 0, break_error: None }
    }

    /// Writes all bytes to the connection. Whoever reads answers writes the requests by this, so that a body that lasts until
    /// the connection ends isn't taken for complete if a reset ended it. What had arrived can be read after a failure.
    ///
    /// # Errors
    /// `Io` when the connection failed.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let written = write_all(&self.stream, bytes).await;
        match written {
            // A reset that follows the peer's own end of the connection is reported as a broken pipe.
            Ok(()) | Err(WireError::Io(ErrorKind::BrokenPipe)) => {}
            Err(error) => self.break_error = self.break_error.or(Some(error)),
        }
        written
    }

    /// Whether there are bytes that were read but not consumed by a message.
    pub fn has_buffered(&self) -> bool {
        self.buffered_len() > 0
    }

    /// Number of bytes that were read but not consumed by a message.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len() - self.consumed
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the connection.
    ///
    /// # Errors
    /// `Io` when the read failed, or the connection ended because it broke.
    pub async fn fill(&mut self) -> Result<usize, WireError> {
        self.compact();
        let buffered = self.buffer.len();
        self.buffer.resize(buffered + READ_BYTES, 0);
        // A read dropped while pending has read nothing; the guard then removes the unused bytes.
        let mut guard = TruncateGuard { buffer: &mut self.buffer, buffered };
        let mut stream = &self.stream;
        let read = stream.read(&mut guard.buffer[buffered..]).await?;
        guard.buffered = buffered + read;
        match self.break_error {
            Some(error) if read == 0 => Err(error),
            _ => Ok(read),
        }
    }

    /// Whether an idle connection can't be reused: it was closed, failed, or received unsolicited bytes. Doesn't wait.
    pub fn is_unusable(&self) -> bool {
        if self.has_buffered() {
            return true;
        }
        let mut byte = [0_u8; 1];
        let mut peek = Box::pin(self.stream.peek(&mut byte));
        let waker = std::task::Waker::noop();
        let mut context = Context::from_waker(waker);
        !matches!(std::future::Future::poll(peek.as_mut(), &mut context), Poll::Pending)
    }

    /// Reads the head of the next request; `None` when the connection ended before its first byte.
    ///
    /// # Errors
    /// `TooLarge` beyond `max_bytes`, `Malformed`, `Closed` within the head, `Io`.
    pub async fn request_head(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<RequestHead>, WireError> {
        loop {
            if let Some(head) = self.parse_request()? {
                return Ok(Some(head));
            }
            if self.buffer.len() - self.consumed > max_bytes {
                return Err(WireError::TooLarge);
            }
            if self.fill().await? == 0 {
                return if self.has_buffered() { Err(WireError::Closed) } else { Ok(None) };
            }
        }
    }

    /// Reads the head of the next final response; interim (1xx) ones are skipped.
    ///
    /// # Errors
    /// `Closed` before its end, `Malformed`, `TooLarge` beyond `max_bytes` with the interim ones, `Io`.
    pub async fn response_head(&mut self, max_bytes: usize) -> Result<ResponseHead, WireError> {
        let mut interim = 0;
        loop {
            let buffered = self.buffered_len();
            while let Some(head) = self.parse_response()? {
                if head.status >= 200 {
                    return Ok(head);
                }
            }
            interim += buffered - self.buffered_len();
            if interim + self.buffered_len() > max_bytes {
                return Err(WireError::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(WireError::Closed);
            }
        }
    }

    /// Reads the next bytes of a body as they arrive; `None` at its end.
    ///
    /// # Errors
    /// `Closed` when the connection ends before the body, `Malformed`, `Io`.
    pub async fn body_part(
        &mut self,
        progress: &mut BodyProgress,
    ) -> Result<Option<Vec<u8>>, WireError> {
        loop {
            if progress.done {
                return Ok(None);
            }
            if let Some(part) = self.take_body(progress)? {
                return Ok(Some(part));
            }
            if progress.done {
                return Ok(None);
            }
            if self.fill().await? == 0 {
                if progress.framing == BodyFraming::UntilClose {
                    progress.done = true;
                    return Ok(None);
                }
                return Err(WireError::Closed);
            }
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    /// As [`body_part`](Self::body_part), and `TooLarge` beyond `max_bytes`.
    pub async fn whole_body(
        &mut self,
        framing: BodyFraming,
        max_bytes: usize,
    ) -> Result<Vec<u8>, WireError> {
        if matches!(framing, BodyFraming::Length(length) if length > max_bytes as u64) {
            return Err(WireError::TooLarge);
        }
        let mut progress = BodyProgress::new(framing);
        let mut body = Vec::new();
        while let Some(part) = self.body_part(&mut progress).await? {
            if body.len() + part.len() > max_bytes {
                return Err(WireError::TooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Reads a whole body and drops it.
    ///
    /// # Errors
    /// As [`whole_body`](Self::whole_body).
    pub async fn skip_body(
        &mut self,
        framing: BodyFraming,
        max_bytes: usize,
    ) -> Result<(), WireError> {
        let mut progress = BodyProgress::new(framing);
        let mut skipped = 0;
        while let Some(part) = self.body_part(&mut progress).await? {
            skipped += part.len();
            if skipped > max_bytes {
                return Err(WireError::TooLarge);
            }
        }
        Ok(())
    }

    fn parse_request(&mut self) -> Result<Option<RequestHead>, WireError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let buffered = &self.buffer[self.consumed..];
        let status = request.parse(buffered).map_err(|_| WireError::Malformed)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let headers = copy_headers(request.headers)?;
        let keep_alive = keeps_alive(request.version.unwrap_or(0), &headers);
        let method = request.method.unwrap_or_default().to_owned();
        let target = request.path.unwrap_or_default().to_owned();
        self.consumed += length;
        Ok(Some(RequestHead { method, target, headers, keep_alive }))
    }

    fn parse_response(&mut self) -> Result<Option<ResponseHead>, WireError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let buffered = &self.buffer[self.consumed..];
        let status = response.parse(buffered).map_err(|_| WireError::Malformed)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let headers = copy_headers(response.headers)?;
        let keep_alive = keeps_alive(response.version.unwrap_or(0), &headers);
        let status = response.code.filter(|&code| is_status(code)).ok_or(WireError::Malformed)?;
        self.consumed += length;
        Ok(Some(ResponseHead { status, headers, keep_alive }))
    }

    /// Consumes up to `limit` buffered bytes; `None` when the buffer is empty.
    fn take(&mut self, limit: u64) -> Option<Vec<u8>> {
        let buffered = self.buffer.len() - self.consumed;
        let count = usize::try_from(limit).unwrap_or(usize::MAX).min(buffered);
        if count == 0 {
            return None;
        }
        let part = self.buffer[self.consumed..self.consumed + count].to_vec();
        self.consumed += count;
        Some(part)
    }

    fn compact(&mut self) {
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
        } else if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
        }
        self.consumed = 0;
    }
}

/// Truncates the buffer to the bytes it really holds when a read completes or is dropped.
struct TruncateGuard<'a> {
    buffer: &'a mut Vec<u8>,
    buffered: usize,
}

impl Drop for TruncateGuard<'_> {
    fn drop(&mut self) {
        self.buffer.truncate(self.buffered);
    }
}
