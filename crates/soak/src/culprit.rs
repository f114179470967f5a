//! What crashes targets in a soak test.

use std::time::Duration;

use notch_platform_standins::target::{CrashTrigger, TargetCrash};

use crate::cluster::POISON_PART;

/// How long a target is down after it crashed.
const CRASH_DOWN_TIME: Duration = Duration::from_millis(800);

/// What crashes targets in a soak test.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CrashCulprit {
    /// A prompt part.
    Part,
    /// A request that comes again, whole; the index says which one.
    Request(usize),
}

impl CrashCulprit {
    /// Number of requests that crash targets.
    pub const REQUESTS: usize = 2;

    /// Crash after which it must be refused.
    pub fn crashes_allowed(self) -> usize {
        match self {
            Self::Part => 5,
            Self::Request(_) => 3,
        }
    }

    /// How targets crash under it: after as many events as its index.
    pub fn target_crash(self) -> TargetCrash {
        let (trigger, events) = match self {
            Self::Part => (CrashTrigger::Part(POISON_PART.to_owned()), 0),
            Self::Request(index) => (CrashTrigger::Body(self.body()), index as u64),
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
            Self::Part => "common".to_owned(),
            Self::Request(index) => format!("shared-{index}"),
        }
    }
}
