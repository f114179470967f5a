//! What a client counts.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts since the client's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClientCounts {
    /// Connections opened.
    pub connected: u64,
    /// Requests sent on a kept connection.
    pub reused: u64,
    /// Requests sent again because a kept connection was closed.
    pub stale_retried: u64,
    /// Answers whose head came.
    pub answers: u64,
    /// Requests of which not a byte left.
    pub not_sent: u64,
    /// Requests that left and got no answer.
    pub lost: u64,
}

/// The running counts; each field as in [`ClientCounts`].
#[derive(Debug, Default)]
pub(super) struct ClientCellCounts {
    pub(super) connected: AtomicU64,
    pub(super) reused: AtomicU64,
    pub(super) stale_retried: AtomicU64,
    pub(super) answers: AtomicU64,
    pub(super) not_sent: AtomicU64,
    pub(super) lost: AtomicU64,
}

/// Adds one.
pub(super) fn count(cell: &AtomicU64) {
    cell.fetch_add(1, Ordering::Relaxed);
}

impl ClientCellCounts {
    /// The counts now.
    pub(super) fn snapshot(&self) -> ClientCounts {
        let read = |cell: &AtomicU64| cell.load(Ordering::Relaxed);
        ClientCounts {
            connected: read(&self.connected),
            reused: read(&self.reused),
            stale_retried: read(&self.stale_retried),
            answers: read(&self.answers),
            not_sent: read(&self.not_sent),
            lost: read(&self.lost),
        }
    }
}
