//! The client: sends requests over pooled connections.

mod answer;
pub mod counts;
pub mod error;
mod exchange;
mod pool;
pub mod settings;
mod stream;

use std::{net::IpAddr, sync::Arc};

use async_std::{future::timeout, net::TcpStream};
use http_types::{Body, Method, Request, Response, headers};

use self::{
    counts::{ClientCellCounts, ClientCounts, count},
    error::{ClientError, LostCause, SendFailure},
    exchange::{Exchange, ExchangeFailure},
    pool::{ConnectionPool, PeerAddress},
    settings::ClientSettings,
};
use crate::body::read_body;

/// Bodies of known length up to this many bytes are kept for sending them again, bytes.
const REPLAY_BYTES: usize = 2 << 20;

/// An HTTP/1.1 client with a pool of kept connections for each address. Cheap to clone; clones
/// share the pool.
#[derive(Debug, Clone, Default)]
pub struct HttpClient {
    /// How long to wait.
    settings: ClientSettings,
    /// Kept connections.
    pool: Arc<ConnectionPool>,
    /// What happened.
    counts: Arc<ClientCellCounts>,
}

/// Whether a request may be sent a second time after its connection closed without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Repeat {
    /// It may run twice.
    Allowed,
    /// It may run once only.
    Forbidden,
}

impl HttpClient {
    /// A client with an empty pool.
    pub fn new(settings: ClientSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// A client with other waiting times over the same pool.
    pub fn with_settings(&self, settings: ClientSettings) -> Self {
        Self { settings, ..self.clone() }
    }

    /// Counts since the client's start, of all that share its pool.
    pub fn counts(&self) -> ClientCounts {
        self.counts.snapshot()
    }

    /// Sends `request` to the `ip:port` of its URL and returns the answer as soon as its head has
    /// come; the body streams. The connection goes back to the pool when the body was read to its
    /// end, and is closed when the body is dropped before.
    ///
    /// A kept connection may turn out to be closed by the peer. Requests with an idempotent
    /// method and without a condition (`If-Match` and its kin) are then sent again on a new one;
    /// a conditional write is not: its second run would meet the change of its first.
    ///
    /// # Errors
    /// [`ClientError::NotSent`] when not a byte of the request left; [`ClientError::Lost`] when
    /// it left, wholly or in part, and no answer's head came back.
    pub async fn send(&self, request: Request) -> Result<Response, ClientError> {
        let repeat = default_repeat(&request);
        self.send_counted(request, repeat).await
    }

    /// The same for a request that may run twice whatever its method says: a pooled connection
    /// that turns out to be closed is replaced and the request sent again.
    ///
    /// # Errors
    /// As [`HttpClient::send`].
    pub async fn send_repeatable(&self, request: Request) -> Result<Response, ClientError> {
        self.send_counted(request, Repeat::Allowed).await
    }

    async fn send_counted(
        &self,
        request: Request,
        repeat: Repeat,
    ) -> Result<Response, ClientError> {
        let answer = self.send_pooled(request, repeat).await;
        match &answer {
            Ok(_) => count(&self.counts.answers),
            Err(ClientError::NotSent(_)) => count(&self.counts.not_sent),
            Err(ClientError::Lost(_)) => count(&self.counts.lost),
        }
        answer
    }

    /// Tries a kept connection first, then, where that is safe, a new one.
    async fn send_pooled(
        &self,
        mut request: Request,
        repeat: Repeat,
    ) -> Result<Response, ClientError> {
        let address = peer_address(&request)?;
        let replay = take_replay(&mut request).await?;
        // Whether the first try may have reached the peer: its effect must not be denied because
        // the second one could not even be sent.
        let mut doubtful = false;
        if let (Some(bytes), Some(socket)) = (&replay, self.pool.take(&address, &self.settings)) {
            count(&self.counts.reused);
            let mut copy = request.clone();
            copy.replace_body(bytes.clone());
            let failure = match self.exchange(socket, address.clone(), copy).await {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if !may_send_again(failure, repeat) {
                return Err(failure.error());
            }
            doubtful = failure == ExchangeFailure::ClosedUnanswered;
            count(&self.counts.stale_retried);
        }
        let answer = self.send_fresh(request, replay, address).await;
        match answer {
            Err(ClientError::NotSent(_)) if doubtful => Err(ClientError::Lost(LostCause::Closed)),
            answer => answer,
        }
    }

    /// Sends over a new connection.
    async fn send_fresh(
        &self,
        mut request: Request,
        replay: Option<Vec<u8>>,
        address: PeerAddress,
    ) -> Result<Response, ClientError> {
        let socket = self.connect(&address).await?;
        if let Some(bytes) = replay {
            request.replace_body(bytes);
        }
        let answer = self.exchange(socket, address, request).await;
        answer.map_err(ExchangeFailure::error)
    }

    async fn exchange(
        &self,
        socket: TcpStream,
        address: PeerAddress,
        request: Request,
    ) -> Result<Response, ExchangeFailure> {
        let exchange = Exchange { settings: &self.settings, pool: &self.pool, address };
        exchange.run(socket, request).await
    }

    /// Opens a new connection.
    async fn connect(&self, address: &PeerAddress) -> Result<TcpStream, ClientError> {
        let connecting = TcpStream::connect((address.host.as_str(), address.port));
        let connected = timeout(self.settings.connect_timeout, connecting).await;
        let socket = connected
            .map_err(|_| ClientError::NotSent(SendFailure::ConnectTimedOut))?
            .map_err(|_| ClientError::NotSent(SendFailure::Refused))?;
        count(&self.counts.connected);
        // Without this a request's last small part waits for an acknowledgement.
        let _ = socket.set_nodelay(true);
        Ok(socket)
    }
}

/// Whether the method and headers of `request` let it run twice.
fn default_repeat(request: &Request) -> Repeat {
    let conditions = [headers::IF_MATCH, headers::IF_NONE_MATCH, headers::IF_UNMODIFIED_SINCE];
    let conditional = conditions.into_iter().any(|name| request.header(name).is_some());
    match request.method() {
        Method::Get | Method::Head | Method::Options | Method::Trace => Repeat::Allowed,
        Method::Put | Method::Delete if !conditional => Repeat::Allowed,
        _ => Repeat::Forbidden,
    }
}

/// A kept connection that failed before its answer's first byte was most likely closed while it
/// was idle. Nothing written: any request may go again. Something written: only a repeatable one.
fn may_send_again(failure: ExchangeFailure, repeat: Repeat) -> bool {
    match failure {
        ExchangeFailure::NotSent(_) => true,
        ExchangeFailure::ClosedUnanswered => repeat == Repeat::Allowed,
        ExchangeFailure::Lost(_) => false,
    }
}

/// Where a request goes.
fn peer_address(request: &Request) -> Result<PeerAddress, ClientError> {
    let url = request.url();
    let bad = ClientError::NotSent(SendFailure::BadAddress);
    if url.scheme() != "http" {
        return Err(bad);
    }
    let host = url.host_str().ok_or(bad)?.trim_matches(['[', ']']).to_owned();
    let port = url.port_or_known_default().ok_or(bad)?;
    let host = host.parse::<IpAddr>().map_or(host, |address| address.to_string());
    Ok(PeerAddress { host, port })
}

/// The body's bytes where they are few and known, so that they can be sent twice. A request
/// whose body streams goes over a new connection: on a kept one it could not be sent again.
async fn take_replay(request: &mut Request) -> Result<Option<Vec<u8>>, ClientError> {
    let length = request.len();
    if length.is_none_or(|length| length > REPLAY_BYTES) {
        return Ok(None);
    }
    let body = request.replace_body(Body::empty());
    let bytes = read_body(body, REPLAY_BYTES as u64).await;
    let bytes = bytes.map_err(|_| ClientError::NotSent(SendFailure::BodyUnreadable))?;
    if length != Some(bytes.len()) {
        return Err(ClientError::NotSent(SendFailure::BodyUnreadable));
    }
    Ok(Some(bytes))
}

impl ExchangeFailure {
    /// As the caller sees it.
    fn error(self) -> ClientError {
        match self {
            Self::NotSent(failure) => ClientError::NotSent(failure),
            Self::ClosedUnanswered => ClientError::Lost(LostCause::Closed),
            Self::Lost(cause) => ClientError::Lost(cause),
        }
    }
}
