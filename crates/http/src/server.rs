//! The server: accepts connections and runs a handler for each request.

mod connection;
pub mod counts;
pub mod handle;
pub mod limits;
mod refusal;
mod request;
mod stream;
mod writer;

use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use async_h1::server::Encoder;
use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use futures_util::future::{Either, select};
use http_types::{Method, Request, Response};

use self::{
    connection::{ConnectionContext, serve_connection},
    counts::{CountCells, count},
    handle::{ServerHandle, StopSignals},
    limits::ServerLimits,
    refusal::EdgeRefusal,
    stream::ServerStream,
};

/// A boxed future, as handlers return it.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Answers one request.
type Handler = Arc<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Wait after a failed accept: out of file descriptors, for example, it would fail again at once.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait while refusing a connection; its small answer nearly always fits at once.
const REFUSE_PATIENCE: Duration = Duration::from_millis(200);

/// The server side of HTTP/1.1.
#[derive(Debug)]
pub struct HttpServer;

impl HttpServer {
    /// Binds `address` (`ip:port`, port 0 for one from the system) and serves it.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn bind<H>(
        address: &str,
        limits: ServerLimits,
        handler: H,
    ) -> io::Result<ServerHandle>
    where
        H: Fn(Request) -> BoxFuture<'static, Response> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        Self::serve(listener, limits, handler)
    }

    /// Serves `listener` until the handle is stopped or dropped.
    ///
    /// The handler's future is dropped when the caller goes away or the request's time is over,
    /// and the answer's body is dropped when the caller stops reading; that is how it notices.
    /// A caller that closes only its sending side counts as gone, too.
    ///
    /// # Errors
    /// When the listener's own address can't be read.
    pub fn serve<H>(
        listener: TcpListener,
        limits: ServerLimits,
        handler: H,
    ) -> io::Result<ServerHandle>
    where
        H: Fn(Request) -> BoxFuture<'static, Response> + Send + Sync + 'static,
    {
        let address = listener.local_addr()?;
        let counts = Arc::new(CountCells::default());
        let (signals, watch) = StopSignals::new();
        let context = ConnectionContext {
            handler: Arc::new(handler),
            limits: Arc::new(limits),
            counts: counts.clone(),
            closing: watch.closing,
        };
        let accepting = task::spawn(accept_all(listener, context, watch.cut, watch.alive));
        Ok(ServerHandle::new(address, counts, signals, accepting))
    }
}

/// Accepts until cancelled.
async fn accept_all(
    listener: TcpListener,
    context: ConnectionContext,
    cut: Receiver<()>,
    alive: Sender<()>,
) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let counts = &context.counts;
        count(&counts.connections);
        if counts.open_connections.load(Ordering::Relaxed) >= context.limits.max_connections as u64
        {
            count(&counts.connections_refused);
            refuse_connection(socket).await;
            continue;
        }
        count(&counts.open_connections);
        task::spawn(run_connection(context.clone(), socket, cut.clone(), alive.clone()));
    }
}

/// Serves one connection until it ends or is cut. `_alive` is dropped with it, which `stop` sees.
async fn run_connection(
    context: ConnectionContext,
    socket: TcpStream,
    cut: Receiver<()>,
    _alive: Sender<()>,
) {
    let counts = context.counts.clone();
    // Without this a small part of a stream waits for the acknowledgement of the one before.
    let _ = socket.set_nodelay(true);
    let serving = pin!(serve_connection(context, ServerStream::new(socket)));
    let cut = pin!(cut.recv());
    match select(serving, cut).await {
        Either::Left(_) | Either::Right(_) => {}
    }
    counts.open_connections.fetch_sub(1, Ordering::Relaxed);
}

/// Tells one caller too many so, if it listens.
async fn refuse_connection(mut socket: TcpStream) {
    let response = EdgeRefusal::TooManyConnections.response();
    let mut encoder = Encoder::new(response, Method::Get);
    let _ = timeout(REFUSE_PATIENCE, async_std::io::copy(&mut encoder, &mut socket)).await;
}
