//! Ends of runs of items.

use super::failed_runs::FailedRun;

/// How a run of an item ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemEnd {
    /// The output is complete.
    Completed,
    /// The target reported that the item can never succeed.
    Impossible,
    /// The target ran the item and reported a failure.
    Failed {
        /// The run.
        run: FailedRun,
    },
    /// The run was interrupted at the target; its progress is kept.
    Interrupted,
    /// The target had no free slot or was not reachable.
    NotRun,
    /// This gateway preempted the run for online work; its progress is kept.
    Preempted,
}
