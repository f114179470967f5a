//! Token bucket that enforces one account's limit.

use std::time::Duration;

use notch_types::prelude::*;

use crate::accounts::{account::AccountLimit, demand::CreditDemand};

/// Fraction of the burst that must remain in the bucket when credit is granted ahead of need.
const PREFETCH_RESERVE: f64 = 0.5;
/// Fraction of the burst that must remain in the bucket for new requests when a deferred one is admitted.
const DEFERRED_RESERVE: f64 = 0.25;
/// Maximum period over which the retries of rejected clients are spread.
const RETRY_SPREAD: Duration = Duration::from_secs(2);
/// Tolerance for rounding errors in refills, in requests.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Token bucket that enforces one account's limit.
#[derive(Debug, Clone)]
pub struct CreditBucket {
    limit: AccountLimit,
    /// Requests that may be admitted now. Invariant: at most the burst.
    credit: f64,
    refilled_at: MonoTime,
    /// Time up to which retries have been scheduled for rejected clients.
    scheduled_until: MonoTime,
}

impl CreditBucket {
    /// Creates a bucket that contained `credit` at `since`. The former limiter may have granted all
    /// other credit.
    pub fn new(limit: AccountLimit, credit: f64, since: MonoTime) -> Self {
        Self { limit, credit, refilled_at: since, scheduled_until: since }
    }

    /// Requests that may be admitted at `now`.
    pub fn credit(&self, now: MonoTime) -> f64 {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.limit.per_second;
        (self.credit + earned).min(self.limit.burst)
    }

    /// Adds the credit left by the former limiter.
    pub fn add(&mut self, credit: f64, limit: AccountLimit, now: MonoTime) {
        self.refill(limit, now);
        self.credit = (self.credit + credit.max(0.0)).min(limit.burst);
    }

    /// Grants between 1 and the number of wanted requests; those after the first are granted ahead of
    /// need. While more new requests arrive than the limit allows, each credit serves one request
    /// either way: a new one is served within its objective, a deferred one is late already.
    ///
    /// # Errors
    /// When the limit is used up: the delay after which this client should retry.
    pub fn take(
        &mut self,
        limit: AccountLimit,
        demand: impl Into<CreditDemand>,
        now: MonoTime,
    ) -> Result<u32, Duration> {
        let CreditDemand { wanted, is_deferred } = demand.into();
        self.refill(limit, now);
        let reserve = if is_deferred { limit.burst * DEFERRED_RESERVE } else { 0.0 };
        if self.credit + ROUNDING_TOLERANCE < 1.0 + reserve.min(limit.burst - 1.0) {
            return Err(self.schedule_retry(now));
        }
        let spare = self.credit - 1.0 - limit.burst * PREFETCH_RESERVE;
        let ahead = f64::from(wanted.saturating_sub(1)).min(spare.max(0.0)).floor();
        self.credit -= 1.0 + ahead;
        Ok(1 + ahead as u32)
    }

    /// Refills the bucket and applies the limit. A lowered limit caps the credit at once; a raised
    /// one adds the difference.
    fn refill(&mut self, limit: AccountLimit, now: MonoTime) {
        let raised = (limit.burst - self.limit.burst).max(0.0);
        self.credit = (self.credit(now) + raised).min(limit.burst);
        self.refilled_at = now.max(self.refilled_at);
        self.limit = limit;
    }

    /// Schedules the retry of a rejected client later than that of the one before, so that they do
    /// not all retry for the same credit.
    fn schedule_retry(&mut self, now: MonoTime) -> Duration {
        let interval = Duration::from_secs_f64(1.0 / self.limit.per_second);
        let missing = (1.0 - self.credit).max(0.0) / self.limit.per_second;
        let due = now + Duration::from_secs_f64(missing);
        let latest = now + RETRY_SPREAD;
        let next = (self.scheduled_until + interval).max(due);
        self.scheduled_until = if next > latest { due } else { next };
        self.scheduled_until.since(now)
    }
}
