//! What one server allows its callers.

use std::time::Duration;

/// Longest head that the library reads, bytes.
pub const LIBRARY_HEAD_BYTES: usize = 8 * 1_024 - 1;

/// Limits of one server. Every one of them bounds memory or time that a caller can hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServerLimits {
    /// Connections at one time; the next one is answered 503 and closed.
    pub max_connections: usize,
    /// Longest request line and headers together, bytes; [`LIBRARY_HEAD_BYTES`] where it is more.
    pub head_bytes: usize,
    /// Most header lines; at most 128, which is the library's own.
    pub header_count: usize,
    /// Longest body, bytes, whether announced or chunked. Handlers set tighter ones by route.
    pub body_bytes: u64,
    /// From a request's first byte to the end of its head.
    pub head_timeout: Duration,
    /// A connection without a request is closed after this long.
    pub idle_timeout: Duration,
    /// Longest silence inside a request body.
    pub body_timeout: Duration,
    /// From the end of the head to the last byte of the answer.
    pub request_timeout: Duration,
    /// A caller that takes no byte of its answer for this long is given up.
    pub write_timeout: Duration,
    /// Body bytes read and thrown away after the answer so that the connection can be kept; with
    /// more than this unread, the connection is closed instead.
    pub drain_bytes: u64,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            head_bytes: 8_000,
            header_count: 100,
            body_bytes: 8 << 20,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            body_timeout: Duration::from_secs(30),
            request_timeout: Duration::from_secs(900),
            write_timeout: Duration::from_secs(20),
            drain_bytes: 64 << 10,
        }
    }
}
