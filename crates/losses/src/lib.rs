//! Explains the losses in a day's score, from the logs of all gateways and the day's report: which requests
//! and items were late or failed, and why. It needs only the logs that every deployment writes.

pub mod activity;
pub mod calls;
pub mod cause;
pub mod item;
pub mod jobs;
pub mod line;
pub mod occupancy;
pub mod report;
pub mod summary;

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        activity::VmActivity,
        calls::CallCounts,
        cause::{LossCause, classify_request},
        item::{ItemRun, ItemTimeBreakdown, LateCause, TimeSpan},
        jobs::ItemStatistics,
        line::LogLine,
        occupancy::{OccupancyMap, TargetRun},
        report::DayReport,
        summary::LossSummary,
    };
}
