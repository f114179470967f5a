//! When to search the store for jobs without a live owner.

use std::time::Duration;

use notch_types::prelude::*;

/// Time by which each gateway searches later than the one ranked before it: a search and the news of it take a fraction
/// of that.
const RANK_DELAY: Duration = Duration::from_millis(1_000);
/// Highest rank that is told apart. Gateways ranked after it search at the same time, in the rare case that none of those
/// before them could.
const MAX_RANK: u32 = 8;
/// Pause before a search is repeated, while it left jobs to other gateways or failed.
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Decides when a gateway lists all jobs of the store.
///
/// Every gateway has a reason to search when one is lost. If all did, hundreds of lists would follow a single loss. So
/// they search in the order of their rank, and a search that began after the reason, by whichever gateway, settles it.
/// The gateway that searches announces what it found.
#[derive(Debug, Clone, Copy, Default)]
pub struct SearchSchedule {
    /// When the last unsettled reason arose, or will arise.
    reason_at: Option<MonoTime>,
    /// When the gateway ranked first searches. Invariant: set if and only if `reason_at` is.
    due_from: Option<MonoTime>,
    /// Whether this gateway searches then, whatever its rank.
    is_demanded: bool,
    /// When the last complete search began, by this gateway or by one that announced it.
    searched_at: Option<MonoTime>,
}

impl SearchSchedule {
    /// Records a reason to search that arises at `at`, which may be in the future.
    pub fn note_reason(&mut self, at: MonoTime) {
        if self.searched_at.is_some_and(|began| began > at) {
            return;
        }
        self.reason_at = Some(self.reason_at.map_or(at, |known| known.max(at)));
        self.due_from = Some(self.due_from.map_or(at, |known| known.min(at)));
    }

    /// Records that this gateway itself needs a search that begins at `at` or later.
    pub fn demand(&mut self, at: MonoTime) {
        self.note_reason(at);
        self.is_demanded = self.reason_at.is_some();
    }

    /// Records that another gateway announced a search that began at `began`.
    pub fn note_announced(&mut self, began: MonoTime) {
        self.note_complete(began);
        if self.reason_at.is_some_and(|at| began > at) {
            self.settle();
        }
    }

    /// Whether to search now. `rank` is the number of gateways that search before this one.
    pub fn is_due(&self, rank: usize, now: MonoTime) -> bool {
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let delay = if self.is_demanded { Duration::ZERO } else { RANK_DELAY * rank };
        self.due_from.is_some_and(|from| now >= from + delay)
    }

    /// Records the end of this gateway's own search that began at `began`. `has_left` if it failed or left jobs to
    /// others.
    pub fn note_searched(&mut self, began: MonoTime, has_left: bool, now: MonoTime) {
        if has_left {
            self.reason_at = Some(now);
            self.due_from = Some(now + REPEAT_INTERVAL);
            self.is_demanded = true;
            return;
        }
        self.note_complete(began);
        if self.reason_at.is_some_and(|at| at <= began) {
            self.settle();
        } else {
            self.due_from = self.reason_at.map(|at| at.max(now));
            self.is_demanded = false;
        }
    }

    fn note_complete(&mut self, began: MonoTime) {
        self.searched_at = Some(self.searched_at.map_or(began, |known| known.max(began)));
    }

    fn settle(&mut self) {
        self.reason_at = None;
        self.due_from = None;
        self.is_demanded = false;
    }
}
