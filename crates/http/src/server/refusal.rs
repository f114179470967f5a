//! What the server answers by itself, without its handler.

use http_types::{Response, StatusCode, headers};

/// Why the server answered in place of its handler.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EdgeRefusal {
    /// The head can't be parsed.
    BadHead,
    /// HTTP/1.0 is not spoken.
    OldVersion,
    /// The head is too long or has too many lines.
    HeadTooLarge,
    /// A transfer coding other than `chunked`.
    BadCoding,
    /// The announced body is over the limit.
    BodyTooLarge,
    /// The head took too long.
    SlowHead,
    /// Too many connections.
    TooManyConnections,
    /// The whole request took too long; the handler was dropped in the midst of it.
    RequestTimedOut,
    /// The handler panicked.
    HandlerFailed,
    /// The handler's answer has a header that would break the framing.
    BadAnswer,
}

impl EdgeRefusal {
    /// The status of the answer.
    fn status(self) -> StatusCode {
        match self {
            Self::BadHead => StatusCode::BadRequest,
            Self::OldVersion => StatusCode::HttpVersionNotSupported,
            Self::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            Self::BadCoding => StatusCode::NotImplemented,
            Self::BodyTooLarge => StatusCode::PayloadTooLarge,
            Self::SlowHead => StatusCode::RequestTimeout,
            Self::TooManyConnections => StatusCode::ServiceUnavailable,
            Self::RequestTimedOut => StatusCode::GatewayTimeout,
            Self::HandlerFailed | Self::BadAnswer => StatusCode::InternalServerError,
        }
    }

    /// The stable code, one of those that callers know.
    fn code(self) -> &'static str {
        match self {
            Self::BadHead | Self::OldVersion | Self::BadCoding | Self::SlowHead => "bad_request",
            Self::HeadTooLarge | Self::BodyTooLarge => "too_large",
            Self::TooManyConnections => "overloaded",
            Self::RequestTimedOut => "deadline_passed",
            Self::HandlerFailed | Self::BadAnswer => "internal",
        }
    }

    /// Whether the request may have run: only once a handler had it.
    fn ran(self) -> &'static str {
        match self {
            Self::RequestTimedOut | Self::HandlerFailed | Self::BadAnswer => "unknown",
            _ => "no",
        }
    }

    /// One sentence for a person; holds no character that JSON escapes.
    fn message(self) -> &'static str {
        match self {
            Self::BadHead => "the request's head can't be parsed",
            Self::OldVersion => "only HTTP/1.1 is spoken here",
            Self::HeadTooLarge => "the request's head is over the limit",
            Self::BadCoding => "only the chunked transfer coding is known",
            Self::BodyTooLarge => "the body is over the limit",
            Self::SlowHead => "the request's head took too long",
            Self::TooManyConnections => "too many connections",
            Self::RequestTimedOut => "the request took too long",
            Self::HandlerFailed | Self::BadAnswer => "a fault of the server",
        }
    }

    /// The answer, after which the connection closes.
    pub(crate) fn response(self) -> Response {
        let (code, ran, message) = (self.code(), self.ran(), self.message());
        let text = format!(
            "{{\"error\":{{\"code\":\"{code}\",\"ran\":\"{ran}\",\"message\":\"{message}\"}}}}\n"
        );
        let mut response = Response::new(self.status());
        response.set_body(text);
        response.insert_header(headers::CONTENT_TYPE, "application/json");
        response.insert_header(headers::CONNECTION, "close");
        response
    }
}
