//! When a refusal may rest on what was counted before.
//!
//! The load that it answers: many times the usual jobs at once, at all gateways, while a limit is used
//! up. Were every gateway asked for each job, messages would rise by the square of the gateways, and each
//! refusal would wait for the slowest of them. Jobs that come together share one count; of those that come
//! one after another the first few are counted for each, and then a count serves until the next one is
//! due.
//!
//! What fits can't be refused for long: a job that fits what is held or free as far as is known here isn't
//! looked up in a count at all, and a count serves for half a second at most. Only refusals rest on one,
//! so the limit doesn't depend on it.

use std::time::Duration;

use notch_types::prelude::*;

use crate::limits::drain::retry_delay;

/// Time between two counts in a burst, and the age up to which a count serves. With the look in the
/// store that follows, 0.4 s at most, a refusal is younger than a second, and a job that fitted a second
/// before must not be refused. So each of 27 gateways sends 104 messages a second for one limit at most,
/// whatever comes: 52 questions and as many answers.
const COUNT_EVERY: Duration = Duration::from_millis(500);
/// Counts that may be made at once: usual jobs are each counted for, as 28,000 a day are one in 83 s at
/// each of 27 gateways.
const COUNTS_AT_ONCE: u32 = 8;

/// What was free of a limit when all gateways were asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitCount {
    /// When asking began.
    pub asked_at: MonoTime,
    /// The limit.
    pub limit: u64,
    /// What of it nobody used.
    pub free: u64,
    /// How much ended each second.
    pub ended_per_second: f64,
}

/// The last count of one limit, and how many were made of late.
#[derive(Debug, Clone, Copy, Default)]
pub struct LimitCountThrottle {
    last: Option<LimitCount>,
    /// When the counts made so far are used up, at the pace of [`COUNT_EVERY`]. Invariant: at most
    /// [`COUNTS_AT_ONCE`] of them after the last one.
    used_until: MonoTime,
}

impl LimitCountThrottle {
    /// All gateways are about to be asked.
    pub fn note_asked(&mut self, now: MonoTime) {
        let most = now + COUNT_EVERY * COUNTS_AT_ONCE;
        self.used_until = (self.used_until.max(now) + COUNT_EVERY).min(most);
    }

    /// They have been asked.
    pub fn note_count(&mut self, count: LimitCount) {
        self.last = Some(count);
    }

    /// Whether a job of `amount` that came at `arrived` is refused by the last count, and when it should
    /// come back; `None` when it has to be counted for.
    pub fn refusal(
        &self,
        amount: u64,
        limit: u64,
        arrived: MonoTime,
        now: MonoTime,
    ) -> Option<Duration> {
        let count = self.last.filter(|count| count.limit == limit)?;
        let missing = amount.checked_sub(count.free).filter(|missing| *missing > 0)?;
        let is_fresh = now.since(count.asked_at) < COUNT_EVERY;
        let is_due = count.asked_at < arrived && self.may_count(now);
        (is_fresh && !is_due).then(|| retry_delay(missing, count.ended_per_second))
    }

    fn may_count(&self, now: MonoTime) -> bool {
        self.used_until.since(now) <= COUNT_EVERY * (COUNTS_AT_ONCE - 1)
    }
}
