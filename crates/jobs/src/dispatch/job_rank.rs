//! The order in which jobs are asked for items.

use notch_types::prelude::*;

/// A running job of the target asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct JobRank {
    /// The job.
    pub(crate) job: JobId,
    /// Whose.
    pub(crate) account: AccountName,
    /// The account's place in turn.
    pub(crate) turn: u64,
    /// Time to its due time beyond the work that remains, milliseconds.
    pub(crate) laxity_ms: i64,
    /// Whether it would be late.
    pub(crate) late: bool,
}

/// Milliseconds between the end of the remaining work at `rate` items a second and the due time.
pub(crate) fn laxity_ms(due: WallTime, now: WallTime, open: u32, rate: f64) -> i64 {
    let left = due.0 as i64 - now.0 as i64;
    let work = f64::from(open) / rate * 1_000.0;
    left.saturating_sub(work.min(1e15) as i64)
}

/// Sorts jobs: with `floor`, late ones first by laxity; then accounts by turn, and within an
/// account by laxity.
pub(crate) fn sort_ranks(ranks: &mut [JobRank], floor: bool) {
    ranks.sort_by(|a, b| {
        let ahead = |rank: &JobRank| floor && rank.late;
        let by_laxity = (a.laxity_ms, a.job).cmp(&(b.laxity_ms, b.job));
        match (ahead(a), ahead(b)) {
            (true, false) => std::cmp::Ordering::Less,
            (false, true) => std::cmp::Ordering::Greater,
            (true, true) => by_laxity,
            (false, false) => (a.turn, &a.account).cmp(&(b.turn, &b.account)).then(by_laxity),
        }
    });
}
