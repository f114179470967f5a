//! Times as decisions see them: given from outside, never read.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds on the process's own monotonic clock. Never compared between processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Time since `earlier`; zero when `earlier` is later.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// A time `millis` milliseconds after the clock's zero.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }
}

impl Add<Duration> for MonoTime {
    type Output = MonoTime;

    fn add(self, delay: Duration) -> MonoTime {
        MonoTime(self.0.saturating_add(delay.as_micros() as u64))
    }
}

impl Sub<Duration> for MonoTime {
    type Output = MonoTime;

    fn sub(self, delay: Duration) -> MonoTime {
        MonoTime(self.0.saturating_sub(delay.as_micros() as u64))
    }
}

/// Milliseconds since the Unix epoch. Used for due times and retention only: it may jump.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

/// Both clocks, read once for each event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// For time-outs, leases and ages.
    pub mono: MonoTime,
    /// For due times and retention.
    pub wall: WallTime,
}

impl Now {
    /// A moment for tests and drivers: `millis` on both clocks.
    pub fn at_millis(millis: u64) -> Self {
        Self { mono: MonoTime::from_millis(millis), wall: WallTime(millis) }
    }
}
