//! Bounds and paces of the gate, and the policies that catalogue entries set.

use std::time::Duration;

use notch_types::{class::TargetKind, prelude::*};

/// Who starts when slots are free.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AdmissionRule {
    /// Online work first; batch in what is left, and stopped where online work would wait.
    #[default]
    OnlineFirst,
    /// First come, first served; nothing is stopped, nothing is kept free. For measurements: what
    /// the usual rule is held against.
    ArrivalOrder,
}

/// Bounds of one sidecar's gate. All state the gate keeps is bounded by these.
#[derive(Debug, Clone, PartialEq)]
pub struct GateSettings {
    /// The sidecar's VM.
    pub vm: VmName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Drawn at the process's start.
    pub incarnation: Incarnation,
    /// Seed of the jitter in pull pauses.
    pub seed: u64,
    /// Who starts when slots are free.
    pub rule: AdmissionRule,
    /// How long an ended attempt's output stays for a resume.
    pub output_retention: Duration,
    /// Most bytes of ended attempts' output kept; the oldest goes first.
    pub output_bytes: u64,
    /// How long a refused, sealed or forgotten attempt is remembered.
    pub tombstone_retention: Duration,
    /// Most attempts remembered as refused, sealed or forgotten, each kind.
    pub tombstone_count: usize,
    /// How long an online attempt runs on after its gateway's link was lost.
    pub orphan_grace: Duration,
    /// How long a stopped run keeps its slot when the target doesn't confirm the stop.
    pub stop_grace: Duration,
    /// Longest run of a batch item, or of a non-idempotent call past its deadline.
    pub run_bound: Duration,
    /// How long a suspect may wait for its target to be idle.
    pub isolation_wait: Duration,
    /// Longest pause after an isolation before the target is drained for the next suspect; it is as
    /// long as the isolation was.
    pub isolation_pause: Duration,
    /// How long a target that cut a run and answers the probe gets nothing new: a dying process may
    /// answer once more.
    pub cut_pause: Duration,
    /// How long a fingerprint stays a suspect.
    pub suspect_retention: Duration,
    /// Most suspects, and most quarantined fingerprints, remembered.
    pub suspect_count: usize,
    /// Most items asked for in one pull.
    pub lot_items: u32,
    /// How long a pull may stay unanswered.
    pub pull_timeout: Duration,
    /// Shortest pause after `NoWork`; doubles up to [`GateSettings::pull_pause_max`].
    pub pull_pause_min: Duration,
    /// Longest pause after `NoWork`.
    pub pull_pause_max: Duration,
    /// Longest wait of a pulled item for a slot; it goes back after that.
    pub item_wait: Duration,
    /// Most results not yet settled; at this count nothing more is pulled.
    pub result_count: usize,
    /// Most bytes of results not yet settled; above it nothing more is pulled.
    pub result_bytes: usize,
    /// How long a result may stay unsettled before it is sent again.
    pub result_resend: Duration,
    /// How long a cancelled job is remembered.
    pub cancel_retention: Duration,
    /// Most cancelled jobs remembered; the oldest goes first.
    pub cancel_count: usize,
    /// Most shards whose epoch is remembered.
    pub shard_count: usize,
    /// Most orders remembered so that a repeat is answered alike.
    pub order_count: usize,
    /// Longest wait for an order's end.
    pub order_timeout: Duration,
    /// Shortest time between two load reports.
    pub load_interval: Duration,
    /// Most load reports a second on all links together; at least 0.1.
    pub load_reports_per_s: f64,
    /// Longest time between two load reports.
    pub load_refresh: Duration,
    /// How long running online work may go on once the sidecar leaves.
    pub drain_bound: Duration,
    /// Length of one learning window of limits and reserve.
    pub learning_window: Duration,
}

impl Default for GateSettings {
    fn default() -> Self {
        Self {
            vm: VmName::new("target-vm"),
            domain: DomainName::new("domain-1"),
            incarnation: Incarnation(1),
            seed: 1,
            rule: AdmissionRule::default(),
            output_retention: Duration::from_secs(30),
            output_bytes: 48 << 20,
            tombstone_retention: Duration::from_secs(600),
            tombstone_count: 50_000,
            orphan_grace: Duration::from_secs(5),
            stop_grace: Duration::from_millis(250),
            run_bound: Duration::from_secs(600),
            isolation_wait: Duration::from_secs(5),
            isolation_pause: Duration::from_secs(5),
            cut_pause: Duration::from_millis(100),
            suspect_retention: Duration::from_secs(600),
            suspect_count: 1_024,
            lot_items: 32,
            pull_timeout: Duration::from_secs(5),
            pull_pause_min: Duration::from_millis(50),
            pull_pause_max: Duration::from_secs(1),
            item_wait: Duration::from_secs(10),
            result_count: 2_048,
            result_bytes: 32 << 20,
            result_resend: Duration::from_secs(5),
            cancel_retention: Duration::from_secs(3_600),
            cancel_count: 4_096,
            shard_count: 1_024,
            order_count: 256,
            order_timeout: Duration::from_secs(300),
            load_interval: Duration::from_millis(250),
            load_reports_per_s: 8.0,
            load_refresh: Duration::from_secs(5),
            drain_bound: Duration::from_secs(30),
            learning_window: Duration::from_millis(500),
        }
    }
}

/// What the catalogue says of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetPolicy {
    /// Engine or plain service.
    pub kind: TargetKind,
    /// Whether online requests are taken.
    pub takes_online: bool,
    /// Whether batch items are taken.
    pub takes_batch: bool,
    /// Share of the limit that items of late jobs may hold against online work, 0..=1. It never
    /// eats the online reserve.
    pub floor_share: f64,
    /// Upper bound of the learned concurrency limit; at least 1.
    pub max_concurrency: u32,
    /// The limit before anything was learned.
    pub start_concurrency: u32,
    /// Most online attempts waiting for a slot.
    pub queue_length: u32,
    /// Longest wait in the queue, whatever the deadline.
    pub queue_wait: Duration,
    /// Time to first token (whole answer for a service) that online work should see.
    pub first_token_target: Duration,
    /// Time between tokens that online work should see.
    pub between_token_target: Duration,
}

impl Default for TargetPolicy {
    fn default() -> Self {
        Self {
            kind: TargetKind::Engine,
            takes_online: true,
            takes_batch: true,
            floor_share: 0.1,
            max_concurrency: 64,
            start_concurrency: 16,
            queue_length: 32,
            queue_wait: Duration::from_secs(2),
            first_token_target: Duration::from_millis(720),
            between_token_target: Duration::from_millis(74),
        }
    }
}

/// How the deployment weighs online latency against batch throughput.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PolicyWeights {
    /// 1 puts online latency first, 0 batch throughput; within 0..=1.
    pub latency_weight: f64,
    /// Largest share of the limit that the learned online reserve may take, 0..=1.
    pub reserve_share: f64,
}

impl Default for PolicyWeights {
    fn default() -> Self {
        Self { latency_weight: 0.5, reserve_share: 0.25 }
    }
}
