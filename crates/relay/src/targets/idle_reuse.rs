//! Decides how long a connection to a target may have been idle to be reused for a request that must not run twice.
//!
//! It is designed for many gateways before many targets, where each pair exchanges a request every few seconds. With a
//! fixed limit of a second, nearly half of all such requests needed a new connection, which takes time and briefly
//! occupies a slot at the target.

use std::time::Duration;

use notch_types::prelude::*;

/// Limit without any evidence. A target may drop an idle connection without notice, and then it is unknown whether a
/// request sent on it ran.
const INITIAL_LIMIT: Duration = Duration::from_secs(1);
/// Time after a failure on a reused connection in which the limit isn't raised.
const FAILURE_BACKOFF: Duration = Duration::from_secs(10);
/// Maximum number of distinct announced timeouts that are tracked; others keep the initial limit.
const MAX_CLASSES: usize = 32;

/// What is known of the connections of targets that announce the same idle timeout.
#[derive(Debug, Clone, Copy, Default)]
struct IdleEvidence {
    /// Longest idle time after which a request was answered, since the last failure.
    proven: Duration,
    /// Until when successes don't count.
    blocked_until: MonoTime,
}

/// Idle times after which connections were found to work, by the idle timeout that targets announce.
#[derive(Debug, Default)]
pub struct IdleReuse {
    is_learning: bool,
    classes: FastMap<Option<Duration>, IdleEvidence>,
}

impl IdleReuse {
    /// Creates the state. Without `is_learning`, the limit is always one second.
    pub fn new(is_learning: bool) -> Self {
        Self { is_learning, ..Self::default() }
    }

    /// Maximum idle time of a connection that is reused for a request that must not run twice.
    pub fn limit(&self, announced: Option<Duration>) -> Duration {
        let proven = self.classes.get(&announced).map_or(Duration::ZERO, |known| known.proven);
        proven.max(INITIAL_LIMIT)
    }

    /// Records that a request on a connection that had been idle for `idle` was answered.
    pub fn note_answered(&mut self, announced: Option<Duration>, idle: Duration, now: MonoTime) {
        let has_room = self.classes.len() < MAX_CLASSES || self.classes.contains_key(&announced);
        if !self.is_learning || !has_room {
            return;
        }
        let known = self.classes.entry(announced).or_default();
        if now >= known.blocked_until {
            known.proven = known.proven.max(idle);
        }
    }

    /// Records that the target closed a reused connection, or stayed silent on it, before it answered. The limit falls
    /// back to the initial one: the target, or something between it and this gateway, may have dropped the connection.
    pub fn note_failed(&mut self, announced: Option<Duration>, now: MonoTime) {
        if let Some(known) = self.classes.get_mut(&announced) {
            *known = IdleEvidence { proven: Duration::ZERO, blocked_until: now + FAILURE_BACKOFF };
        }
    }
}
