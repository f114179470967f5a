//! Faults, drawn from a seed.

use std::time::Duration;

use notch_platform_standins::target::Conduct;
use rand::{RngExt, rngs::SmallRng};

use crate::proxy::ProxyMode;

/// One fault. Those with a duration are taken back after it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SoakFault {
    /// A gateway is killed, and started again after a pause.
    Kill {
        /// Which gateway.
        gateway: usize,
        /// From its end to its start.
        pause: Duration,
    },
    /// A gateway is told to stop, and started again when it has ended.
    Stop {
        /// Which gateway.
        gateway: usize,
    },
    /// A gateway stands still.
    Pause {
        /// Which gateway.
        gateway: usize,
        /// How long it lasts.
        duration: Duration,
    },
    /// A gateway reads its settings again.
    Reload {
        /// Which gateway.
        gateway: usize,
    },
    /// A gateway's connections to the store are spoiled.
    StorePath {
        /// Which gateway.
        gateway: usize,
        /// In which way.
        mode: ProxyMode,
        /// How long it lasts.
        duration: Duration,
    },
    /// The connections to a target are spoiled.
    TargetPath {
        /// Which target.
        target: usize,
        /// In which way.
        mode: ProxyMode,
        /// How long it lasts.
        duration: Duration,
    },
    /// A target answers its next requests in these ways.
    TargetAnswers {
        /// Which target.
        target: usize,
        /// One for each request.
        conduct: Vec<Conduct>,
    },
    /// The store turns all calls away.
    StoreDown {
        /// How long it lasts.
        duration: Duration,
    },
    /// The store does the next writes of a kind and doesn't answer them.
    LostWrites {
        /// The kind.
        kind: &'static str,
        /// How many writes.
        count: usize,
    },
    /// The operator writes a new configuration.
    Configuration,
    /// A target leaves and comes back as a new one.
    TargetReplaced {
        /// Which target.
        target: usize,
    },
}

/// Kinds of objects whose writes lose their answers.
const WRITTEN_KINDS: [&str; 4] =
    ["notch-jobs", "notch-results", "notch-job-ends", "notch-gateways"];
/// Requests whose answers one fault spoils, at most.
const SPOILED_ANSWERS: usize = 6;

impl SoakFault {
    /// Draws a fault for this many gateways and targets.
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
    let count = random.random_range(1..=SPOILED_ANSWERS);
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
