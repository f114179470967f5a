//! The server's end of one connection, as the library's decoder sees it.
//!
//! The decoder buffers what it reads and throws the rest away with the request, so a pipelined
//! request would lose its first bytes. This stream hands out no byte beyond the request that is
//! being decoded and keeps the rest for the next one.

use std::{
    future::poll_fn,
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker, ready},
};

use async_std::{
    io::{Read, Write},
    net::TcpStream,
};

use super::refusal::EdgeRefusal;

/// Bytes read ahead of the current request at most.
const LOOKAHEAD_BYTES: usize = 16 << 10;
/// Bytes asked from the socket at one time while reading ahead.
const READ_BYTES: usize = 4 << 10;
/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// One connection; clones share it.
#[derive(Debug, Clone)]
pub(super) struct ServerStream {
    /// The socket.
    socket: TcpStream,
    /// What is shared by the clones.
    state: Arc<Mutex<StreamState>>,
}

/// What the clones of a stream share.
#[derive(Debug, Default)]
struct StreamState {
    /// Bytes read from the socket and not handed out; at most [`LOOKAHEAD_BYTES`] and one read.
    lookahead: Vec<u8>,
    /// Bytes the decoder may still take: the rest of the head, then the body.
    allowance: u64,
    /// Whether the request's body was read to its end, so that nobody else reads the socket.
    body_done: bool,
    /// Whether the last read found nothing and left its waker with the socket.
    read_waits: bool,
    /// Wakes the watch for a leaving peer once the body is done.
    watch_waker: Option<Waker>,
}

/// How reading a head ended other than well.
#[derive(Debug)]
pub(super) enum HeadFailure {
    /// The peer closed the connection, or it broke.
    Closed,
    /// The head breaks a rule.
    Refused(EdgeRefusal),
}

impl ServerStream {
    /// Wraps an accepted socket.
    pub(super) fn new(socket: TcpStream) -> Self {
        Self { socket, state: Arc::default() }
    }

    /// The socket itself.
    pub(super) fn socket(&self) -> &TcpStream {
        &self.socket
    }

    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for the first byte of the next request.
    pub(super) async fn first_byte(&self) -> Result<(), HeadFailure> {
        while !self.next_request_begun() {
            self.read_ahead().await?;
        }
        Ok(())
    }

    /// Whether bytes of the next request are here.
    fn next_request_begun(&self) -> bool {
        let mut state = self.state();
        state.allowance = 0;
        state.body_done = false;
        skip_empty_lines(&mut state.lookahead);
        if state.lookahead.is_empty() {
            // An idle connection holds no buffer.
            state.lookahead = Vec::new();
        }
        !state.lookahead.is_empty()
    }

    /// Reads ahead to the end of the head and lets the decoder take it. Returns the head.
    pub(super) async fn head(
        &self,
        head_bytes: usize,
        header_count: usize,
    ) -> Result<Vec<u8>, HeadFailure> {
        let mut scanned = 0;
        loop {
            if let Some(head) = self.find_head(&mut scanned, head_bytes)? {
                check_head(&head, header_count).map_err(HeadFailure::Refused)?;
                self.state().allowance = head.len() as u64;
                return Ok(head);
            }
            self.read_ahead().await?;
        }
    }

    /// The head, when all of it has come. `scanned` is where the last search stopped.
    fn find_head(
        &self,
        scanned: &mut usize,
        head_bytes: usize,
    ) -> Result<Option<Vec<u8>>, HeadFailure> {
        let state = self.state();
        let from = scanned.saturating_sub(HEAD_END.len() - 1);
        let found = state.lookahead[from..].windows(HEAD_END.len()).position(|w| w == HEAD_END);
        let length = found.map_or(state.lookahead.len(), |at| from + at + HEAD_END.len());
        if length > head_bytes {
            return Err(HeadFailure::Refused(EdgeRefusal::HeadTooLarge));
        }
        *scanned = state.lookahead.len();
        Ok(found.map(|_| state.lookahead[..length].to_vec()))
    }

    /// Lets the decoder take `bytes` more: the body.
    pub(super) fn allow_body(&self, bytes: u64) {
        let mut state = self.state();
        state.allowance = state.allowance.saturating_add(bytes);
        state.body_done = bytes == 0;
    }

    /// Marks the body as read to its end.
    pub(super) fn body_ended(&self) {
        let mut state = self.state();
        state.body_done = true;
        if let Some(waker) = state.watch_waker.take() {
            waker.wake();
        }
    }

    /// Whether the request's body was read to its end.
    pub(super) fn is_body_done(&self) -> bool {
        self.state().body_done
    }

    /// Whether the last read left its waker with the socket; see the request's body for why.
    pub(super) fn read_waits(&self) -> bool {
        self.state().read_waits
    }

    /// Ready once the peer has closed its side or the connection broke. Looks only while nobody
    /// reads a body: a body's reader finds it out by itself, and two tasks that wait for one
    /// socket wake each other without end.
    pub(super) fn poll_gone(&self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let mut state = self.state();
            if !state.body_done {
                state.watch_waker = Some(cx.waker().clone());
                return Poll::Pending;
            }
            if state.lookahead.len() >= LOOKAHEAD_BYTES {
                // Full of pipelined requests: a later write will tell.
                return Poll::Pending;
            }
            match ready!(self.poll_lookahead(&mut state, cx)) {
                Ok(0) | Err(_) => return Poll::Ready(()),
                Ok(_) => {}
            }
        }
    }

    /// Reads once from the socket into the lookahead.
    async fn read_ahead(&self) -> Result<(), HeadFailure> {
        let read = poll_fn(|cx| self.poll_lookahead(&mut self.state(), cx)).await;
        match read {
            Ok(0) | Err(_) => Err(HeadFailure::Closed),
            Ok(_) => Ok(()),
        }
    }

    fn poll_lookahead(
        &self,
        state: &mut StreamState,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut bytes = [0_u8; READ_BYTES];
        let count = ready!(Pin::new(&mut &self.socket).poll_read(cx, &mut bytes))?;
        state.lookahead.extend_from_slice(&bytes[..count]);
        Poll::Ready(Ok(count))
    }

    /// Reads and throws away what the peer still sends; for closing without a reset.
    pub(super) async fn discard(&self) {
        let mut bytes = [0_u8; READ_BYTES];
        loop {
            let read = poll_fn(|cx| Pin::new(&mut &self.socket).poll_read(cx, &mut bytes)).await;
            if !matches!(read, Ok(count) if count > 0) {
                return;
            }
        }
    }
}

/// Drops empty lines before a request line, which RFC 9112 section 2.2 asks servers to ignore.
fn skip_empty_lines(bytes: &mut Vec<u8>) {
    let empty = bytes.iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
    bytes.drain(..empty);
}

/// Refuses what the library would panic on, hang on or misread.
fn check_head(head: &[u8], header_count: usize) -> Result<(), EdgeRefusal> {
    // The library panics on header values that are not ASCII.
    if !head.is_ascii() {
        return Err(EdgeRefusal::BadHead);
    }
    let lines = head.windows(2).filter(|pair| pair == b"\r\n").count();
    let headers = lines.saturating_sub(2);
    if headers > header_count {
        return Err(EdgeRefusal::HeadTooLarge);
    }
    let request_line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
    if request_line.ends_with(b"HTTP/1.0") {
        return Err(EdgeRefusal::OldVersion);
    }
    Ok(())
}

impl Read for ServerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state();
        let room = state.allowance.min(buf.len() as u64) as usize;
        state.read_waits = false;
        if room == 0 {
            return Poll::Ready(Ok(0));
        }
        let count = if state.lookahead.is_empty() {
            state.read_waits = true;
            let read = ready!(Pin::new(&mut &self.socket).poll_read(cx, &mut buf[..room]))?;
            state.read_waits = false;
            read
        } else {
            let count = room.min(state.lookahead.len());
            buf[..count].copy_from_slice(&state.lookahead[..count]);
            state.lookahead.drain(..count);
            count
        };
        state.allowance -= count as u64;
        Poll::Ready(Ok(count))
    }
}

impl Write for ServerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.socket).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_close(cx)
    }
}
