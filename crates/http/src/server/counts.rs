//! What a server counts.

/// Counts since the server's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerCounts {
    /// Connections accepted.
    pub connections: u64,
    /// Connections open now.
    pub open_connections: u64,
    /// Connections refused because of the limit.
    pub connections_refused: u64,
    /// Requests handed to the handler.
    pub requests: u64,
    /// Heads that could not be parsed or broke a rule.
    pub heads_refused: u64,
    /// Heads or bodies that took too long.
    pub slow_requests: u64,
    /// Bodies over the limit.
    pub bodies_refused: u64,
    /// Answers given up because the caller stopped reading.
    pub slow_readers: u64,
    /// Callers that went away before their answer's end.
    pub peers_gone: u64,
    /// Answers whose body broke off or was longer or shorter than announced.
    pub answers_cut: u64,
    /// Handlers that panicked.
    pub panics: u64,
}
