//! Tells where a day's worth went, from the logs of all gateways and the day's report: which requests
//! came late or not at all, and for what cause. It reads only what every deployment writes.

pub mod cause;
pub mod line;
pub mod occupancy;
pub mod report;
pub mod summary;

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        cause::{LossCause, judge_request},
        line::LogLine,
        occupancy::{OccupancyMap, TargetRun},
        report::DayReport,
        summary::LossSummary,
    };
}
