//! One HTTP exchange with the platform, and how sure one may be of its effect when it fails.

use std::{fmt, time::Duration};

use async_std::future::timeout;
use notch_http::prelude::*;

/// Why an exchange gave no whole answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeFailure {
    /// No byte of the request left this process.
    NeverSent,
    /// A part of the request left, and no whole answer came.
    NoAnswer,
}

impl fmt::Display for ExchangeFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NeverSent => "the request was never sent",
            Self::NoAnswer => "the request was sent and no answer came",
        })
    }
}

impl std::error::Error for ExchangeFailure {}

/// A whole answer.
#[derive(Debug)]
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Response,
    /// The body, whole.
    pub body: Vec<u8>,
}

impl WholeAnswer {
    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status().into()
    }

    /// A header's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// A header's value as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.header(name)?.parse().ok()
    }

    /// How long the platform asks to wait, milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        let millis = self.number(crate::wire::RETRY_AFTER_MS_HEADER);
        let seconds = || self.number("retry-after").map(|seconds| seconds.saturating_mul(1_000));
        millis.or_else(seconds).unwrap_or(DEFAULT_RETRY_AFTER_MS)
    }
}

/// Wait when a refusal names none, milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;
/// The HTTP client's own limits; those of [`Exchanger::send`] are shorter.
const LIBRARY_TIME_LIMIT: Duration = Duration::from_secs(3_600);

/// Headers that make a write conditional.
const CONDITIONS: [&str; 2] = ["if-match", "if-none-match"];
/// Largest body taken from the platform, bytes: a page of changes in hexadecimal digits.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// Where the platform answers, and how long it may take.
#[derive(Debug, Clone)]
pub struct Exchanger {
    address: String,
    time_limit: Duration,
    /// Keeps connections.
    pooled: HttpClient,
    /// Keeps none, and so sends nothing twice; see [`Exchanger::client_of`].
    unpooled: HttpClient,
}

impl Exchanger {
    /// Exchanges with `address` (`ip:port`), each ending within `time_limit`.
    pub fn new(address: &str, time_limit: Duration) -> Self {
        // Connecting gets half of the limit, so that a call that reaches the limit has always
        // been sent: its end is never claimed to be without effect.
        let settings = ClientSettings {
            connect_timeout: time_limit / 2,
            response_timeout: LIBRARY_TIME_LIMIT,
            body_timeout: LIBRARY_TIME_LIMIT,
            ..ClientSettings::default()
        };
        let pooled = HttpClient::new(settings.clone());
        let unpooled = HttpClient::new(ClientSettings { idle_per_address: 0, ..settings });
        Self { address: address.to_string(), time_limit, pooled, unpooled }
    }

    /// The URL of `path`; `None` if address and path make none.
    pub fn url(&self, path: &str) -> Option<Url> {
        Url::parse(&format!("http://{}{path}", self.address)).ok()
    }

    /// Sends `request` and reads the whole answer; ends within the limit plus `extra`.
    ///
    /// # Errors
    /// [`ExchangeFailure`] says whether the request may have had its effect.
    pub async fn send(
        &self,
        request: Request,
        extra: Duration,
    ) -> Result<WholeAnswer, ExchangeFailure> {
        let limit = self.time_limit + extra;
        let answer = timeout(limit, self.exchange(request)).await;
        answer.map_err(|_| ExchangeFailure::NoAnswer)?
    }

    /// What goes wrong: an unconditional write goes out on a kept connection, takes effect, and the
    /// connection is cut. The pooled client holds PUT and DELETE for repeatable and sends again; the
    /// second sending is refused, and the write is reported as surely without effect. One would
    /// notice a "void" write that readers see. Without kept connections nothing is sent twice.
    fn client_of(&self, request: &Request) -> &HttpClient {
        let conditional = CONDITIONS.iter().any(|name| request.header(*name).is_some());
        match request.method() {
            Method::Put | Method::Delete if !conditional => &self.unpooled,
            _ => &self.pooled,
        }
    }

    async fn exchange(&self, request: Request) -> Result<WholeAnswer, ExchangeFailure> {
        let answer = self.client_of(&request).send(request).await;
        let mut head = answer.map_err(|error| match error {
            ClientError::NotSent(_) => ExchangeFailure::NeverSent,
            ClientError::Lost(_) => ExchangeFailure::NoAnswer,
        })?;
        let body = read_body(head.take_body(), MAX_ANSWER_BYTES).await;
        let body = body.map_err(|_| ExchangeFailure::NoAnswer)?;
        Ok(WholeAnswer { head, body })
    }
}
