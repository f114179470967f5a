//! What a process tells of itself: metrics, log lines for changes of state, and the notes of its
//! decisions. Nothing here is global but the logger, which the `log` crate makes so.

pub mod logs;
pub mod metrics;
pub mod notes;

/// The types nearly every user of this crate needs.
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
