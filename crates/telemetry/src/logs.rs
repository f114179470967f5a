//! Log lines: key=value pairs or JSON, each with its VM and failure domain.

mod format;
mod node;
mod setup;

pub use self::{
    format::{LogLine, LogStyle},
    node::NodeLog,
    setup::{LogSettings, init_logs},
};
