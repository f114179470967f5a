//! Whether a target answers, and what it tells of itself.

/// A probe's result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetProbe {
    /// It answers.
    Up {
        /// The target's own start number, if it tells.
        instance: Option<u64>,
    },
    /// Nobody listens: the process is gone.
    Refused,
    /// A connection stood and was cut before the answer.
    Cut,
    /// A connection stood and nothing came in time.
    Silent,
}

/// News of a prefix cache: late, with gaps, a hint only.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CacheReport {
    /// Where the next reading starts.
    pub cursor: u64,
    /// Whether events before these were lost, or the cache was emptied: all held is void.
    pub reset: bool,
    /// Digests of prompt heads, oldest first, each with whether it came or went.
    pub events: Vec<(u64, bool)>,
}
