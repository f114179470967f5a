//! What crashes targets in a soak test.

use std::time::Duration;

use notch_platform_standins::target::{CrashTrigger, TargetCrash};

use crate::cluster::POISON_PART;

/// How long a target is down after it crashed.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(800);

/// How often a client sends a request that crashes targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ResendInterval {
    /// Every second.
    Second,
    /// Every 40 seconds.
    Seconds40,
    /// Every 160 seconds.
    Seconds160,
}

impl ResendInterval {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Second, Self::Seconds40, Self::Seconds160];

    /// Time from one arrival to the next.
    pub fn duration(self) -> Duration {
        match self {
            Self::Second => Duration::from_secs(1),
            Self::Seconds40 => Duration::from_secs(40),
            Self::Seconds160 => Duration::from_secs(160),
        }
    }
}

/// What crashes targets in a soak test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CrashCulprit {
    /// A prompt part.
    Part,
    /// A request that comes again, whole; the index says which one.
    Request(usize),
    /// A request that comes again, whole, at an interval.
    Resent(ResendInterval),
    /// An item of a job; the number tells such items apart.
    Item(usize),
}

impl CrashCulprit {
    /// Number of requests that crash targets.
    pub const REQUESTS: usize = 2;
    /// Beginning of the ids of jobs whose items crash targets.
    pub const ITEM_PREFIX: &str = "crashing-";

    /// Crash after which it must be refused.
    pub fn crashes_allowed(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Request(_) | Self::Resent(_) | Self::Item(_) => 3,
        }
    }

    /// How targets crash under it: after as many events as its index.
    pub fn target_crash(self) -> TargetCrash {
        let (trigger, events) = match self {
            Self::Part => (CrashTrigger::Part(POISON_PART.to_owned()), 0),
            Self::Request(index) => (CrashTrigger::Body(self.body()), index as u64),
            Self::Resent(_) => (CrashTrigger::Body(self.body()), 0),
            Self::Item(_) => (CrashTrigger::Attempt(Self::ITEM_PREFIX.to_owned()), 0),
        };
        TargetCrash { trigger, events, down_time: CRASH_DOWN_TIME }
    }

    /// The body of such a request.
    pub(crate) fn body(self) -> String {
        format!("{self:?}")
    }

    /// The prompt part that it shares with sound requests.
    pub(crate) fn shared_part(self) -> String {
        match self {
            Self::Part | Self::Item(_) => "common".to_owned(),
            Self::Request(index) => format!("shared-{index}"),
            Self::Resent(interval) => format!("shared-{interval:?}"),
        }
    }
}
