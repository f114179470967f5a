//! Heads of requests and responses.

use crate::{body::BodyFraming, error::WireError, headers::HeaderList};

/// Headers of one message, at most.
pub(crate) const MAX_HEADERS: usize = 96;

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Its method.
    pub method: String,
    /// Path and query as sent.
    pub target: String,
    /// Its headers.
    pub headers: HeaderList,
    /// Whether the connection may be kept after it.
    pub keep_alive: bool,
}

impl RequestHead {
    /// How long the body is.
    ///
    /// # Errors
    /// `Malformed` where two lengths are given or one that can't be read: whoever guesses opens the
    /// way for a request hidden in another one's body.
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
    /// Its status.
    pub status: u16,
    /// Its headers.
    pub headers: HeaderList,
    /// Whether the connection may be kept after it.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// How long the body is.
    ///
    /// # Errors
    /// `Malformed` as for requests.
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
            let plain = encoding.trim().eq_ignore_ascii_case("chunked");
            if plain && encodings.next().is_none() {
                Ok(Some(BodyFraming::Chunked))
            } else {
                Err(WireError::Malformed)
            }
        }
        (None, Some(length)) => {
            let digits = !length.is_empty() && length.bytes().all(|b| b.is_ascii_digit());
            let length = length.parse().ok().filter(|_| digits && lengths.next().is_none());
            length.map(|l| Some(BodyFraming::Length(l))).ok_or(WireError::Malformed)
        }
        (Some(_), Some(_)) => Err(WireError::Malformed),
    }
}

/// Copies parsed headers; their values must be text, and a name may not hide another message.
pub(crate) fn copy_headers(parsed: &[httparse::Header<'_>]) -> Result<HeaderList, WireError> {
    let mut headers = HeaderList::default();
    for header in parsed {
        let value = std::str::from_utf8(header.value).map_err(|_| WireError::Malformed)?;
        headers.push(header.name, value.trim());
    }
    Ok(headers)
}

/// Whether a message of this minor version and these headers leaves its connection open.
pub(crate) fn keeps_alive(minor: u8, headers: &HeaderList) -> bool {
    if headers.lists("connection", "close") {
        return false;
    }
    minor >= 1 || headers.lists("connection", "keep-alive")
}
