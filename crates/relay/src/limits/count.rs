//! Decides when a job may be refused based on an earlier count of a limit's usage.
//!
//! It is designed for bursts in which many times the usual jobs arrive at all gateways at once
//! while a limit is used up. If all gateways were asked for each job, the number of messages would
//! grow with the square of the number of gateways, and each refusal would wait for the slowest of
//! them. Jobs that arrive together share one count. Of jobs that arrive one after another, the
//! first few are each counted for; after that, a count is reused until the next one is due.
//!
//! A job that fits is not refused for long: a job that fits into what is held or free as far as
//! known here does not depend on a count, and a count is reused for half a second at most. Counts
//! are used for refusals only, so they cannot cause the limit to be exceeded.

use std::time::Duration;

use notch_types::prelude::*;

use crate::limits::drain::retry_delay;

/// Interval between two counts in a burst, and the age up to which a count is reused. Together with
/// the store read that follows, 0.4 s at most, a refusal is based on data younger than a second; a
/// job that fitted a second ago must not be refused. Each of 27 gateways thus sends at most 104
/// messages a second for one limit: 52 requests and as many answers.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of counts in a burst. Usual jobs are each counted for: 28,000 jobs a day are one
/// in 83 s at each of 27 gateways.
const MAX_COUNT_BURST: u32 = 8;

/// Usage of a limit as counted over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitCount {
    /// When the count was started.
    pub asked_at: MonoTime,
    /// The limit at that time.
    pub limit: u64,
    /// Unused part of the limit.
    pub free: u64,
    /// Amount that ended per second.
    pub ended_per_second: f64,
}

/// The last count of one limit and the rate at which counts were made.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitCountThrottle {
    last: Option<LimitCount>,
    /// When the counts made so far would be used up at one per [`COUNT_INTERVAL`]. Invariant: at
    /// most [`MAX_COUNT_BURST`] intervals after the last count.
    used_until: MonoTime,
}

impl LimitCountThrottle {
    /// Records that a count over all gateways is started.
    pub fn note_asked(&mut self, now: MonoTime) {
        let latest = now + COUNT_INTERVAL * MAX_COUNT_BURST;
        self.used_until = (self.used_until.max(now) + COUNT_INTERVAL).min(latest);
    }

    /// Records the result of a count.
    pub fn note_count(&mut self, count: LimitCount) {
        self.last = Some(count);
    }

    /// Decides whether the last count refuses a job of `amount` that arrived at `arrived`. Returns
    /// the delay after which the client should retry, or `None` if the job needs a new count.
    pub fn refusal(
        &self,
        amount: u64,
        limit: u64,
        arrived: MonoTime,
        now: MonoTime,
    ) -> Option<Duration> {
        let count = self.last.filter(|count| count.limit == limit)?;
        let missing = amount.checked_sub(count.free).filter(|missing| *missing > 0)?;
        let is_fresh = now.since(count.asked_at) < COUNT_INTERVAL;
        let is_due = count.asked_at < arrived && self.may_count(now);
        (is_fresh && !is_due).then(|| retry_delay(missing, count.ended_per_second))
    }

    fn may_count(&self, now: MonoTime) -> bool {
        self.used_until.since(now) <= COUNT_INTERVAL * (MAX_COUNT_BURST - 1)
    }
}
