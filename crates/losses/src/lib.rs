//! Tells where a day's worth went, from the logs of all gateways and the day's report: which requests
//! came late or not at all, and for what cause. It reads only what every deployment writes.

pub mod calls;
pub mod cause;
pub mod item;
pub mod jobs;
pub mod line;
pub mod occupancy;
pub mod presence;
pub mod report;
pub mod summary;

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        calls::CallAccount,
        cause::{LossCause, judge_request},
        item::{ItemRun, ItemTime, LateCause, Stretch},
        jobs::ItemAccount,
        line::LogLine,
        occupancy::{OccupancyMap, TargetRun},
        presence::VmPresence,
        report::DayReport,
        summary::LossSummary,
    };
}
