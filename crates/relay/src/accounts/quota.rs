//! By how much limits may be exceeded.

use std::time::Duration;

use crate::accounts::account::AccountLimit;

/// What of the tolerance is used where no limiter can be asked.
const WITHOUT_LIMITER_PART: f64 = 0.4;
/// What of it each new limiter of a limit begins with.
const BEGIN_PART: f64 = 0.25;

/// By how much limits may be exceeded in a sliding window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaTolerance {
    /// The window.
    pub window: Duration,
    /// Share of what the limit allows in a window.
    pub overrun: f64,
    /// Requests beside that.
    pub slack: f64,
}

impl Default for QuotaTolerance {
    fn default() -> Self {
        Self { window: Duration::from_secs(5), overrun: 0.0, slack: 0.0 }
    }
}

impl QuotaTolerance {
    /// Requests that each of `gateways` gateways may admit in a window where no limiter can be asked, beside
    /// `held` requests of credit that may be left anywhere from the window before.
    pub fn requests_without_limiter(&self, limit: AccountLimit, held: f64, gateways: usize) -> u32 {
        (self.spare(limit, held) * WITHOUT_LIMITER_PART / gateways.max(1) as f64) as u32
    }

    /// Requests that a gateway may admit at once when it becomes the limiter of a limit: those before it may have
    /// granted all, so it's the tolerance that bears them.
    pub fn begin_credit(&self, limit: AccountLimit, held: f64) -> f64 {
        (self.spare(limit, held) * BEGIN_PART).min(limit.burst)
    }

    /// What the tolerance leaves beside `held`.
    fn spare(&self, limit: AccountLimit, held: f64) -> f64 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        (allowed * self.overrun + self.slack - held).max(0.0)
    }
}
