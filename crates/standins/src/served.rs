//! A port that can be cut and opened again, as a crash and a restart look from outside.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use async_std::task::sleep;
use notch_http::prelude::*;
use percent_encoding::percent_decode_str;

use crate::addresses::lasting_address;

/// Answers one request.
pub(crate) type RequestHandler = Arc<dyn Fn(Request) -> BoxFuture<'static, Response> + Send + Sync>;

/// Loopback with a port of no particular number.
const ANY_ADDRESS: &str = "127.0.0.1:0";
/// Wait between tries to get the port back.
const REOPEN_PAUSE: Duration = Duration::from_millis(5);
/// How long running requests get when a stand-in stops.
const STOP_GRACE: Duration = Duration::from_millis(50);

/// A served port.
pub(crate) struct ServedPort {
    address: SocketAddr,
    handler: RequestHandler,
    limits: ServerLimits,
    /// `None` while the port is cut.
    server: Mutex<Option<ServerHandle>>,
    /// Set once: it is never served again.
    ended: AtomicBool,
}

impl ServedPort {
    /// Serves `address` (`ip:port`; loopback with port 0 for one that nobody takes while it is cut).
    pub(crate) async fn open(
        address: &str,
        limits: ServerLimits,
        handler: RequestHandler,
    ) -> io::Result<Self> {
        let address = match address {
            ANY_ADDRESS => lasting_address().to_string(),
            given => given.to_owned(),
        };
        let server = bind(&address, &limits, &handler).await?;
        let address = server.address();
        Ok(Self {
            address,
            handler,
            limits,
            server: Mutex::new(Some(server)),
            ended: AtomicBool::new(false),
        })
    }

    /// Where it is served; stays the same over cuts.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends every connection; when it returns, new ones are refused until [`ServedPort::reopen`].
    pub(crate) async fn cut(&self) {
        let server = self.locked().take();
        if let Some(server) = server {
            server.stop(Duration::ZERO).await;
        }
    }

    /// Ends every connection for good, soon and without waiting for it.
    pub(crate) fn drop_server(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let server = self.locked().take();
        drop(server);
    }

    /// Serves the same port again. Another process may hold it for a moment; waits for it.
    pub(crate) async fn reopen(&self) {
        let address = self.address.to_string();
        while !self.ended.load(Ordering::Relaxed) {
            match bind(&address, &self.limits, &self.handler).await {
                Ok(server) => {
                    *self.locked() = Some(server);
                    return;
                }
                Err(_) => sleep(REOPEN_PAUSE).await,
            }
        }
    }

    /// Stops for good.
    pub(crate) async fn stop(&self) {
        self.ended.store(true, Ordering::Relaxed);
        let server = self.locked().take();
        if let Some(server) = server {
            server.stop(STOP_GRACE).await;
        }
    }

    fn locked(&self) -> MutexGuard<'_, Option<ServerHandle>> {
        self.server.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

async fn bind(
    address: &str,
    limits: &ServerLimits,
    handler: &RequestHandler,
) -> io::Result<ServerHandle> {
    let handler = handler.clone();
    HttpServer::bind(address, limits.clone(), move |request| handler(request)).await
}

/// The answer of a process that is gone: none. Ends when the port is cut.
///
/// What goes wrong with any answer here: the handler learns of the crash before the port is cut,
/// and the caller gets a head that a dead process can't have sent.
pub(crate) async fn until_cut() -> Response {
    std::future::pending().await
}

/// The text of one percent-encoded path segment; `None` if it is empty, more than one, or no text.
pub(crate) fn decoded_segment(segment: &str) -> Option<String> {
    if segment.is_empty() || segment.contains('/') {
        return None;
    }
    percent_decode_str(segment).decode_utf8().ok().map(|text| text.into_owned())
}
