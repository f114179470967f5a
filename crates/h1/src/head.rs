//! Heads of requests and responses.

use crate::{body::BodyFraming, error::WireError, headers::HeaderList};

/// Maximum number of headers of a message.
pub(crate) const MAX_HEADERS: usize = 96;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Request target as received: path and query.
    pub target: String,
    /// Headers in order.
    pub headers: HeaderList,
    /// Whether the connection may be reused after it.
    pub keep_alive: bool,
}

impl RequestHead {
    /// Framing of the body.
    ///
    /// # Errors
    /// `Malformed` when the length is ambiguous or invalid. To guess it would allow request smuggling, a request
    /// hidden in the body of another.
    pub fn framing(&self) -> Result<BodyFraming, WireError> {
        match declared_framing(&self.headers)? {
            Some(framing) => Ok(framing),
            None => Ok(BodyFraming::Length(0)),
        }
    }

    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// The query, without its question mark.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |(_, query)| query)
    }
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Headers in order.
    pub headers: HeaderList,
    /// Whether the connection may be reused after it.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Framing of the body.
    ///
    /// # Errors
    /// `Malformed`, as for requests.
    pub fn framing(&self) -> Result<BodyFraming, WireError> {
        if self.status < 200 || matches!(self.status, 204 | 304) {
            return Ok(BodyFraming::Length(0));
        }
        match declared_framing(&self.headers)? {
            Some(framing) => Ok(framing),
            None => Ok(BodyFraming::UntilClose),
        }
    }
}

fn declared_framing(headers: &HeaderList) -> Result<Option<BodyFraming>, WireError> {
    let mut encodings = headers.all("transfer-encoding");
    let mut lengths = headers.all("content-length");
    match (encodings.next(), lengths.next()) {
        (None, None) => Ok(None),
        (Some(encoding), None) => {
            let is_chunked = encoding.trim().eq_ignore_ascii_case("chunked");
            if is_chunked && encodings.next().is_none() {
                Ok(Some(BodyFraming::Chunked))
            } else {
                Err(WireError::Malformed)
            }
        }
        (None, Some(length)) => {
            let is_numeric = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = length.parse().ok().filter(|_| is_numeric && lengths.next().is_none());
            length.map(|l| Some(BodyFraming::Length(l))).ok_or(WireError::Malformed)
        }
        (Some(_), Some(_)) => Err(WireError::Malformed),
    }
}

/// Whether a response to a request of ours may have this status (RFC 9110 section 15). 101 is not an interim response: what
/// follows it is another protocol, for which no request asks.
pub(crate) fn is_status(code: u16) -> bool {
    (100..600).contains(&code) && code != 101
}

/// Copies parsed headers. Values must be valid UTF-8; names are tokens, as the parser rejects all others, so that no name
/// can hide another message.
pub(crate) fn copy_headers(parsed: &[httparse::Header<'_>]) -> Result<HeaderList, WireError> {
    let mut headers = HeaderList::default();
    for header in parsed {
        let value = std::str::from_utf8(header.value).map_err(|_| WireError::Malformed)?;
        headers.push(header.name, value.trim());
    }
    Ok(headers)
}

/// Whether the connection stays open after a message with this HTTP/1 minor version and these headers.
pub(crate) fn keeps_alive(minor: u8, headers: &HeaderList) -> bool {
    if headers.lists("connection", "close") {
        return false;
    }
    minor >= 1 || headers.lists("connection", "keep-alive")
}
