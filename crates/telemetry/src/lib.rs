//! Telemetry of a process: metrics, log lines for state changes, and notes of decisions. Nothing
//! here is global except the logger, which the `log` crate requires to be.

pub mod logs;
pub mod metrics;
pub mod notes;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::{
        logs::{
            LogLine, LogOutput, LogSettings, LogStyle, NodeLog, init_logs, level_filter,
            set_log_level,
        },
        metrics::{Gauge, Metrics, PairCounter, Timing},
        notes::{NoteEntry, NoteHistory, NoteHistorySettings, SubjectNotes},
    };
}
