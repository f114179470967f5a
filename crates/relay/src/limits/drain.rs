//! How quickly what waits under a limit becomes less.

use std::time::Duration;

use notch_types::prelude::*;

/// Time over which what has ended counts: a job's items take about a second each, so a few of them
/// are always in it.
const DRAIN_WINDOW: Duration = Duration::from_secs(4);
/// Shortest wait told to a client: less is used up by its new connection.
const WAIT_SHORTEST: Duration = Duration::from_millis(300);
/// Longest wait told to a client, and the one where nothing ends: a limit may be raised by then.
const WAIT_LONGEST: Duration = Duration::from_secs(5);

/// How much has ended each second, as of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    at: MonoTime,
    per_second: f64,
}

impl DrainRate {
    /// So much ended at `now`.
    pub fn note(&mut self, amount: u64, now: MonoTime) {
        self.per_second = self.per_second(now) + amount as f64 / DRAIN_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// How much ends each second, as of `now`.
    pub fn per_second(&self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DRAIN_WINDOW.as_secs_f64();
        self.per_second * (-age).exp()
    }
}

/// When `missing` will have ended at `per_second`: when a client that was refused for want of it
/// should come back.
pub fn retry_delay(missing: u64, per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return WAIT_LONGEST;
    }
    let seconds = (missing as f64 / per_second).min(WAIT_LONGEST.as_secs_f64());
    Duration::from_secs_f64(seconds).max(WAIT_SHORTEST)
}
