//! Order in which items at a target are preempted.

use std::time::Duration;

use notch_types::prelude::*;

/// Rank of a running item; the one with the highest rank is preempted first: the one with the most
/// slack, of equal ones the one with the most remaining run time. Preempting the item that began
/// last repeatedly hit the items of the job that was due next.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreemptionRank {
    slack_ms: i64,
    remaining: Duration,
}

impl PreemptionRank {
    /// Rank at `now` of an item that is due at `due`, began at `since` and is expected to run for
    /// `expected` in total.
    pub fn new(due: MonoTime, since: MonoTime, expected: Duration, now: MonoTime) -> Self {
        let remaining = expected.saturating_sub(now.since(since));
        Self { slack_ms: slack_ms(due, remaining, now), remaining }
    }
}

/// Time left until `due`, less the run time `needed`, milliseconds; negative if late.
pub fn slack_ms(due: MonoTime, needed: Duration, now: MonoTime) -> i64 {
    (due.0 as i64 - (now + needed).0 as i64) / 1_000
}
