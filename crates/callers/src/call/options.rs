//! The headers that any call may carry.

use std::time::Duration;

use http_types::{Request, headers};
use notch_types::prelude::*;

use crate::fault::bad;

/// Longest idempotency key, bytes.
pub const KEY_BYTES: usize = 200;
/// Longest deadline a caller may ask for.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(600);
/// Header with the idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the deadline, milliseconds from the request's arrival.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that says whether the target may run the call more than once.
pub const IDEMPOTENT_HEADER: &str = "idempotent";
/// Prefix of the key in the `Authorization` header.
const BEARER: &str = "bearer ";

/// Key, deadline and idempotence of a call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallOptions {
    /// Names the call: a resend under the same key is the same call.
    pub key: Option<String>,
    /// Time left until the answer is of no use; at least 1 ms, at most [`LONGEST_DEADLINE`].
    pub deadline: Option<Duration>,
    /// Whether the target may run it more than once; `None` leaves it to the catalogue.
    pub idempotent: Option<bool>,
}

impl CallOptions {
    /// Reads the headers of `request`.
    pub(super) fn parse(request: &Request) -> Result<Self, Refusal> {
        let key = one_header(request, KEY_HEADER)?.map(check_key).transpose()?;
        let deadline = one_header(request, DEADLINE_HEADER)?.map(parse_deadline).transpose()?;
        let idempotent = match one_header(request, IDEMPOTENT_HEADER)? {
            None => None,
            Some("true") => Some(true),
            Some("false") => Some(false),
            Some(_) => return Err(bad("Idempotent is true or false")),
        };
        Ok(Self { key, deadline, idempotent })
    }
}

/// A header that may come once; two of them would mean two things.
fn one_header<'a>(request: &'a Request, name: &str) -> Result<Option<&'a str>, Refusal> {
    let Some(values) = request.header(name) else { return Ok(None) };
    let mut values = values.iter();
    match (values.next(), values.next()) {
        (Some(value), None) => Ok(Some(value.as_str().trim())),
        _ => Err(bad(&format!("the header {name} comes more than once"))),
    }
}

/// Checks an idempotency key.
pub(super) fn check_key(key: &str) -> Result<String, Refusal> {
    let printable = key.bytes().all(|byte| (b' '..=b'~').contains(&byte));
    if key.is_empty() || key.len() > KEY_BYTES || !printable {
        return Err(bad("an idempotency key is 1 to 200 printable ASCII characters"));
    }
    Ok(key.to_owned())
}

fn parse_deadline(text: &str) -> Result<Duration, Refusal> {
    let longest = LONGEST_DEADLINE.as_millis() as u64;
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let millis: Option<u64> = text.parse().ok().filter(|_| digits);
    match millis {
        Some(millis) if (1..=longest).contains(&millis) => Ok(Duration::from_millis(millis)),
        _ => Err(bad(&format!("X-Deadline-Ms is a number of milliseconds from 1 to {longest}"))),
    }
}

/// The bearer key, as text.
pub(super) fn bearer(request: &Request) -> Result<Option<String>, Refusal> {
    let Some(value) = one_header(request, headers::AUTHORIZATION.as_str())? else {
        return Ok(None);
    };
    let scheme = value.get(..BEARER.len()).filter(|scheme| scheme.eq_ignore_ascii_case(BEARER));
    let key = scheme.map(|_| value[BEARER.len()..].trim()).filter(|key| !key.is_empty());
    let unauthorized = || Refusal::not_run(RefusalReason::Unauthorized, "not a bearer key");
    key.map(|key| Some(key.to_owned())).ok_or_else(unauthorized)
}
