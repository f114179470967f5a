//! Numbers that the router goes by.

use std::time::Duration;

/// Settings of an [`OnlineRouter`](crate::OnlineRouter). The defaults suit a fleet whose online
/// requests are due within seconds.
#[derive(Debug, Clone, PartialEq)]
pub struct RouterSettings {
    /// The gateway's own failure domain; near sidecars are preferred.
    pub domain: String,
    /// Deadline of a request that names none and whose target sets none.
    pub default_deadline: Duration,
    /// Most requests known at once; more are refused as overloaded.
    pub max_requests: usize,
    /// Most callers waiting for one keyed request.
    pub max_followers: usize,
    /// How a sidecar is chosen.
    pub choice: ChoiceSettings,
    /// How tries are repeated.
    pub retry: RetrySettings,
    /// How non-idempotent and keyed requests use the ledger.
    pub claim: ClaimSettings,
    /// How a sidecar's circuit opens and closes.
    pub circuit: CircuitSettings,
    /// How requests that crash targets are found.
    pub quarantine: QuarantineSettings,
    /// How accounts are limited.
    pub account: AccountSettings,
}

impl Default for RouterSettings {
    fn default() -> Self {
        Self {
            domain: String::new(),
            default_deadline: Duration::from_secs(30),
            max_requests: 100_000,
            max_followers: 16,
            choice: ChoiceSettings::default(),
            retry: RetrySettings::default(),
            claim: ClaimSettings::default(),
            circuit: CircuitSettings::default(),
            quarantine: QuarantineSettings::default(),
            account: AccountSettings::default(),
        }
    }
}

/// Settings of the choice between two sidecars. Scores are load over limit, so 1.0 is a full
/// sidecar; every tilt is bounded by the figures below.
#[derive(Debug, Clone, PartialEq)]
pub struct ChoiceSettings {
    /// Taken off the score of a sidecar in the gateway's own failure domain.
    pub near_tilt: f64,
    /// Taken off the score of a sidecar whose prefix cache likely holds the prompt's head.
    pub warm_tilt: f64,
    /// A sidecar at or above this score gets no warm tilt: a hot prefix can't overload it.
    pub warm_ceiling: f64,
    /// Added to the score in proportion to batch work running, which online work would displace.
    pub batch_tilt: f64,
    /// Most work offered to one sidecar, as a multiple of its limit; the part over 1.0 waits in
    /// the sidecar's short admission queue.
    pub full_ratio: f64,
    /// A load report older than this counts no more; only the gateway's own outstanding does.
    pub report_age: Duration,
}

impl Default for ChoiceSettings {
    fn default() -> Self {
        Self {
            near_tilt: 0.10,
            warm_tilt: 0.30,
            warm_ceiling: 0.75,
            batch_tilt: 0.05,
            full_ratio: 1.5,
            report_age: Duration::from_secs(3),
        }
    }
}

/// Settings of retries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetrySettings {
    /// Retries as a share of first tries, for each target.
    pub budget_share: f64,
    /// Retries each target may always make, per second.
    pub budget_floor_per_s: f64,
    /// Most retries saved up.
    pub budget_cap: f64,
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
    /// Upper bound of the first wait; doubled for each further one, drawn from zero to the bound.
    pub backoff_base: Duration,
    /// Upper bound of every wait.
    pub backoff_cap: Duration,
    /// Without a sign of the attempt for this long, the router asks for a seal.
    pub start_wait: Duration,
    /// Without an answer to the seal for this long, the attempt counts as lost.
    pub seal_wait: Duration,
    /// Kept free before the deadline: nothing is dispatched with less time left.
    pub dispatch_margin: Duration,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            budget_share: 0.10,
            budget_floor_per_s: 0.5,
            budget_cap: 50.0,
            max_attempts: 3,
            backoff_base: Duration::from_millis(20),
            backoff_cap: Duration::from_secs(1),
            start_wait: Duration::from_secs(2),
            seal_wait: Duration::from_millis(500),
            dispatch_margin: Duration::from_millis(5),
        }
    }
}

/// Settings of claims and stored answers.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimSettings {
    /// Without an answer to a claim for this long, the same claim is asked again.
    pub ask_again: Duration,
    /// Most time spent on getting a claim before the request is refused as not run.
    pub claim_wait: Duration,
    /// First wait before asking again about a claim that another attempt holds.
    pub held_base: Duration,
    /// Upper bound of these waits.
    pub held_cap: Duration,
    /// Most time spent waiting for the other attempt.
    pub held_wait: Duration,
    /// After this long, the sidecar of the other attempt is asked for a seal, when it is known.
    pub foreign_seal_after: Duration,
    /// Most time an idempotent keyed request waits for the look-up of a stored answer.
    pub fetch_wait: Duration,
    /// Most time the answer of a non-idempotent request waits for its record.
    pub record_wait: Duration,
    /// Most time an answer is kept while its record is tried again.
    pub record_keep: Duration,
    /// Most answers kept for that; the record of a further one isn't tried again.
    pub max_recording: usize,
    /// How long after its deadline a non-idempotent attempt without callers is listened to.
    pub linger: Duration,
    /// How long it is remembered that a keyed request may have started here, or that an attempt
    /// with a claim never will.
    pub start_memory_age: Duration,
    /// Most such requests remembered, and most such attempts. When more are started, refusals of keyed requests say
    /// `unknown` instead of `not_run` for a while.
    pub start_memory_size: usize,
    /// Whether a keyed request that the ledger hasn't spoken on is refused as `unknown`, since an
    /// earlier send of it may have run through another gateway. When off, `not_run` speaks of
    /// the sends that this gateway knows.
    pub doubt_other_gateways: bool,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        Self {
            ask_again: Duration::from_millis(500),
            claim_wait: Duration::from_secs(3),
            held_base: Duration::from_millis(100),
            held_cap: Duration::from_secs(1),
            held_wait: Duration::from_secs(10),
            foreign_seal_after: Duration::from_secs(1),
            fetch_wait: Duration::from_millis(100),
            record_wait: Duration::from_secs(2),
            record_keep: Duration::from_secs(60),
            max_recording: 1_000,
            linger: Duration::from_secs(5),
            start_memory_age: Duration::from_secs(600),
            start_memory_size: 65_536,
            doubt_other_gateways: false,
        }
    }
}

/// Settings of circuits, one for each sidecar and target.
#[derive(Debug, Clone, PartialEq)]
pub struct CircuitSettings {
    /// Failures in a row that open a circuit.
    pub open_after: u32,
    /// First time a circuit stays open; drawn between half of it and the whole.
    pub open_base: Duration,
    /// Upper bound of that time as it doubles.
    pub open_cap: Duration,
}

impl Default for CircuitSettings {
    fn default() -> Self {
        Self { open_after: 3, open_base: Duration::from_secs(1), open_cap: Duration::from_secs(30) }
    }
}

/// Settings of suspects and quarantine.
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineSettings {
    /// Distinct VMs a fingerprint must crash, of which the last while it ran alone.
    pub crash_vms: usize,
    /// Longest wait for the other gateways to know of a crash before a caller is told of it. An answer takes a
    /// few milliseconds on a sound link.
    pub tell_wait: Duration,
    /// How long a suspect is remembered after its last crash.
    pub suspect_age: Duration,
    /// How long a quarantine holds.
    pub quarantine_age: Duration,
    /// Most suspects remembered; the oldest goes first.
    pub max_suspects: usize,
    /// Most quarantined fingerprints remembered; the oldest goes first.
    pub max_quarantined: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crash_vms: 2,
            tell_wait: Duration::from_millis(200),
            suspect_age: Duration::from_secs(600),
            quarantine_age: Duration::from_secs(24 * 3600),
            max_suspects: 4_096,
            max_quarantined: 16_384,
        }
    }
}

/// Settings of account limits.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountSettings {
    /// Least share; a gateway that was never asked can still serve a first request.
    pub min_share: f64,
    /// An account is spoken of when its demand here, if it were the same at every gateway, would
    /// pass this part of its limit.
    pub near: f64,
    /// How often the use of accounts near their limit is told, at the most.
    pub rumor_every: Duration,
    /// Most accounts told of at a time, those nearest to their limit first.
    pub rumor_batch: usize,
    /// Most rumours a second of all gateways together; with many gateways each tells less often.
    pub rumors_per_s: f64,
    /// Time constant of the smoothed demand.
    pub demand_window: Duration,
    /// A rumour older than this counts no more.
    pub rumor_age: Duration,
    /// Idle accounts are forgotten after this long.
    pub idle_age: Duration,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            min_share: 0.02,
            near: 0.5,
            rumor_every: Duration::from_secs(1),
            rumor_batch: 8,
            rumors_per_s: 40.0,
            demand_window: Duration::from_secs(5),
            rumor_age: Duration::from_secs(10),
            idle_age: Duration::from_secs(120),
        }
    }
}
