//! Limits and times of a shard's service.

use std::time::Duration;

/// How a shard owner behaves. All bounds are for one shard.
#[derive(Debug, Clone, PartialEq)]
pub struct JobSettings {
    /// Length of a lot's lease; each result or return of the lot starts it anew.
    pub lease: Duration,
    /// Most items of one lot where the target's policy says nothing.
    pub lot_items: u32,
    /// Age after which unnamed chunk objects are deleted; one older than half is refused.
    pub chunk_grace: Duration,
    /// Bound of the cache of parsed chunks, bytes.
    pub chunk_cache_bytes: usize,
    /// Bound of results that wait for their commit, bytes.
    pub buffered_bytes: usize,
    /// Bound of the progress of returned items, bytes.
    pub progress_bytes: usize,
    /// An append without an answer for this long means that the store is down.
    pub append_patience: Duration,
    /// How long after a rejected append new submissions and claims are refused, and what a
    /// refused caller is told to wait.
    pub store_retry: Duration,
    /// What an asker without work is told to wait.
    pub idle_retry: Duration,
    /// First delay of a failed item's next attempt; doubles with each.
    pub backoff_base: Duration,
    /// Longest delay of a failed item's next attempt.
    pub backoff_max: Duration,
    /// Crashes on this many distinct VMs end an item.
    pub crash_limit: usize,
    /// How often a cancellation is pushed again to VMs that have not acknowledged it.
    pub cancel_repeat: Duration,
    /// How long a claim of a non-idempotent request lives at least: the resend window.
    pub claim_window: Duration,
    /// Most requests (claims and answers) held.
    pub max_requests: usize,
    /// Most jobs held, ended ones within their retention included.
    pub max_jobs: usize,
    /// Most items of one job.
    pub max_items: u32,
    /// Most lines of one page of results.
    pub page_lines: u32,
    /// Bound of the bodies of one page of results, bytes; one line is always given.
    pub page_bytes: usize,
    /// Largest body of a stored result or answer, bytes; must fit a ledger record.
    pub body_bytes: usize,
    /// Most items of one job that are with sidecars or wait for another attempt.
    pub tracked_items: usize,
    /// Most calls that wait for a chunk or for records at once.
    pub max_parked: usize,
    /// Longest wait of such a call.
    pub park_time: Duration,
    /// After a takeover, items that may be running under the former owner wait this long for
    /// their results before they are handed out again. Running one twice only wastes work, so it
    /// is far shorter than a lease; items that must not run twice go by their claims instead.
    pub takeover_wait: Duration,
    /// After a takeover, this many items beyond the last ended one may be running under the
    /// former owner; they wait.
    pub takeover_window: u32,
    /// A job with less laxity than this counts as late.
    pub late_margin: Duration,
    /// Items a second assumed before any was measured.
    pub assumed_rate: f64,
    /// How often the backlog is told.
    pub backlog_period: Duration,
    /// How often retention is looked at.
    pub expiry_period: Duration,
}

impl Default for JobSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(30),
            lot_items: 8,
            chunk_grace: Duration::from_secs(3_600),
            chunk_cache_bytes: 32 << 20,
            buffered_bytes: 16 << 20,
            progress_bytes: 8 << 20,
            append_patience: Duration::from_secs(3),
            store_retry: Duration::from_secs(1),
            idle_retry: Duration::from_millis(250),
            backoff_base: Duration::from_millis(500),
            backoff_max: Duration::from_secs(30),
            crash_limit: 2,
            cancel_repeat: Duration::from_millis(500),
            claim_window: Duration::from_secs(24 * 3_600),
            max_requests: 200_000,
            max_jobs: 20_000,
            max_items: 1_000_000,
            page_lines: 256,
            page_bytes: 4 << 20,
            body_bytes: 800_000,
            tracked_items: 20_000,
            max_parked: 1_024,
            park_time: Duration::from_secs(5),
            takeover_wait: Duration::from_secs(2),
            takeover_window: 1_024,
            late_margin: Duration::from_secs(60),
            assumed_rate: 10.0,
            backlog_period: Duration::from_secs(1),
            expiry_period: Duration::from_secs(10),
        }
    }
}

impl JobSettings {
    /// The delay before the attempt that follows `attempts` failed ones.
    pub fn backoff_after(&self, attempts: u32) -> Duration {
        let Some(doublings) = attempts.checked_sub(1) else { return Duration::ZERO };
        self.backoff_base.saturating_mul(1 << doublings.min(16)).min(self.backoff_max)
    }
}
