//! Settings of the catalogue node.

use std::time::Duration;

/// Settings of the catalogue node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CatalogueSettings {
    /// Gateways of each failure domain that watch the store.
    pub watchers_per_domain: usize,
    /// Longest wait of one watch call.
    pub watch_wait: Duration,
    /// Time beyond `watch_wait` after which a watch is held hung and given up.
    pub watch_grace: Duration,
    /// Time between polls by the first watcher of each domain, for a watch can hang unnoticed.
    pub poll_interval: Duration,
    /// Time between audits: a listing of all entries against what is in force.
    pub audit_interval: Duration,
    /// Time without an answer after which any other call is given up.
    pub call_timeout: Duration,
    /// Shortest and longest wait after a failed call; doubles in between.
    pub retry_min: Duration,
    /// See `retry_min`.
    pub retry_max: Duration,
    /// Entries a listing page holds.
    pub list_page: u32,
    /// Reads of single entries in flight.
    pub max_reads: usize,
    /// Partners that get each push.
    pub push_fanout: usize,
    /// Bytes of pushes that may leave at once; what is over is left to anti-entropy.
    pub push_burst: usize,
    /// Bytes of pushes a second in the long run.
    pub push_rate: usize,
    /// Time between digests sent to one partner.
    pub root_interval: Duration,
    /// Time without an answer after which a partner's repair is given up.
    pub repair_timeout: Duration,
    /// Bytes of entries on one message.
    pub message_bytes: usize,
    /// How long a starting node asks its peers before it loads from the store.
    pub peers_first: Duration,
    /// How long a survey waits for answers.
    pub survey_wait: Duration,
    /// Most entries held; further new ones are refused and counted.
    pub max_entries: usize,
    /// Most sidecars followed.
    pub max_sidecars: usize,
}

impl Default for CatalogueSettings {
    fn default() -> Self {
        Self {
            watchers_per_domain: 3,
            watch_wait: Duration::from_secs(20),
            watch_grace: Duration::from_secs(5),
            poll_interval: Duration::from_millis(2_500),
            audit_interval: Duration::from_secs(600),
            call_timeout: Duration::from_secs(5),
            retry_min: Duration::from_millis(500),
            retry_max: Duration::from_secs(10),
            list_page: 1_000,
            max_reads: 16,
            push_fanout: 4,
            push_burst: 64 * 1_024,
            push_rate: 4 * 1_024,
            root_interval: Duration::from_secs(1),
            repair_timeout: Duration::from_secs(2),
            message_bytes: 256 * 1_024,
            peers_first: Duration::from_secs(2),
            survey_wait: Duration::from_millis(1_500),
            max_entries: 65_536,
            max_sidecars: 4_096,
        }
    }
}
