//! Load patterns: what comes, on which targets, and what breaks.

use std::time::Duration;

/// Online requests from a moment on, as a multiple of the pattern's rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LoadStep {
    /// From the start of the play.
    pub at: Duration,
    /// Multiple of the rate.
    pub factor: f64,
}

/// Targets that are lost at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetLoss {
    /// From the start of the play.
    pub at: Duration,
    /// How many.
    pub count: usize,
}

/// A gateway that stands still for a while: it answers nobody, and what comes to it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GatewayFreeze {
    /// From the start of the play.
    pub at: Duration,
    /// For how long.
    pub span: Duration,
    /// How many gateways.
    pub count: usize,
}

/// One load on one fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPattern {
    /// Its name on the command line.
    pub name: &'static str,
    /// How long clients send.
    pub span: Duration,
    /// Gateways, spread over the failure domains.
    pub gateways: usize,
    /// Targets, spread over the failure domains.
    pub targets: usize,
    /// Failure domains.
    pub domains: usize,
    /// Places of a target.
    pub slots: u32,
    /// Requests that a target queues beyond its places.
    pub queue: u32,
    /// Online requests a second, at a factor of 1.
    pub online_per_second: f64,
    /// Changes of the rate, in order. The last one before a moment counts.
    pub steps: Vec<LoadStep>,
    /// Events of an online answer.
    pub online_events: u32,
    /// From the arrival to the first event, for an answer to be in time.
    pub objective: Duration,
    /// Items a second. They come in jobs of ten.
    pub items_per_second: f64,
    /// Events of an item's answer.
    pub item_events: u32,
    /// From a job's arrival until its items are due.
    pub due: Duration,
    /// One way between gateways, and from a gateway to a target.
    pub delay: Duration,
    /// Targets that are lost.
    pub losses: Vec<TargetLoss>,
    /// Gateways that stand still.
    pub freezes: Vec<GatewayFreeze>,
}

impl Default for LoadPattern {
    /// Crests that take nine tenths of all places for 2.4 s of each 5.8 s, with jobs between.
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
            steps: crests(1.87),
            online_events: 35,
            objective: Duration::from_millis(300),
            items_per_second: 32.0,
            item_events: 241,
            due: Duration::from_secs(18),
            delay: Duration::from_micros(1_400),
            losses: Vec::new(),
            freezes: Vec::new(),
        }
    }
}

/// Alternates between a trough and a crest of `factor`.
fn crests(factor: f64) -> Vec<LoadStep> {
    let trough = |number: u32| LoadStep { at: CREST_PERIOD * number, factor: 0.383 };
    let crest = |number: u32| LoadStep { at: CREST_PERIOD * number + CREST_START, factor };
    (0..6).flat_map(|number| [trough(number), crest(number)]).collect()
}

/// From one trough to the next.
const CREST_PERIOD: Duration = Duration::from_millis(5_800);
/// From the beginning of a trough to the crest.
const CREST_START: Duration = Duration::from_millis(3_400);

/// The same of short replies.
const REPLY_PERIOD: Duration = Duration::from_secs(6);
const REPLY_CREST_START: Duration = Duration::from_millis(3_600);

impl LoadPattern {
    /// Every pattern there is.
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
            Self { name: "overload", steps: crests(2.4), ..base() },
            Self { name: "lost-targets", losses: vec![lost], ..base() },
            Self { name: "frozen-gateways", freezes: vec![freeze], ..base() },
            Self::short_replies(),
        ]
    }

    /// Short replies on targets with eight places: crests of 2.4 s in each 6 s that need over half of the places,
    /// beside jobs.
    fn short_replies() -> Self {
        let trough = |number: u32| LoadStep { at: REPLY_PERIOD * number, factor: 0.391 };
        let crest =
            |number: u32| LoadStep { at: REPLY_PERIOD * number + REPLY_CREST_START, factor: 1.91 };
        Self {
            name: "short-replies",
            gateways: 24,
            targets: 52,
            domains: 3,
            slots: 8,
            online_per_second: 198.0,
            steps: (0..5).flat_map(|number| [trough(number), crest(number)]).collect(),
            online_events: 22,
            items_per_second: 22.0,
            item_events: 154,
            ..Self::default()
        }
    }

    /// The pattern with that name.
    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|pattern| pattern.name == name)
    }

    /// Online requests a second at `at`.
    pub fn online_rate(&self, at: Duration) -> f64 {
        let step = self.steps.iter().rev().find(|step| step.at <= at);
        self.online_per_second * step.map_or(1.0, |step| step.factor)
    }
}
