//! What a server counts.

use std::sync::atomic::{AtomicU64, Ordering};

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
    /// Requests refused before the handler saw them: heads that can't be parsed or break a rule.
    pub heads_refused: u64,
    /// Heads or whole requests that took too long.
    pub slow_requests: u64,
    /// Bodies announced over the limit.
    pub bodies_refused: u64,
    /// Answers given up because the caller stopped reading.
    pub slow_readers: u64,
    /// Callers that went away before their answer's end.
    pub peers_gone: u64,
    /// Answers whose body broke off or was shorter than announced.
    pub answers_cut: u64,
    /// Handlers that panicked.
    pub panics: u64,
}

/// The running counts; each field as in [`ServerCounts`].
#[derive(Debug, Default)]
pub(crate) struct CountCells {
    pub(crate) connections: AtomicU64,
    pub(crate) open_connections: AtomicU64,
    pub(crate) connections_refused: AtomicU64,
    pub(crate) requests: AtomicU64,
    pub(crate) heads_refused: AtomicU64,
    pub(crate) slow_requests: AtomicU64,
    pub(crate) bodies_refused: AtomicU64,
    pub(crate) slow_readers: AtomicU64,
    pub(crate) peers_gone: AtomicU64,
    pub(crate) answers_cut: AtomicU64,
    pub(crate) panics: AtomicU64,
}

/// Adds one.
pub(crate) fn count(cell: &AtomicU64) {
    cell.fetch_add(1, Ordering::Relaxed);
}

impl CountCells {
    /// The counts now.
    pub(crate) fn snapshot(&self) -> ServerCounts {
        let read = |cell: &AtomicU64| cell.load(Ordering::Relaxed);
        ServerCounts {
            connections: read(&self.connections),
            open_connections: read(&self.open_connections),
            connections_refused: read(&self.connections_refused),
            requests: read(&self.requests),
            heads_refused: read(&self.heads_refused),
            slow_requests: read(&self.slow_requests),
            bodies_refused: read(&self.bodies_refused),
            slow_readers: read(&self.slow_readers),
            peers_gone: read(&self.peers_gone),
            answers_cut: read(&self.answers_cut),
            panics: read(&self.panics),
        }
    }
}
