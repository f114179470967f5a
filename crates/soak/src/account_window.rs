//! The check of an account's limit over all sliding windows.

use std::time::Duration;

/// Limit of an account, and the tolerance by which the gateways together may exceed it in a window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountQuota {
    /// Requests per second.
    pub per_second: f64,
    /// Requests that may come at once.
    pub burst: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the requests allowed in a window by which they may be exceeded.
    pub overrun: f64,
    /// Number of requests by which they may be exceeded beyond that.
    pub slack: f64,
}

impl AccountQuota {
    /// Maximum number of requests that begin within a window.
    pub fn allowed(&self) -> usize {
        let limit = self.per_second * self.window.as_secs_f64() + self.burst;
        (limit * (1.0 + self.overrun) + self.slack) as usize
    }

    /// Finds the window in which the most requests began, if these are more than allowed. `begun` are the times at which
    /// requests began, in any order.
    pub fn find_excess(&self, mut begun: Vec<Duration>) -> Option<WindowExcess> {
        begun.sort_unstable();
        let mut first = 0;
        let mut worst = WindowExcess { from: Duration::ZERO, begun: 0, allowed: self.allowed() };
        for (last, at) in begun.iter().enumerate() {
            while *at - begun[first] >= self.window {
                first += 1;
            }
            let count = last + 1 - first;
            if count > worst.begun {
                worst = WindowExcess { from: begun[first], begun: count, ..worst };
            }
        }
        (worst.begun > worst.allowed).then_some(worst)
    }
}

/// A window in which more requests began than allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WindowExcess {
    /// When its first request began.
    pub from: Duration,
    /// Number of requests that began in it.
    pub begun: usize,
    /// Number of requests allowed.
    pub allowed: usize,
}
