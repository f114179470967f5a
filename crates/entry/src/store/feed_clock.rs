//! The age of the last answer to a feed.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use notch_types::prelude::MonoTime;

/// When a feed was last answered.
#[derive(Debug, Default)]
pub struct FeedClock {
    /// Microseconds of the monotonic clock; 0 for never.
    answered_at: AtomicU64,
}

impl FeedClock {
    /// Records an answer by the store at `at`.
    pub fn note_answer(&self, at: MonoTime) {
        self.answered_at.fetch_max(at.0.max(1), Ordering::AcqRel);
    }

    /// Age of the last answer; `None` before the first one.
    pub fn age(&self, now: MonoTime) -> Option<Duration> {
        let answered_at = self.answered_at.load(Ordering::Acquire);
        (answered_at > 0).then(|| now.since(MonoTime(answered_at)))
    }

    /// Whether the store has ever answered.
    pub fn is_answered(&self) -> bool {
        self.answered_at.load(Ordering::Acquire) > 0
    }

    /// Whether the last answer is younger than `age`.
    pub fn is_fresh(&self, now: MonoTime, age: Duration) -> bool {
        self.age(now).is_some_and(|last| last < age)
    }
}
