//! The client's end of one connection, as the library sees it, with a trace of what passed.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use async_std::{
    io::{Read, Write},
    net::TcpStream,
};

/// One connection during one exchange; clones share it.
#[derive(Debug, Clone)]
pub(super) struct ClientStream {
    /// The socket.
    socket: TcpStream,
    /// What passed.
    trace: Arc<StreamTrace>,
}

/// What passed in one exchange.
#[derive(Debug, Default)]
struct StreamTrace {
    /// Bytes the system took for sending.
    written: AtomicU64,
    /// Bytes received.
    received: AtomicU64,
    /// Whether the peer closed the connection, or it broke.
    closed: AtomicBool,
    /// Whether the last read left its waker with the socket.
    read_waits: AtomicBool,
}

impl ClientStream {
    /// Wraps a socket for one exchange.
    pub(super) fn new(socket: TcpStream) -> Self {
        Self { socket, trace: Arc::default() }
    }

    /// The socket.
    pub(super) fn socket(&self) -> &TcpStream {
        &self.socket
    }

    /// Whether any byte may have left.
    pub(super) fn has_written(&self) -> bool {
        self.trace.written.load(Ordering::Relaxed) > 0
    }

    /// Whether any byte of the answer came.
    pub(super) fn has_received(&self) -> bool {
        self.trace.received.load(Ordering::Relaxed) > 0
    }

    /// Whether the peer closed the connection, or it broke.
    pub(super) fn is_closed(&self) -> bool {
        self.trace.closed.load(Ordering::Relaxed)
    }

    /// Whether the last read left its waker with the socket.
    pub(super) fn read_waits(&self) -> bool {
        self.trace.read_waits.load(Ordering::Relaxed)
    }
}

impl Read for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut &self.socket).poll_read(cx, buf);
        self.trace.read_waits.store(read.is_pending(), Ordering::Relaxed);
        match &read {
            Poll::Ready(Ok(count)) if *count > 0 => {
                self.trace.received.fetch_add(*count as u64, Ordering::Relaxed);
            }
            Poll::Ready(_) => self.trace.closed.store(true, Ordering::Relaxed),
            Poll::Pending => {}
        }
        read
    }
}

impl Write for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut &self.socket).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &written {
            self.trace.written.fetch_add(*count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.socket).poll_close(cx)
    }
}
