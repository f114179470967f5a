//! Keeps retries to a share of the traffic.

use notch_types::prelude::*;

use crate::settings::RetrySettings;

/// Retries that one target may still make.
///
/// What goes wrong without it: when half of a target's sidecars are gone, every request is tried
/// several times, and the load that the other half must carry multiplies. One would notice
/// dispatches far over arrivals. First tries pay in a share, so dispatches stay within
/// `(1 + share) * first tries + floor * time + cap`.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: within `0.0..=cap`.
    tokens: f64,
    refilled: MonoTime,
    share: f64,
    floor_per_s: f64,
    cap: f64,
}

impl RetryBudget {
    /// A budget that starts with the floor's tokens of one second, at least one.
    pub fn new(now: MonoTime, settings: &RetrySettings) -> Self {
        let cap = settings.budget_cap.max(1.0);
        Self {
            tokens: settings.budget_floor_per_s.clamp(0.0, cap).max(1.0),
            refilled: now,
            share: settings.budget_share.max(0.0),
            floor_per_s: settings.budget_floor_per_s.max(0.0),
            cap,
        }
    }

    /// A first try was dispatched.
    pub fn pay_in(&mut self) {
        self.tokens = (self.tokens + self.share).min(self.cap);
    }

    /// Takes a retry out of the budget; false when there is none left.
    pub fn take(&mut self, now: MonoTime) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: MonoTime) {
        let elapsed = now.since(self.refilled).as_secs_f64();
        self.refilled = self.refilled.max(now);
        self.tokens = (self.tokens + elapsed * self.floor_per_s).min(self.cap);
    }
}
