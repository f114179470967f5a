//! Guards around the library's body readers: limits, time-outs and cut bodies told as such.

use std::{
    fmt,
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use async_std::{
    io::{BufRead, Read},
    task,
};
use http_types::Body;

use crate::body::BodyError;

/// What a guard tells and asks its connection.
pub(crate) trait BodyOwner: Send + Sync + Unpin + 'static {
    /// Bytes were handed out.
    fn took(&mut self, count: u64);

    /// The body was read to its end.
    fn ended(&mut self);

    /// Whether a read that gave nothing left its waker with the socket.
    ///
    /// The library's chunked decoder, when the last line break of a body comes in two pieces,
    /// asks to be called again without waiting for anything: the body would hang for good. The
    /// guard notices that nobody waits for the socket and reads again.
    fn read_waits(&self) -> bool;
}

/// Bounds of one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyBounds {
    /// Bytes announced, if they were.
    pub(crate) announced: Option<u64>,
    /// Most bytes.
    pub(crate) limit: u64,
    /// Longest silence.
    pub(crate) silence: Duration,
}

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A body under guard. The library ends a body of known length that breaks off as if it were
/// whole; here it ends with [`BodyError::Cut`].
pub(crate) struct GuardedBody<O: BodyOwner> {
    /// The library's body; gone once it ended, so that the connection is free.
    inner: Option<Body>,
    /// The connection.
    owner: O,
    /// What is allowed.
    bounds: BodyBounds,
    /// Bytes handed out; at most the limit.
    count: u64,
    /// Runs while a read waits.
    timer: Option<Timer>,
}

impl<O: BodyOwner> GuardedBody<O> {
    /// Guards `inner`.
    pub(crate) fn new(inner: Body, owner: O, bounds: BodyBounds) -> Self {
        let mut guarded = Self { inner: Some(inner), owner, bounds, count: 0, timer: None };
        if bounds.announced == Some(0) {
            guarded.end();
        }
        guarded
    }

    /// Makes it a body again.
    pub(crate) fn into_body(self) -> Body {
        let length = self.bounds.announced.and_then(|length| usize::try_from(length).ok());
        Body::from_reader(async_std::io::BufReader::new(self), length)
    }

    fn end(&mut self) {
        if self.inner.take().is_some() {
            self.owner.ended();
        }
    }

    /// Takes `count` bytes into account, or an end when there are none.
    fn note(&mut self, count: usize) -> io::Result<usize> {
        self.count += count as u64;
        self.owner.took(count as u64);
        if self.count > self.bounds.limit {
            self.inner = None;
            return Err(BodyError::TooLarge { limit: self.bounds.limit }.into());
        }
        match self.bounds.announced {
            Some(announced) if self.count == announced => self.end(),
            Some(_) if count == 0 => {
                self.inner = None;
                return Err(BodyError::Cut.into());
            }
            None if count == 0 => self.end(),
            _ => {}
        }
        Ok(count)
    }

    /// Runs the timer while a read waits.
    fn poll_silence(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if !self.owner.read_waits() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let silence = self.bounds.silence;
        let timer = self.timer.get_or_insert_with(|| Box::pin(task::sleep(silence)));
        ready!(timer.as_mut().poll(cx));
        self.inner = None;
        Poll::Ready(Err(BodyError::TimedOut.into()))
    }
}

impl<O: BodyOwner> Read for GuardedBody<O> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let Some(inner) = this.inner.as_mut() else {
            return Poll::Ready(this.after_end());
        };
        match Pin::new(inner).poll_read(cx, buf) {
            Poll::Pending => this.poll_silence(cx),
            Poll::Ready(Ok(count)) => {
                this.timer = None;
                Poll::Ready(this.note(count))
            }
            Poll::Ready(Err(error)) => {
                this.inner = None;
                Poll::Ready(Err(BodyError::from(&error).into()))
            }
        }
    }
}

impl<O: BodyOwner> GuardedBody<O> {
    /// What a read gives after the end: nothing more, or that the body broke.
    fn after_end(&self) -> io::Result<usize> {
        let whole = self.bounds.announced.is_none_or(|length| self.count == length)
            && self.count <= self.bounds.limit;
        if whole { Ok(0) } else { Err(BodyError::Cut.into()) }
    }
}

impl<O: BodyOwner> fmt::Debug for GuardedBody<O> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GuardedBody").field("bounds", &self.bounds).finish_non_exhaustive()
    }
}

/// An answer's body on its way out: one that is shorter than announced breaks the connection in
/// place of leaving the peer waiting for the rest.
pub(crate) struct AnnouncedBody {
    /// The handler's body.
    inner: Body,
    /// Bytes still owed.
    owed: u64,
}

impl AnnouncedBody {
    /// Wraps `body` when its length is announced.
    pub(crate) fn wrap(body: Body) -> Body {
        match body.len() {
            Some(length) if length > 0 => {
                let announced = Self { inner: body, owed: length as u64 };
                Body::from_reader(announced, Some(length))
            }
            _ => body,
        }
    }
}

impl Read for AnnouncedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        if count == 0 && self.owed > 0 && !buf.is_empty() {
            return Poll::Ready(Err(BodyError::Cut.into()));
        }
        self.owed = self.owed.saturating_sub(count as u64);
        Poll::Ready(Ok(count))
    }
}

impl BufRead for AnnouncedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        Pin::new(&mut self.get_mut().inner).poll_fill_buf(cx)
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.owed = self.owed.saturating_sub(count as u64);
        Pin::new(&mut self.inner).consume(count);
    }
}
