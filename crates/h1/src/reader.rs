//! Reads messages from a connection.

use async_std::{
    io::ReadExt,
    net::TcpStream,
    task::{Context, Poll},
};

use crate::{
    body::{BodyFraming, BodyProgress, ChunkStage},
    error::WireError,
    head::{MAX_HEADERS, RequestHead, ResponseHead, copy_headers, keeps_alive},
};

/// Bytes asked for in one read: several events of a stream, or a whole usual request.
const READ_BYTES: usize = 8 << 10;
/// Bytes of a chunk's size line, or of all trailers, at most.
const LINE_MAX_BYTES: usize = 4 << 10;

/// Reads messages from a connection. Every read may be dropped at an await without losing bytes.
#[derive(Debug)]
pub struct WireReader {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Bytes of the buffer that were taken.
    taken: usize,
}

impl WireReader {
    /// A reader of `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new(), taken: 0 }
    }

    /// The connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether bytes were read that belong to no message yet.
    pub fn has_rest(&self) -> bool {
        self.held() > 0
    }

    /// Bytes that were read and belong to no message yet.
    pub fn held(&self) -> usize {
        self.buffer.len() - self.taken
    }

    /// Reads more bytes; 0 at the connection's end.
    ///
    /// # Errors
    /// `Io` when the connection failed.
    pub async fn fill(&mut self) -> Result<usize, WireError> {
        self.compact();
        let held = self.buffer.len();
        self.buffer.resize(held + READ_BYTES, 0);
        // Dropped while pending, the read has taken nothing; the guard cuts the spare bytes off.
        let mut guard = SpareBytes { buffer: &mut self.buffer, held };
        let mut stream = &self.stream;
        let read = stream.read(&mut guard.buffer[held..]).await?;
        guard.held = held + read;
        Ok(read)
    }

    /// Whether an idle connection was closed or sent bytes that nobody asked for. Doesn't wait.
    pub fn is_unusable(&self) -> bool {
        if self.has_rest() {
            return true;
        }
        let mut byte = [0_u8; 1];
        let mut peek = Box::pin(self.stream.peek(&mut byte));
        let waker = std::task::Waker::noop();
        let mut context = Context::from_waker(waker);
        !matches!(std::future::Future::poll(peek.as_mut(), &mut context), Poll::Pending)
    }

    /// The next request's head, or `None` when the connection ended before its first byte.
    ///
    /// # Errors
    /// `TooLarge` over `max_bytes`, `Malformed`, `Closed` in its middle, `Io`.
    pub async fn request_head(
        &mut self,
        max_bytes: usize,
    ) -> Result<Option<RequestHead>, WireError> {
        loop {
            if let Some(head) = self.parse_request()? {
                return Ok(Some(head));
            }
            if self.buffer.len() - self.taken > max_bytes {
                return Err(WireError::TooLarge);
            }
            if self.fill().await? == 0 {
                return if self.has_rest() { Err(WireError::Closed) } else { Ok(None) };
            }
        }
    }

    /// The next response's head; interim ones are passed over.
    ///
    /// # Errors
    /// `Closed` before its end, `Malformed`, `TooLarge` over `max_bytes`, `Io`.
    pub async fn response_head(&mut self, max_bytes: usize) -> Result<ResponseHead, WireError> {
        loop {
            while let Some(head) = self.parse_response()? {
                if head.status >= 200 {
                    return Ok(head);
                }
            }
            if self.buffer.len() - self.taken > max_bytes {
                return Err(WireError::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(WireError::Closed);
            }
        }
    }

    /// The body's next bytes as they arrive, or `None` at its end.
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
            if let Some(part) = self.held_part(progress)? {
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

    /// The whole body.
    ///
    /// # Errors
    /// As [`body_part`](Self::body_part), and `TooLarge` over `max_bytes`.
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

    fn parse_request(&mut self) -> Result<Option<RequestHead>, WireError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let held = &self.buffer[self.taken..];
        let status = request.parse(held).map_err(|_| WireError::Malformed)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let headers = copy_headers(request.headers)?;
        let keep_alive = keeps_alive(request.version.unwrap_or(0), &headers);
        let method = request.method.unwrap_or_default().to_owned();
        let target = request.path.unwrap_or_default().to_owned();
        self.taken += length;
        Ok(Some(RequestHead { method, target, headers, keep_alive }))
    }

    fn parse_response(&mut self) -> Result<Option<ResponseHead>, WireError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let held = &self.buffer[self.taken..];
        let status = response.parse(held).map_err(|_| WireError::Malformed)?;
        let httparse::Status::Complete(length) = status else { return Ok(None) };
        let headers = copy_headers(response.headers)?;
        let keep_alive = keeps_alive(response.version.unwrap_or(0), &headers);
        let status = response.code.unwrap_or(0);
        self.taken += length;
        Ok(Some(ResponseHead { status, headers, keep_alive }))
    }

    /// What of the body is held already, or `None` when more must be read first.
    fn held_part(&mut self, progress: &mut BodyProgress) -> Result<Option<Vec<u8>>, WireError> {
        match progress.framing {
            BodyFraming::UntilClose => Ok(self.take(u64::MAX)),
            BodyFraming::Length(_) => {
                let part = self.take(progress.left);
                progress.left -= part.as_ref().map_or(0, |p| p.len() as u64);
                progress.done = progress.left == 0;
                Ok(part)
            }
            BodyFraming::Chunked => self.held_chunks(progress),
        }
    }

    fn held_chunks(&mut self, progress: &mut BodyProgress) -> Result<Option<Vec<u8>>, WireError> {
        let mut data = Vec::new();
        loop {
            let advanced = match progress.stage {
                ChunkStage::Size => self.take_size(progress)?,
                ChunkStage::Data(left) => self.take_data(progress, left, &mut data),
                ChunkStage::DataEnd => self.take_line_end(progress)?,
                ChunkStage::Trailers => self.take_trailers(progress)?,
            };
            if !advanced || progress.done {
                return Ok(if data.is_empty() { None } else { Some(data) });
            }
        }
    }

    fn take_size(&mut self, progress: &mut BodyProgress) -> Result<bool, WireError> {
        let held = &self.buffer[self.taken..];
        match httparse::parse_chunk_size(held) {
            Ok(httparse::Status::Complete((length, size))) => {
                self.taken += length;
                progress.stage =
                    if size == 0 { ChunkStage::Trailers } else { ChunkStage::Data(size) };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if held.len() <= LINE_MAX_BYTES => Ok(false),
            Ok(httparse::Status::Partial) | Err(_) => Err(WireError::Malformed),
        }
    }

    fn take_data(&mut self, progress: &mut BodyProgress, left: u64, data: &mut Vec<u8>) -> bool {
        let Some(part) = self.take(left) else { return false };
        data.extend_from_slice(&part);
        let left = left - part.len() as u64;
        progress.stage = if left == 0 { ChunkStage::DataEnd } else { ChunkStage::Data(left) };
        true
    }

    fn take_line_end(&mut self, progress: &mut BodyProgress) -> Result<bool, WireError> {
        let held = &self.buffer[self.taken..];
        if held.len() < 2 {
            return Ok(false);
        }
        if !held.starts_with(b"\r\n") {
            return Err(WireError::Malformed);
        }
        self.taken += 2;
        progress.stage = ChunkStage::Size;
        Ok(true)
    }

    fn take_trailers(&mut self, progress: &mut BodyProgress) -> Result<bool, WireError> {
        let held = &self.buffer[self.taken..];
        let length = if held.starts_with(b"\r\n") {
            2
        } else {
            match held.windows(4).position(|window| window == b"\r\n\r\n") {
                Some(position) => position + 4,
                None if held.len() > LINE_MAX_BYTES => return Err(WireError::Malformed),
                None => return Ok(false),
            }
        };
        self.taken += length;
        progress.done = true;
        Ok(true)
    }

    /// Up to `most` of the bytes held, or `None` when none are.
    fn take(&mut self, most: u64) -> Option<Vec<u8>> {
        let held = self.buffer.len() - self.taken;
        let count = usize::try_from(most).unwrap_or(usize::MAX).min(held);
        if count == 0 {
            return None;
        }
        let part = self.buffer[self.taken..self.taken + count].to_vec();
        self.taken += count;
        Some(part)
    }

    fn compact(&mut self) {
        if self.taken == self.buffer.len() {
            self.buffer.clear();
        } else if self.taken > 0 {
            self.buffer.drain(..self.taken);
        }
        self.taken = 0;
    }
}

/// Cuts a buffer back to the bytes it holds when a read ends or is dropped.
struct SpareBytes<'a> {
    buffer: &'a mut Vec<u8>,
    held: usize,
}

impl Drop for SpareBytes<'_> {
    fn drop(&mut self) {
        self.buffer.truncate(self.held);
    }
}
