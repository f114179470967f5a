//! Paces and bounds of placement.

use std::time::Duration;

use notch_types::prelude::*;

/// The placement lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Key of the lease's object.
    pub key: String,
    /// This VM.
    pub vm: VmName,
    /// Drawn at this process's start; with `vm` it tells the writer of a record.
    pub incarnation: Incarnation,
    /// A record unchanged this long, on the watcher's own clock, may be succeeded. The same on
    /// every node.
    pub lease: Duration,
    /// The holder stops this long before its lease is over: clocks may run at slightly different
    /// rates. Shorter than `lease`.
    pub margin: Duration,
    /// The holder renews this often.
    pub renew: Duration,
    /// The first standby reads the object this often; one of rank r every `1 + r` times this.
    pub standby_poll: Duration,
    /// Standbys of a higher rank don't read: it bounds the fleet's calls.
    pub max_standby_rank: u32,
    /// First pause after a call that failed; doubles.
    pub backoff_min: Duration,
    /// Longest pause after calls that failed.
    pub backoff_max: Duration,
    /// A call without an answer for this long counts as unknown.
    pub call_timeout: Duration,
}

impl Default for LeaseSettings {
    fn default() -> Self {
        Self {
            key: "placement/lease".to_owned(),
            vm: VmName::new("vm-1"),
            incarnation: Incarnation(1),
            lease: Duration::from_secs(10),
            margin: Duration::from_secs(1),
            renew: Duration::from_secs(2),
            standby_poll: Duration::from_secs(4),
            max_standby_rank: 2,
            backoff_min: Duration::from_millis(200),
            backoff_max: Duration::from_secs(4),
            call_timeout: Duration::from_secs(3),
        }
    }
}

/// The planner's paces and bounds.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// The lease it acts under.
    pub lease: LeaseSettings,
    /// Rest after the lease was taken: reports of the whole fleet must have come, or a copy not
    /// yet reported would be loaded a second time.
    pub settle: Duration,
    /// Time between two plans.
    pub plan_every: Duration,
    /// Loads under way at once in the fleet, those that wait for a permit included.
    pub loads_at_once: usize,
    /// Changes under way at once that take a copy down: unloads, reloads, role changes.
    pub changes_at_once: usize,
    /// Sidecars read their engine's list at least this often: a report sooner after an order's end
    /// may show the list from before, and only its other fields count.
    pub list_lag: Duration,
    /// A target without a report for this long counts as away.
    pub silent_after: Duration,
    /// A VM away for less than this keeps its copies in the count: most come back by themselves.
    /// A model below its least copies doesn't wait.
    pub repair_delay: Duration,
    /// A VM away for this long is forgotten.
    pub forget_after: Duration,
    /// Copies must have been too many, or spread badly, this long before one is moved.
    pub move_delay: Duration,
    /// A slot made free for a model is kept for it this long.
    pub reserve_for: Duration,
    /// Share of a model's copies in one failure domain that change version at once, 0 to 1; at
    /// least one.
    pub rollout_share: f64,
    /// Rest between failure domains of a version's roll-out.
    pub rollout_soak: Duration,
    /// A roll-out stops after this many loads of the version failed with none done between.
    pub rollout_failures: u32,
    /// An order, or a wish for a permit, without an answer is sent again after this; the pause
    /// doubles up to eight times it.
    pub order_timeout: Duration,
    /// First pause of a model at a target that failed to load it; doubles.
    pub failure_pause: Duration,
    /// Longest such pause.
    pub failure_pause_max: Duration,
    /// Online requests waiting per copy that count as pressure.
    pub queue_high: f64,
    /// Share of the concurrency limit in use below which a model counts as idle.
    pub idle_share: f64,
    /// Pressure must last this long before a copy is added.
    pub pressure_after: Duration,
    /// Idleness must last this long before an added copy is taken back.
    pub idle_after: Duration,
    /// Rest between two changes of a model's number of copies for pressure.
    pub pressure_pause: Duration,
    /// Most copies above the catalogue's number.
    pub extra_max: u32,
    /// A load report older than this counts for nothing.
    pub load_age: Duration,
    /// Most targets known; more are ignored and counted.
    pub max_targets: usize,
    /// Most models; more are ignored and counted.
    pub max_models: usize,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            lease: LeaseSettings::default(),
            settle: Duration::from_secs(15),
            plan_every: Duration::from_secs(1),
            loads_at_once: 8,
            changes_at_once: 8,
            list_lag: Duration::from_secs(2),
            silent_after: Duration::from_secs(30),
            repair_delay: Duration::from_secs(30),
            forget_after: Duration::from_secs(600),
            move_delay: Duration::from_secs(15),
            reserve_for: Duration::from_secs(60),
            rollout_share: 0.25,
            rollout_soak: Duration::from_secs(30),
            rollout_failures: 3,
            order_timeout: Duration::from_secs(10),
            failure_pause: Duration::from_secs(30),
            failure_pause_max: Duration::from_secs(900),
            queue_high: 2.0,
            idle_share: 0.3,
            pressure_after: Duration::from_secs(15),
            idle_after: Duration::from_secs(300),
            pressure_pause: Duration::from_secs(60),
            extra_max: 4,
            load_age: Duration::from_secs(15),
            max_targets: 4_096,
            max_models: 256,
        }
    }
}
