//! Counts of calls to the object API, by kind and by how they ended.

use std::sync::atomic::{AtomicU64, Ordering};

use notch_types::object::{StoreFailure, StoreOp, StoreResult};

/// The kinds of calls to the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallKind {
    /// A read of one object.
    Get,
    /// A write.
    Put,
    /// A deletion.
    Delete,
    /// A page of a listing.
    List,
    /// A watch; it counts once, however long it waits.
    Watch,
}

impl CallKind {
    /// Every kind.
    pub const ALL: [CallKind; 5] = [Self::Get, Self::Put, Self::Delete, Self::List, Self::Watch];

    /// The kind of an operation.
    pub fn of(op: &StoreOp) -> Self {
        match op {
            StoreOp::Get { .. } => Self::Get,
            StoreOp::Put { .. } => Self::Put,
            StoreOp::Delete { .. } => Self::Delete,
            StoreOp::List { .. } => Self::List,
            StoreOp::Watch { .. } => Self::Watch,
        }
    }

    /// Whether the call can change anything.
    pub fn writes(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }

    /// The metric label.
    pub fn code(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::List => "list",
            Self::Watch => "watch",
        }
    }
}

/// How a call ended, without its values.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CallEnd {
    /// It was answered.
    Done,
    /// The condition didn't hold.
    Conflict,
    /// The value was too large.
    TooLarge,
    /// The platform, or the local budget, asked for patience.
    Throttled,
    /// It surely had no effect.
    Unavailable,
    /// It may have had its effect.
    Unknown,
    /// The answer could not be understood.
    Malformed,
}

impl CallEnd {
    /// Every end.
    pub const ALL: [CallEnd; 7] = [
        Self::Done,
        Self::Conflict,
        Self::TooLarge,
        Self::Throttled,
        Self::Unavailable,
        Self::Unknown,
        Self::Malformed,
    ];

    /// How `result` ended.
    pub fn of(result: &StoreResult) -> Self {
        match result {
            Ok(_) => Self::Done,
            Err(StoreFailure::Conflict(_)) => Self::Conflict,
            Err(StoreFailure::TooLarge) => Self::TooLarge,
            Err(StoreFailure::Throttled { .. }) => Self::Throttled,
            Err(StoreFailure::Unavailable) => Self::Unavailable,
            Err(StoreFailure::Unknown) => Self::Unknown,
            Err(StoreFailure::Malformed) => Self::Malformed,
        }
    }

    /// The metric label.
    pub fn code(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Conflict => "conflict",
            Self::TooLarge => "too_large",
            Self::Throttled => "throttled",
            Self::Unavailable => "unavailable",
            Self::Unknown => "unknown",
            Self::Malformed => "malformed",
        }
    }
}

/// Counts since the process started.
#[derive(Debug, Default)]
pub struct CallMeter {
    counts: [[AtomicU64; CallEnd::ALL.len()]; CallKind::ALL.len()],
}

impl CallMeter {
    /// Counts one call.
    pub fn record(&self, kind: CallKind, end: CallEnd) {
        self.counts[kind as usize][end as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Calls of `kind` that ended as `end`.
    pub fn count(&self, kind: CallKind, end: CallEnd) -> u64 {
        self.counts[kind as usize][end as usize].load(Ordering::Relaxed)
    }

    /// All calls of `kind`.
    pub fn total(&self, kind: CallKind) -> u64 {
        CallEnd::ALL.iter().map(|end| self.count(kind, *end)).sum()
    }
}
