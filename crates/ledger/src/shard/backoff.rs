//! Delays between tries of a failing call.

use std::time::Duration;

use notch_types::object::StoreFailure;
use rand::{RngExt, rngs::SmallRng};

/// Longest exponent: 2^20 times any least delay is above any longest one.
const MAX_DOUBLINGS: u32 = 20;

/// Doubling delays with jitter.
///
/// What goes wrong without: after an outage all shards of all nodes call at once, the platform
/// throttles them, and they come back at once again. It shows as a comb in the store's call rate.
/// The jitter spreads the tries over half the delay, and the cap keeps an owner quick enough to
/// renew before its lease may be taken over.
#[derive(Debug, Clone)]
pub(crate) struct RetryBackoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl RetryBackoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0 }
    }

    /// Forgets the failures so far.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// The delay before the next try. At least what the platform asked for.
    pub(crate) fn next(&mut self, failure: Option<StoreFailure>, rng: &mut SmallRng) -> Duration {
        let factor = 1_u32 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let full = self.min.saturating_mul(factor).min(self.max);
        let jittered = full.mul_f64(rng.random_range(0.5..1.0));
        match failure {
            Some(StoreFailure::Throttled { retry_after_ms }) => {
                jittered + Duration::from_millis(retry_after_ms)
            }
            _ => jittered,
        }
    }
}
