//! Load patterns: the arriving load, the fleet that serves it and the failures injected.

use std::time::Duration;

/// A change of the online request rate, as a multiple of the pattern's base rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadStep {
    /// When the step takes effect, from the start of the simulation.
    pub at: Duration,
    /// Multiple of the base rate.
    pub factor: f64,
}

/// A simultaneous failure of several targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoss {
    /// When the targets fail, from the start of the simulation.
    pub at: Duration,
    /// Number of targets that fail.
    pub count: usize,
}

/// A freeze of several gateways: they process nothing, and events for them wait until it ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayFreeze {
    /// When the freeze begins, from the start of the simulation.
    pub at: Duration,
    /// Length of the freeze.
    pub span: Duration,
    /// Number of gateways that freeze.
    pub count: usize,
}

/// A time in which some targets fail a part of their requests, although their health check passes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetFault {
    /// When it begins, from the start of the simulation.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// Number of the first of these targets.
    pub first: usize,
    /// Number of targets.
    pub count: usize,
    /// Share of their requests that they answer with a failure.
    pub share: f64,
}

/// Times in which a random part of the targets is slower.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowSpells {
    /// Share of the targets that are slower at a time.
    pub share: f64,
    /// Factor by which they are slower.
    pub factor: f64,
    /// Time after which other targets are slower.
    pub span: Duration,
}

/// A time in which one account sends more requests than all slots hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountFlood {
    /// When it begins, from the start of the simulation.
    pub at: Duration,
    /// How long it lasts.
    pub span: Duration,
    /// Online requests per second of the account.
    pub per_second: f64,
}

/// Accounts that send the online requests. A client whose request is refused retries once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLoad {
    /// Number of light accounts, which send equal parts of the base load. At least 1.
    pub light: usize,
    /// Flood of one more account.
    pub flood: Option<AccountFlood>,
}

/// A load and the fleet that it runs on.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPattern {
    /// Name on the command line.
    pub name: &'static str,
    /// How long clients send requests and jobs.
    pub span: Duration,
    /// Number of gateways, spread evenly over the failure domains.
    pub gateways: usize,
    /// Number of targets, spread evenly over the failure domains.
    pub targets: usize,
    /// Number of failure domains.
    pub domains: usize,
    /// Slots per target.
    pub slots: u32,
    /// Requests that a target queues once its slots are taken.
    pub queue: u32,
    /// Base rate: online requests per second at a factor of 1.
    pub online_per_second: f64,
    /// Rate changes in order of time. The latest step that has been reached applies.
    pub steps: Vec<LoadStep>,
    /// Streamed events per online answer.
    pub online_events: u32,
    /// Latency objective from a request's arrival to its first event.
    pub objective: Duration,
    /// Job items per second. They arrive in jobs of ten.
    pub items_per_second: f64,
    /// Number of gateways that jobs arrive at; 0 for all.
    pub job_gateways: usize,
    /// Streamed events per item answer.
    pub item_events: u32,
    /// Time from a job's arrival to its deadline.
    pub due: Duration,
    /// One-way network delay between gateways, and between a gateway and a target.
    pub delay: Duration,
    /// Target failures to inject.
    pub losses: Vec<TargetLoss>,
    /// Gateway freezes to inject.
    pub freezes: Vec<GatewayFreeze>,
    /// Factors by which targets are slower than the reference, assigned in turn by target number.
    pub slowdowns: Vec<f64>,
    /// Slow times of targets.
    pub slow_spells: Option<SlowSpells>,
    /// A fault of some targets.
    pub fault: Option<TargetFault>,
    /// Share of the online requests that may run twice.
    pub repeatable_share: f64,
    /// Whether gateways give up an attempt whose first byte is late and make another one.
    pub has_first_byte_timeout: bool,
    /// Accounts of the online requests; `None` if all requests have the same one.
    pub accounts: Option<AccountLoad>,
}

impl Default for LoadPattern {
    /// Load peaks that take nine tenths of all slots for 2.4 s of each 5.8 s, with jobs filling the rest.
    fn default() -> Self {
        Self {
            name: "crests",
            span: Duration::from_secs(24),
            gateways: 28,
            targets: 60,
            domains: 5,
            slots: 7,
            queue: 24,
            online_per_second: 270.0,
            steps: peaks(1.87, 6),
            online_events: 35,
            objective: Duration::from_millis(300),
            items_per_second: 32.0,
            job_gateways: 0,
            item_events: 241,
            due: Duration::from_secs(18),
            delay: Duration::from_micros(1_400),
            losses: Vec::new(),
            freezes: Vec::new(),
            slowdowns: vec![1.0, 1.0, 1.3],
            slow_spells: None,
            fault: None,
            repeatable_share: 1.0,
            has_first_byte_timeout: false,
            accounts: None,
        }
    }
}

/// `count` periods, each with a trough followed by a peak of `factor`.
fn peaks(factor: f64, count: u32) -> Vec<LoadStep> {
    let trough = |number: u32| LoadStep { at: PEAK_PERIOD * number, factor: 0.383 };
    let peak = |number: u32| LoadStep { at: PEAK_PERIOD * number + PEAK_START, factor };
    (0..count).flat_map(|number| [trough(number), peak(number)]).collect()
}

/// From the start of one trough to the start of the next.
const PEAK_PERIOD: Duration = Duration::from_millis(5_800);
/// From the start of a trough to the start of its peak.
const PEAK_START: Duration = Duration::from_millis(3_400);

/// [`PEAK_PERIOD`] and [`PEAK_START`] of the short-replies pattern.
const REPLY_PERIOD: Duration = Duration::from_secs(6);
const REPLY_PEAK_START: Duration = Duration::from_millis(3_600);

impl LoadPattern {
    /// All predefined patterns.
    pub fn all() -> Vec<Self> {
        let base = Self::default;
        let lost = TargetLoss { at: Duration::from_millis(8_500), count: 9 };
        let freeze = GatewayFreeze {
            at: Duration::from_millis(9_400),
            span: Duration::from_secs(3),
            count: 3,
        };
        vec![
            base(),
            Self { name: "calm", steps: Vec::new(), online_per_second: 240.0, ..base() },
            Self {
                name: "high-crests",
                online_per_second: 316.0,
                items_per_second: 40.0,
                ..base()
            },
            Self::timed_peaks(),
            Self { name: "overload", steps: peaks(2.4, 6), ..base() },
            Self { name: "lost-targets", losses: vec![lost], ..base() },
            Self { name: "frozen-gateways", freezes: vec![freeze], ..base() },
            Self::short_replies(),
            Self::uneven_jobs(),
            Self::uneven_targets(),
            Self::flooding_account(),
        ]
    }

    /// Peaks that need more slots than there are, on targets with speeds of 0.6, 1.0 and 1.6. Gateways give up attempts
    /// whose first byte is late; one in five online requests may then run again.
    fn timed_peaks() -> Self {
        Self {
            name: "timed-peaks",
            online_per_second: 380.0,
            items_per_second: 40.0,
            slowdowns: vec![1.0 / 0.6, 1.0, 1.0 / 1.6],
            repeatable_share: 0.2,
            has_first_byte_timeout: true,
            ..Self::default()
        }
    }

    /// Short replies on targets with eight slots: peaks of 2.4 s in each 6 s that need over half of the slots,
    /// alongside jobs.
    fn short_replies() -> Self {
        let trough = |number: u32| LoadStep { at: REPLY_PERIOD * number, factor: 0.391 };
        let peak =
            |number: u32| LoadStep { at: REPLY_PERIOD * number + REPLY_PEAK_START, factor: 1.91 };
        Self {
            name: "short-replies",
            gateways: 24,
            targets: 52,
            domains: 3,
            slots: 8,
            online_per_second: 198.0,
            steps: (0..5).flat_map(|number| [trough(number), peak(number)]).collect(),
            online_events: 22,
            items_per_second: 22.0,
            item_events: 154,
            ..Self::default()
        }
    }

    /// Jobs that land on 4 of 19 gateways, alongside peaks of online requests; targets with speeds of 0.6, 1.0 and
    /// 1.6.
    fn uneven_jobs() -> Self {
        Self {
            name: "uneven-jobs",
            gateways: 19,
            targets: 41,
            domains: 3,
            slots: 8,
            online_per_second: 188.0,
            items_per_second: 23.0,
            job_gateways: 4,
            slowdowns: vec![1.0 / 0.6, 1.0, 1.0 / 1.6],
            // An item runs for 4 to 10 s, and peaks come often enough to be learned.
            item_events: 300,
            span: Duration::from_secs(58),
            steps: peaks(1.87, 10),
            ..Self::default()
        }
    }

    /// Targets with speeds of 0.6, 1.0 and 1.6, of which 15% are 2.5 times slower for 0.6 s at a time, and three fail
    /// 45% of their requests for 8 s. Four of five online requests must not run twice.
    fn uneven_targets() -> Self {
        let (at, span) = (Duration::from_secs(6), Duration::from_secs(8));
        Self {
            name: "uneven-targets",
            gateways: 19,
            targets: 41,
            domains: 3,
            slots: 8,
            online_per_second: 188.0,
            online_events: 22,
            items_per_second: 23.0,
            item_events: 154,
            slowdowns: vec![1.0 / 0.6, 1.0, 1.0 / 1.6],
            slow_spells: Some(SlowSpells {
                share: 0.15,
                factor: 2.5,
                span: Duration::from_millis(600),
            }),
            fault: Some(TargetFault { at, span, first: 5, count: 3, share: 0.45 }),
            repeatable_share: 0.2,
            ..Self::default()
        }
    }

    /// 40 light accounts that need half of all slots, and one that asks for three times all slots for 6 s.
    fn flooding_account() -> Self {
        let flood = AccountFlood {
            at: Duration::from_secs(6),
            span: Duration::from_secs(6),
            // A request occupies a slot for 0.75 s when nearly all slots are in use.
            per_second: 1_680.0,
        };
        Self {
            name: "flooding-account",
            span: Duration::from_secs(18),
            online_per_second: 280.0,
            steps: Vec::new(),
            items_per_second: 0.0,
            accounts: Some(AccountLoad { light: 40, flood: Some(flood) }),
            ..Self::default()
        }
    }

    /// Finds a predefined pattern by its name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|pattern| pattern.name == name)
    }

    /// Online requests per second at `at`.
    pub fn online_rate(&self, at: Duration) -> f64 {
        let step = self.steps.iter().rev().find(|step| step.at <= at);
        self.online_per_second * step.map_or(1.0, |step| step.factor)
    }
}
