//! Log lines: key=value pairs or JSON, each with the VM and failure domain of its node.

mod bounded;
mod format;
mod node;
mod setup;

pub use self::{
    format::{LogLine, LogStyle},
    node::NodeLog,
    setup::{LogOutput, LogSettings, init_logs, level_filter, set_log_level},
};
