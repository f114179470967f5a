//! Rate at which usage under a limit ends.

use std::time::Duration;

use notch_types::prelude::*;

/// Averaging window. The items of a job take about a second each, so the window usually contains a
/// few that ended.
const DRAIN_WINDOW: Duration = Duration::from_secs(4);
/// Shortest retry delay told to a client: a shorter one would be spent on setting up the new
/// connection.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Longest retry delay told to a client, also used while nothing ends: the limit may be raised in
/// the meantime.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);

/// Recent rate at which usage ends.
#[derive(Debug, Clone, Copy, Default)]
pub struct DrainRate {
    at: MonoTime,
    per_second: f64,
}

impl DrainRate {
    /// Records that `amount` ended at `now`.
    pub fn note(&mut self, amount: u64, now: MonoTime) {
        self.per_second = self.per_second(now) + amount as f64 / DRAIN_WINDOW.as_secs_f64();
        self.at = now;
    }

    /// Amount that ends per second, as of `now`.
    pub fn per_second(&self, now: MonoTime) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DRAIN_WINDOW.as_secs_f64();
        self.per_second * (-age).exp()
    }
}

/// Delay after which a client refused for lack of `missing` should retry, when `per_second` ends
/// each second.
pub fn retry_delay(missing: u64, per_second: f64) -> Duration {
    if per_second <= 0.0 {
        return MAX_RETRY_DELAY;
    }
    let seconds = (missing as f64 / per_second).min(MAX_RETRY_DELAY.as_secs_f64());
    Duration::from_secs_f64(seconds).max(MIN_RETRY_DELAY)
}
