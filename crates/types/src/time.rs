//! Times as the decision logic uses them: passed in by the caller, never read from a clock here.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Microseconds on the process's monotonic clock. Not comparable between processes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MonoTime(pub u64);

impl MonoTime {
    /// Time since `earlier`; zero if `earlier` is the later of the two.
    pub fn since(self, earlier: MonoTime) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time `millis` milliseconds after the clock's zero.
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

/// Milliseconds since the Unix epoch. Used only for due times and retention, because the wall
/// clock may jump.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct WallTime(pub u64);

/// Readings of both clocks, taken once for each event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// Monotonic time, for time-outs, leases and ages.
    pub mono: MonoTime,
    /// Wall-clock time, for due times and retention.
    pub wall: WallTime,
}

impl Now {
    /// `millis` on both clocks, for tests and drivers.
    pub fn at_millis(millis: u64) -> Self {
        Self { mono: MonoTime::from_millis(millis), wall: WallTime(millis) }
    }
}
