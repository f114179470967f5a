//! The framing of a request's body, checked more strictly than the library does.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use async_std::io::{self, Read};
use http_types::{Request, headers};

use super::{limits::ServerLimits, refusal::EdgeRefusal, stream::ServerStream};
use crate::guard::{BodyBounds, BodyOwner, GuardedBody};

/// What is left of a request's body once its answer was given.
pub(super) struct BodyFraming {
    /// Bytes announced; `None` for a chunked body.
    announced: Option<u64>,
    /// Bytes the handler took.
    taken: Arc<AtomicU64>,
    /// Whether the caller waits for a `100 Continue` before it sends the body.
    expects_continue: bool,
    /// Reads the rest.
    rest: Box<dyn Read + Send + Unpin>,
}

impl BodyFraming {
    /// A connection is not kept after a chunked body: the library's decoder may have taken bytes
    /// of the next request with the body's last ones.
    pub(super) fn is_chunked(&self) -> bool {
        self.announced.is_none()
    }

    /// Announced bytes that the handler did not take.
    pub(super) fn unread(&self) -> u64 {
        let announced = self.announced.unwrap_or(0);
        announced.saturating_sub(self.taken.load(Ordering::Relaxed))
    }

    /// Whether the caller was never asked to send its body: it may send it or not, so nobody can
    /// say where its next request starts.
    pub(super) fn continue_unsent(&self) -> bool {
        self.expects_continue && self.unread() > 0
    }

    /// Reads the rest; whether all of it came.
    pub(super) async fn drain(mut self) -> bool {
        let unread = self.unread();
        unread == 0 || io::copy(&mut self.rest, &mut io::sink()).await.is_ok()
    }
}

/// The announced length of a request's body, `None` when it is chunked.
///
/// The library takes the last of several lengths, allows a sign in it, and reads no body at all
/// under an unknown transfer coding. Each makes this server and a balancer before it disagree on
/// where a request ends, so that a caller could hide a second request in its body.
pub(super) fn body_framing(request: &Request) -> Result<Option<u64>, EdgeRefusal> {
    if let Some(codings) = request.header(headers::TRANSFER_ENCODING) {
        let mut codings = codings.iter();
        let only = codings.next().map(|coding| coding.as_str().trim());
        let chunked = only.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        return if chunked && codings.next().is_none() {
            Ok(None)
        } else {
            Err(EdgeRefusal::BadCoding)
        };
    }
    let Some(lengths) = request.header(headers::CONTENT_LENGTH) else { return Ok(Some(0)) };
    let mut lengths = lengths.iter().map(|length| length.as_str().trim());
    let first = lengths.next().unwrap_or_default();
    let is_number = !first.is_empty() && first.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || lengths.any(|other| other != first) {
        return Err(EdgeRefusal::BadHead);
    }
    first.parse().map(Some).map_err(|_| EdgeRefusal::BadHead)
}

/// Puts the guards around the body of a decoded request.
pub(super) fn guard_request(
    mut request: Request,
    rest: impl Read + Send + Unpin + 'static,
    announced: Option<u64>,
    stream: &ServerStream,
    limits: &ServerLimits,
) -> (Request, BodyFraming) {
    stream.allow_body(announced.unwrap_or(u64::MAX));
    let taken = Arc::new(AtomicU64::new(0));
    let expect = request.header(headers::EXPECT).map(|value| value.as_str());
    let expects_continue = expect.is_some_and(|text| text.eq_ignore_ascii_case("100-continue"));
    if announced != Some(0) {
        let owner = RequestOwner { stream: stream.clone(), taken: taken.clone() };
        let bounds =
            BodyBounds { announced, limit: limits.body_bytes, silence: limits.body_timeout };
        let guarded = GuardedBody::new(request.take_body(), owner, bounds);
        request.replace_body(guarded.into_body());
    }
    let peer = stream.socket().peer_addr().ok();
    request.set_peer_addr(peer);
    (request, BodyFraming { announced, taken, expects_continue, rest: Box::new(rest) })
}

/// The connection of a request's body.
struct RequestOwner {
    /// The connection.
    stream: ServerStream,
    /// Bytes the handler took.
    taken: Arc<AtomicU64>,
}

impl BodyOwner for RequestOwner {
    fn took(&mut self, count: u64) {
        self.taken.fetch_add(count, Ordering::Relaxed);
    }

    fn ended(&mut self) {
        self.stream.body_ended();
    }

    fn read_waits(&self) -> bool {
        self.stream.read_waits()
    }
}
