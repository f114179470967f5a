//! How a shard behaves.

use std::{fmt, time::Duration};

use notch_types::{object::MAX_OBJECT_BYTES, prelude::*};

/// Room left in an object for what surrounds the records, bytes.
const ENVELOPE_BYTES: usize = 4 << 10;

/// Settings of one shard. Every node must use the same `lease` and `grace`.
#[derive(Debug, Clone, PartialEq)]
pub struct ShardSettings {
    /// Which shard.
    pub shard: ShardId,
    /// This VM.
    pub writer: VmName,
    /// This process; drawn anew at each start.
    pub incarnation: Incarnation,
    /// A version of the head unchanged for this long, seen without gap, may be taken over.
    pub lease: Duration,
    /// An owner without anything to commit renews after this.
    pub renew_every: Duration,
    /// An owner that isn't preferred any more keeps the shard at least this long.
    pub least_tenure: Duration,
    /// The preferred node polls the head this often while it isn't the owner; a standby of
    /// rank r every `(1 + 2r)` times this.
    pub poll_every: Duration,
    /// Standbys of a higher rank don't poll. Bounds the fleet's reads.
    pub max_standby_rank: u8,
    /// Delay of a prompt commit when the shard is quiet.
    pub commit_delay_min: Duration,
    /// Delay of a relaxed commit, and of a prompt one under load. In the long run a shard
    /// commits at most three times in twice this time, however many records it takes.
    pub commit_delay_max: Duration,
    /// Commits above the long-run rate that may go at short delay before it is stretched.
    pub commit_burst: u32,
    /// Records stay in the head up to this many bytes; more are written as a segment first.
    pub inline_limit_bytes: usize,
    /// Largest segment, bytes of records.
    pub segment_target_bytes: usize,
    /// Largest record, bytes.
    pub max_record_bytes: usize,
    /// Bound of records accepted and not yet committed, bytes.
    pub max_queue_bytes: usize,
    /// Bound of appends accepted and not yet committed.
    pub max_queue_appends: usize,
    /// A snapshot is asked for after this many segments.
    pub snapshot_every_segments: usize,
    /// Appends are rejected when this many segments wait for a snapshot: bounds the head.
    pub max_segments: usize,
    /// Largest part of a snapshot, bytes.
    pub snapshot_part_bytes: usize,
    /// Calls that a replay, or the writing of segments, keeps in flight at most.
    pub max_parallel_calls: usize,
    /// First delay after a failed call.
    pub backoff_min: Duration,
    /// Longest delay after failed calls; well under the lease, so that after an outage an owner
    /// renews before anyone may take over.
    pub backoff_max: Duration,
    /// A call without an answer for this long counts as unknown.
    pub call_timeout: Duration,
    /// Objects that nothing names are deleted when older than this by the store's clock.
    pub grace: Duration,
    /// Time between sweeps for garbage.
    pub sweep_every: Duration,
    /// Time between calls of a sweep.
    pub sweep_pace: Duration,
    /// Keys in a page of a listing.
    pub sweep_page: u32,
    /// Candidates for deletion remembered from one sweep to the next.
    pub max_candidates: usize,
}

impl Default for ShardSettings {
    fn default() -> Self {
        Self {
            shard: ShardId(0),
            writer: VmName::new("vm"),
            incarnation: Incarnation(0),
            lease: Duration::from_secs(10),
            renew_every: Duration::from_secs(3),
            least_tenure: Duration::from_secs(30),
            poll_every: Duration::from_secs(1),
            max_standby_rank: 2,
            commit_delay_min: Duration::from_millis(10),
            commit_delay_max: Duration::from_millis(400),
            commit_burst: 8,
            inline_limit_bytes: 32 << 10,
            segment_target_bytes: 1_000_000,
            max_record_bytes: 900_000,
            max_queue_bytes: 8 << 20,
            max_queue_appends: 20_000,
            snapshot_every_segments: 64,
            max_segments: 2_048,
            snapshot_part_bytes: 1_000_000,
            max_parallel_calls: 4,
            backoff_min: Duration::from_millis(50),
            backoff_max: Duration::from_secs(2),
            call_timeout: Duration::from_secs(5),
            grace: Duration::from_secs(3_600),
            sweep_every: Duration::from_secs(900),
            sweep_pace: Duration::from_millis(500),
            sweep_page: 256,
            max_candidates: 4_096,
        }
    }
}

/// Settings that can't work, by the name of the setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingsError {
    /// The setting.
    pub setting: &'static str,
    /// What it must be.
    pub rule: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.setting, self.rule)
    }
}

impl std::error::Error for SettingsError {}

impl ShardSettings {
    /// Checks the settings against each other.
    ///
    /// # Errors
    /// The first setting that breaks its rule.
    pub fn check(&self) -> Result<(), SettingsError> {
        let room = MAX_OBJECT_BYTES - ENVELOPE_BYTES;
        let rules = [
            (self.renew_every * 2 <= self.lease, "renew_every", "must be at most half the lease"),
            (
                self.backoff_max * 2 + self.call_timeout <= self.lease,
                "backoff_max",
                "twice, with call_timeout, must fit the lease",
            ),
            (!self.poll_every.is_zero(), "poll_every", "must not be zero"),
            (self.poll_every * 2 <= self.lease, "poll_every", "must be at most half the lease"),
            (
                !self.commit_delay_max.is_zero() && self.commit_delay_min <= self.commit_delay_max,
                "commit_delay_max",
                "must be at least commit_delay_min and not zero",
            ),
            (
                self.commit_delay_max <= self.renew_every,
                "commit_delay_max",
                "must be at most renew_every",
            ),
            (self.commit_burst > 0, "commit_burst", "must be at least 1"),
            (
                self.inline_limit_bytes <= room / 2,
                "inline_limit_bytes",
                "must leave half an object for the rest of the head",
            ),
            (
                self.segment_target_bytes <= room,
                "segment_target_bytes",
                "must fit an object with its envelope",
            ),
            (
                self.max_record_bytes <= self.segment_target_bytes / 10 * 9,
                "max_record_bytes",
                "must be at most nine tenths of segment_target_bytes",
            ),
            (
                self.max_queue_bytes >= self.max_record_bytes,
                "max_queue_bytes",
                "must hold at least one record",
            ),
            (self.max_queue_appends > 0, "max_queue_appends", "must be at least 1"),
            (self.snapshot_every_segments > 0, "snapshot_every_segments", "must be at least 1"),
            (
                self.max_segments >= self.snapshot_every_segments && self.max_segments <= 8_192,
                "max_segments",
                "must be from snapshot_every_segments to 8192",
            ),
            (
                self.snapshot_part_bytes > 0 && self.snapshot_part_bytes <= room,
                "snapshot_part_bytes",
                "must fit an object with its envelope",
            ),
            (self.max_parallel_calls > 0, "max_parallel_calls", "must be at least 1"),
            (
                !self.backoff_min.is_zero() && self.backoff_min <= self.backoff_max,
                "backoff_min",
                "must be from above zero to backoff_max",
            ),
            (self.grace >= self.lease * 4, "grace", "must be at least four leases"),
            (self.sweep_page > 0, "sweep_page", "must be at least 1"),
        ];
        match rules.into_iter().find(|(holds, ..)| !holds) {
            Some((_, setting, rule)) => Err(SettingsError { setting, rule }),
            None => Ok(()),
        }
    }
}
