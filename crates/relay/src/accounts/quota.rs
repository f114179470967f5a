//! By how much limits may be exceeded.

use std::time::Duration;

use crate::accounts::account::AccountLimit;

/// What of the tolerance is used where no keeper can be asked.
const UNKEPT_PART: f64 = 0.9;

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
    /// Requests that each of `gateways` gateways may admit in a window where no keeper can be asked, beside
    /// `held` requests of credit that may be left anywhere from the window before.
    pub fn unkept_requests(&self, limit: AccountLimit, held: f64, gateways: usize) -> u32 {
        let allowed = limit.per_second * self.window.as_secs_f64() + limit.burst;
        let spare = (allowed * self.overrun + self.slack - held).max(0.0);
        (spare * UNKEPT_PART / gateways.max(1) as f64) as u32
    }
}
