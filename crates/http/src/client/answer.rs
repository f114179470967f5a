//! An answer's body, and the connection's way back to the pool.

use std::sync::Arc;

use http_types::{Body, Method, Response, StatusCode, headers};

use super::{
    error::LostCause,
    pool::{ConnectionPool, PeerAddress},
    settings::ClientSettings,
    stream::ClientStream,
};
use crate::guard::{BodyBounds, BodyOwner, GuardedBody};

/// Where an answer came from and where its connection goes.
pub(super) struct AnswerPlace {
    /// Where the connection goes once the body was read; `None` when it can't be kept.
    pub(super) pool: Option<Arc<ConnectionPool>>,
    /// Where the connection leads.
    pub(super) address: PeerAddress,
    /// How long to wait, and how many connections to keep.
    pub(super) settings: ClientSettings,
    /// The connection.
    pub(super) stream: ClientStream,
}

impl BodyOwner for AnswerPlace {
    fn took(&mut self, _count: u64) {}

    fn ended(&mut self) {
        if let Some(pool) = self.pool.take() {
            pool.put(&self.address, self.stream.socket().clone(), &self.settings);
        }
    }

    fn read_waits(&self) -> bool {
        self.stream.read_waits()
    }
}

/// Checks an answer's framing and puts the guards around its body.
pub(super) fn guard_answer(
    mut response: Response,
    method: Method,
    mut place: AnswerPlace,
) -> Result<Response, LostCause> {
    if wants_close(&response) {
        place.pool = None;
    }
    drop_forged_date(&mut response);
    let announced = announced_length(&response, method)?;
    let bounds = BodyBounds { announced, limit: u64::MAX, silence: place.settings.body_timeout };
    let inner = response.take_body();
    let guarded = GuardedBody::new(inner, place, bounds);
    let body = if announced == Some(0) { Body::empty() } else { guarded.into_body() };
    response.replace_body(body);
    Ok(response)
}

/// The length of the answer's body, `None` when it is chunked.
///
/// The library takes an answer without any framing for an empty one; by RFC 9112 section 6.3 such
/// a body lasts until the connection closes, and a cut one can't be told from a whole one.
fn announced_length(response: &Response, method: Method) -> Result<Option<u64>, LostCause> {
    let status = response.status();
    if status.is_informational() {
        return Err(LostCause::Malformed);
    }
    let bodiless = matches!(status, StatusCode::NoContent | StatusCode::NotModified);
    if bodiless || method == Method::Head {
        return Ok(Some(0));
    }
    if let Some(codings) = response.header(headers::TRANSFER_ENCODING) {
        let chunked = codings.iter().count() == 1
            && codings.last().as_str().trim().eq_ignore_ascii_case("chunked");
        // The library knows this coding in lower case only.
        let known = chunked && response.len().is_none();
        return if known { Ok(None) } else { Err(LostCause::Malformed) };
    }
    let Some(lengths) = response.header(headers::CONTENT_LENGTH) else {
        return Err(LostCause::Malformed);
    };
    let mut lengths = lengths.iter().map(|length| length.as_str().parse::<u64>());
    match (lengths.next(), lengths.next()) {
        (Some(Ok(length)), None) => Ok(Some(length)),
        _ => Err(LostCause::Malformed),
    }
}

fn wants_close(response: &Response) -> bool {
    let values = response.header(headers::CONNECTION).into_iter().flat_map(|values| values.iter());
    let mut tokens = values.flat_map(|value| value.as_str().split(','));
    tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

/// The library adds a date of its own to answers without one, with a line break inside: passed on
/// to a caller it would break that answer's head.
fn drop_forged_date(response: &mut Response) {
    let date = response.header(headers::DATE);
    if date.is_some_and(|date| date.last().as_str().contains('\n')) {
        response.remove_header(headers::DATE);
    }
}
