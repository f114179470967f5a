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
    /// Records an answer by the store at `now`.
    pub fn note_answer(&self, now: MonoTime) {
        self.answered_at.store(now.0.max(1), Ordering::Release);
    }

    /// Whether the store has ever answered.
    pub fn is_answered(&self) -> bool {
        self.answered_at.load(Ordering::Acquire) > 0
    }

    /// Whether the last answer is younger than `age`.
    pub fn is_fresh(&self, now: MonoTime, age: Duration) -> bool {
        let answered_at = self.answered_at.load(Ordering::Acquire);
        answered_at > 0 && now.since(MonoTime(answered_at)) < age
    }
}
