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
    /// When the last unsettled reason arose.
    reason_at: Option<MonoTime>,
    /// When the search is due. Invariant: set if and only if `reason_at` is.
    due_at: Option<MonoTime>,
    /// When the last complete search began, by this gateway or by one that announced it.
    searched_at: Option<MonoTime>,
}

impl SearchSchedule {
    /// Records a reason to search that arises at `at`, which may be in the future. `rank` is the number of gateways that search before this one.
    pub fn note_reason(&mut self, at: MonoTime, rank: usize) {
        if self.searched_at.is_some_and(|began| began > at) {
            return;
        }
        let rank = u32::try_from(rank).unwrap_or(MAX_RANK).min(MAX_RANK);
        let due = at + RANK_DELAY * rank;
        self.reason_at = Some(self.reason_at.map_or(at, |known| known.max(at)));
        self.due_at = Some(self.due_at.map_or(due, |known| known.min(due)));
    }

    /// Records that another gateway announced a search that began at `began`.
    pub fn note_announced(&mut self, began: MonoTime) {
        self.note_complete(began);
        if self.reason_at.is_some_and(|at| began > at) {
            self.settle();
        }
    }

    fn note_complete(&mut self, began: MonoTime) {
        self.searched_at = Some(self.searched_at.map_or(began, |known| known.max(began)));
    }

    /// Whether to search now.
    pub fn is_due(&self, now: MonoTime) -> bool {
        self.due_at.is_some_and(|due| now >= due)
    }

    /// Records the end of this gateway's own search that began at `began`. `has_left` if it failed or left jobs to
    /// others.
    pub fn note_searched(&mut self, began: MonoTime, has_left: bool, now: MonoTime) {
        if has_left {
            self.due_at = Some(now + REPEAT_INTERVAL);
            self.reason_at = Some(now);
            return;
        }
        self.note_complete(began);
        if self.reason_at.is_some_and(|at| at <= began) {
            self.settle();
        } else {
            self.due_at = self.reason_at.map(|at| at.max(now));
        }
    }

    fn settle(&mut self) {
        self.reason_at = None;
        self.due_at = None;
    }
}
