//! A token bucket that keeps one account's limit.

use std::time::Duration;

use notch_types::prelude::*;

use crate::accounts::account::AccountLimit;

/// Share of the burst that must be left before credit is granted ahead of need.
const AHEAD_RESERVE: f64 = 0.5;
/// Longest time for which returns of rejected clients are spread.
const RETURN_SPAN: Duration = Duration::from_secs(2);
/// Rounding errors of refills, in requests.
const ROUNDING: f64 = 1e-6;

/// A token bucket that keeps one account's limit.
#[derive(Debug, Clone)]
pub struct CreditBucket {
    limit: AccountLimit,
    /// Requests that may be admitted now. Invariant: at most the burst.
    credit: f64,
    refilled_at: MonoTime,
    /// Until when returns have been promised to rejected clients.
    promised_until: MonoTime,
}

impl CreditBucket {
    /// A bucket that had `credit` at `since`. Whoever kept the limit before may have granted all of it.
    pub fn new(limit: AccountLimit, credit: f64, since: MonoTime) -> Self {
        Self { limit, credit, refilled_at: since, promised_until: since }
    }

    /// Requests that may be admitted at `now`.
    pub fn credit(&self, now: MonoTime) -> f64 {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.limit.per_second;
        (self.credit + earned).min(self.limit.burst)
    }

    /// Adds what the former limiter had left.
    pub fn add(&mut self, credit: f64, limit: AccountLimit, now: MonoTime) {
        self.refill(limit, now);
        self.credit = (self.credit + credit.max(0.0)).min(limit.burst);
    }

    /// Grants up to `wanted` requests, the first of which is due now; else how long until one is.
    ///
    /// # Errors
    /// When the limit is used up: the time after which this client should come back.
    pub fn take(
        &mut self,
        limit: AccountLimit,
        wanted: u32,
        now: MonoTime,
    ) -> Result<u32, Duration> {
        self.refill(limit, now);
        if self.credit + ROUNDING < 1.0 {
            return Err(self.promise_return(now));
        }
        let spare = self.credit - 1.0 - limit.burst * AHEAD_RESERVE;
        let ahead = f64::from(wanted.saturating_sub(1)).min(spare.max(0.0)).floor();
        self.credit -= 1.0 + ahead;
        Ok(1 + ahead as u32)
    }

    /// A lower limit takes what is above it at once; a higher one adds its difference.
    fn refill(&mut self, limit: AccountLimit, now: MonoTime) {
        let raised = (limit.burst - self.limit.burst).max(0.0);
        self.credit = (self.credit(now) + raised).min(limit.burst);
        self.refilled_at = now.max(self.refilled_at);
        self.limit = limit;
    }

    /// Each rejected client is told a later credit than the one before, so that they don't all come back
    /// for the same one.
    fn promise_return(&mut self, now: MonoTime) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / self.limit.per_second);
        let missing = (1.0 - self.credit).max(0.0) / self.limit.per_second;
        let due = now + Duration::from_secs_f64(missing);
        let latest = now + RETURN_SPAN;
        let next = (self.promised_until + interval).max(due);
        self.promised_until = if next > latest { due } else { next };
        self.promised_until.since(now)
    }
}
