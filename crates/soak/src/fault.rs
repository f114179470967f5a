//! The faults that a soak test injects, drawn at random.

use std::time::Duration;

use notch_platform_standins::target::Conduct;
use rand::{RngExt, rngs::SmallRng};

use crate::proxy::ProxyMode;

/// One fault. A fault with a duration is undone after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// Kills a gateway and starts it again after a pause.
    Kill {
        /// Index of the gateway.
        gateway: usize,
        /// Time from the kill to the start.
        pause: Duration,
    },
    /// Kills all gateways at once and starts them again after a pause.
    KillAll {
        /// Time from the kill to the start.
        pause: Duration,
    },
    /// Tells a gateway to stop and starts it again once it has ended.
    Stop {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Freezes a gateway's process.
    Pause {
        /// Index of the gateway.
        gateway: usize,
        /// Length of the fault.
        duration: Duration,
    },
    /// Makes a gateway reload its settings.
    Reload {
        /// Index of the gateway.
        gateway: usize,
    },
    /// Disturbs a gateway's connections to the store.
    StorePath {
        /// Index of the gateway.
        gateway: usize,
        /// Mode of the proxy.
        mode: ProxyMode,
        /// Length of the fault.
        duration: Duration,
    },
    /// Disturbs the links of all gateways from an index on. Of two gateways the one with the lower index dials, through
    /// the other one's proxy, so those below the index keep their links to each other.
    LinkPath {
        /// The index, at least 1.
        first: usize,
        /// Mode of the proxy.
        mode: ProxyMode,
        /// Length of the fault.
        duration: Duration,
    },
    /// Disturbs the connections to a target.
    TargetPath {
        /// Index of the target.
        target: usize,
        /// Mode of the proxy.
        mode: ProxyMode,
        /// Length of the fault.
        duration: Duration,
    },
    /// Makes a target answer its next requests with faults.
    TargetAnswers {
        /// Index of the target.
        target: usize,
        /// Conduct for each of the next requests.
        conduct: Vec<Conduct>,
    },
    /// The store rejects all calls.
    StoreDown {
        /// Length of the fault.
        duration: Duration,
    },
    /// The store applies the next writes of a kind without answering them.
    LostWrites {
        /// Kind of the written objects.
        kind: &'static str,
        /// Number of writes.
        count: usize,
    },
    /// The operator writes a new configuration.
    Configuration,
    /// Most new connections come to one gateway, and many more are opened there that send nothing.
    Flood {
        /// Index of the gateway.
        gateway: usize,
        /// Number of the silent connections.
        connections: usize,
        /// Length of the fault.
        duration: Duration,
    },
    /// All targets are replaced by ones of a later version, while a gateway hears neither of the store nor of the others.
    Release {
        /// Index of the gateway.
        gateway: usize,
        /// How it is out of step.
        lag: GatewayLag,
        /// Time from the beginning of the lag to the release.
        lead: Duration,
        /// Length of the lag.
        duration: Duration,
    },
    /// A target leaves and a new one takes its place.
    TargetReplaced {
        /// Index of the target.
        target: usize,
    },
}

/// How a gateway gets out of step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GatewayLag {
    /// Nothing passes between it and the store and the others.
    Cut,
    /// Its process stands still.
    Pause,
}

/// Kinds of objects for whose writes answers are lost.
const WRITTEN_KINDS: [&str; 4] =
    ["notch-jobs", "notch-results", "notch-job-ends", "notch-gateways"];
/// Most requests that one [`SoakFault::TargetAnswers`] affects.
const MAX_FAULTY_ANSWERS: usize = 6;

/// Share of the faults beside which all gateways are killed, where they are.
const HERD_KILL_SHARE: f64 = 0.2;

impl SoakFault {
    /// Gateways out of touch during the fault, of `count`: their processes, or their paths to the store or to each
    /// other, are disturbed.
    pub fn touched_gateways(&self, count: usize) -> Vec<usize> {
        match self {
            Self::Kill { gateway, .. }
            | Self::Stop { gateway }
            | Self::Pause { gateway, .. }
            | Self::StorePath { gateway, .. }
            | Self::Release { gateway, .. } => vec![*gateway],
            Self::KillAll { .. }
            | Self::LinkPath { .. }
            | Self::StoreDown { .. }
            | Self::LostWrites { .. } => (0..count).collect(),
            Self::Reload { .. }
            | Self::TargetPath { .. }
            | Self::TargetAnswers { .. }
            | Self::Configuration
            | Self::Flood { .. }
            | Self::TargetReplaced { .. } => Vec::new(),
        }
    }

    /// Draws a flood of connections to one gateway.
    pub fn draw_flood(random: &mut SmallRng, gateways: usize) -> Self {
        let gateway = random.random_range(0..gateways);
        let connections = random.random_range(300..1_200);
        let duration = Duration::from_millis(random.random_range(1_000..4_000));
        Self::Flood { gateway, connections, duration }
    }

    /// Draws a fault that separates gateways which enforce a limit together.
    pub fn draw_separation(random: &mut SmallRng, gateways: usize) -> Self {
        let gateway = random.random_range(0..gateways);
        let duration = Duration::from_millis(random.random_range(300..3_000));
        match random.random_range(0..3) {
            0 => Self::Kill { gateway, pause: duration / 2 },
            1 if gateways > 1 => {
                let mode = ProxyMode::FAULTS[random.random_range(0..ProxyMode::FAULTS.len())];
                Self::LinkPath { first: random.random_range(1..gateways), mode, duration }
            }
            _ => Self::Pause { gateway, duration },
        }
    }

    /// Draws a short loss of a gateway.
    pub fn draw_kill(random: &mut SmallRng, gateways: usize) -> Self {
        let gateway = random.random_range(0..gateways);
        match random.random_bool(0.5) {
            true => Self::Kill { gateway, pause: Duration::from_millis(200) },
            false => Self::Stop { gateway },
        }
    }

    /// Draws the loss of all gateways, which is rarer than other faults.
    pub fn draw_herd_kill(random: &mut SmallRng) -> Option<Self> {
        let pause = Duration::from_millis(random.random_range(100..1_000));
        random.random_bool(HERD_KILL_SHARE).then_some(Self::KillAll { pause })
    }

    /// Draws a release. Only the last gateway can be cut off from all others: each link has a proxy in front of the gateway
    /// with the higher index.
    pub fn draw_release(random: &mut SmallRng, gateways: usize) -> Self {
        let (gateway, lag) = match random.random_bool(0.6) {
            true => (gateways - 1, GatewayLag::Cut),
            false => (random.random_range(0..gateways), GatewayLag::Pause),
        };
        let lead = Duration::from_millis(random.random_range(0..300));
        let duration = Duration::from_millis(random.random_range(500..4_000));
        Self::Release { gateway, lag, lead, duration }
    }

    /// Draws a freeze of a home gateway. Links are lost after a second and offers expire 0.1 s later, so that it wakes up
    /// before and after that.
    pub fn draw_freeze(random: &mut SmallRng, gateways: usize) -> Self {
        let gateway = random.random_range(0..gateways);
        let duration = Duration::from_millis(random.random_range(300..2_500));
        Self::Pause { gateway, duration }
    }

    /// Draws a random fault for this number of gateways and targets.
    pub fn draw(random: &mut SmallRng, gateways: usize, targets: usize) -> Self {
        let gateway = random.random_range(0..gateways);
        let target = random.random_range(0..targets);
        let duration = Duration::from_millis(random.random_range(300..3_000));
        let mode = ProxyMode::FAULTS[random.random_range(0..ProxyMode::FAULTS.len())];
        match random.random_range(0..12) {
            0 => Self::Kill { gateway, pause: duration / 2 },
            1 => Self::Stop { gateway },
            2 => Self::Pause { gateway, duration },
            3 => Self::Reload { gateway },
            4 => Self::StorePath { gateway, mode, duration },
            5 => Self::TargetPath { target, mode, duration },
            6 | 7 => Self::TargetAnswers { target, conduct: draw_conduct(random) },
            8 => Self::StoreDown { duration },
            9 => {
                let kind = WRITTEN_KINDS[random.random_range(0..WRITTEN_KINDS.len())];
                Self::LostWrites { kind, count: random.random_range(1..4) }
            }
            10 => Self::Configuration,
            _ => Self::TargetReplaced { target },
        }
    }
}

fn draw_conduct(random: &mut SmallRng) -> Vec<Conduct> {
    let count = random.random_range(1..=MAX_FAULTY_ANSWERS);
    let mut draw = || match random.random_range(0..6) {
        0 => Conduct::CutAfter(random.random_range(0..5)),
        1 => Conduct::Refuse,
        2 => Conduct::Close,
        3 => Conduct::Unsealed,
        4 => Conduct::Slow(random.random_range(20..400)),
        _ => Conduct::ExtraFirst,
    };
    (0..count).map(|_| draw()).collect()
}
