//! The process's logger.

use std::io::Write;

use env_logger::Builder;
use log::LevelFilter;
use notch_types::prelude::*;

use crate::logs::{LogLine, LogStyle};

/// What the logger is set to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least weighty lines that are written.
    pub level: LevelFilter,
    /// How lines are written.
    pub style: LogStyle,
    /// Stands on lines that name no VM, such as those of libraries.
    pub vm: VmName,
    /// Stands on lines that name no failure domain.
    pub domain: DomainName,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            style: LogStyle::Text,
            vm: VmName::new("-"),
            domain: DomainName::new("-"),
        }
    }
}

/// Starts the process's logger, to standard error. Libraries are heard from `warn` up only.
/// Returns false when a logger was already started; it then stays.
pub fn init_logs(settings: LogSettings) -> bool {
    let mut builder = Builder::new();
    builder.filter_level(settings.level.min(LevelFilter::Warn));
    builder.filter_module("notch", settings.level);
    builder.filter_module("magnolianotch", settings.level);
    builder.format(move |out, record| {
        let time = out.timestamp_millis().to_string();
        let (vm, domain) = (settings.vm.as_str(), settings.domain.as_str());
        let line = LogLine::new(&time, record, vm, domain);
        writeln!(out, "{}", line.render(settings.style))
    });
    builder.try_init().is_ok()
}
