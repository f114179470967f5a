//! Tolerance by which limits may be exceeded.

use std::time::Duration;

use crate::accounts::account::AccountLimit;

/// Fraction of the tolerance available when no limiter can be asked.
const WITHOUT_LIMITER_FRACTION: f64 = 0.4;
/// Fraction of the tolerance that a new limiter starts with.
const INITIAL_FRACTION: f64 = 0.25;

/// Tolerance by which limits may be exceeded in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// Length of the window.
    pub window: Duration,
    /// Fraction of the requests allowed in a window by which the limit may be exceeded.
    pub overrun: f64,
    /// Number of requests by which the limit may be exceeded in addition to that.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overrun: 0.0, slack: 0.0 }
    }
}

impl QuotaTolerance {
    /// Requests that each of `gateways` gateways may admit in a window when no limiter can be
    /// asked. `held` is the credit that gateways may still hold from the window before.
    pub fn requests_without_limiter(&self, limit: AccountLimit, held: f64, gateways: usize) -> u32 {
        (self.spare(limit, held) * WITHOUT_LIMITER_FRACTION / gateways.max(1) as f64) as u32
    }

    /// Credit that a new limiter starts with. The former limiter may have granted everything, so
    /// this credit is covered by the tolerance.
    pub fn initial_credit(&self, limit: AccountLimit, held: f64) -> f64 {
        (self.spare(limit, held) * INITIAL_FRACTION).min(limit.burst)
    }

    /// Requests that the tolerance leaves in addition to `held`.
    fn spare(&self, limit: AccountLimit, held: f64) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        (allowed * self.overrun + self.slack - held).max(0.0)
    }
}
