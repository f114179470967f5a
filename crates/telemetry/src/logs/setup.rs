//! Set-up of the process's logger.

use std::io::Write;

use env_logger::{Builder, Target};
use log::LevelFilter;
use notch_settings::prelude::{LogFormat, LogLevel, LoggingSettings, NodeSettings};
use notch_types::prelude::*;

use crate::logs::{LogLine, LogStyle, bounded::BoundedOutput};

/// Destination of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error; each line is written synchronously.
    #[default]
    StandardError,
    /// Standard output; lines are written by a separate thread and dropped if it can't keep up.
    BoundedStandardOutput,
}

/// Settings of the logger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least severe level that is written.
    pub level: LevelFilter,
    /// Format of the lines.
    pub style: LogStyle,
    /// Destination of log lines.
    pub output: LogOutput,
    /// VM of lines that name none, such as those of libraries.
    pub vm: VmName,
    /// Failure domain of lines that name none.
    pub domain: DomainName,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LevelFilter::Info,
            style: LogStyle::Text,
            output: LogOutput::StandardError,
            vm: VmName::new("-"),
            domain: DomainName::new("-"),
        }
    }
}

impl LogSettings {
    /// Log settings from the settings file of a node's process.
    pub fn of(node: &NodeSettings, logging: &LoggingSettings) -> Self {
        Self {
            level: level_filter(logging.level),
            style: match logging.format {
                LogFormat::Text => LogStyle::Text,
                LogFormat::Json => LogStyle::Json,
            },
            vm: node.vm.clone(),
            domain: node.domain.clone(),
            ..Self::default()
        }
    }
}

/// Converts a level of the settings file to a filter.
pub fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Starts the process's logger. Lines of libraries are written only from level `warn` up.
/// Returns false if a logger was already set; that one is kept.
pub fn init_logs(settings: LogSettings) -> bool {
    let mut builder = Builder::new();
    builder.filter_level(settings.level.min(LevelFilter::Warn));
    builder.filter_module("notch", settings.level);
    builder.filter_module("magnolianotch", settings.level);
    if settings.output == LogOutput::BoundedStandardOutput
        && let Some(output) = BoundedOutput::start()
    {
        builder.target(Target::Pipe(Box::new(output)));
    }
    builder.format(move |out, record| {
        let time = out.timestamp_millis().to_string();
        let (vm, domain) = (settings.vm.as_str(), settings.domain.as_str());
        let line = LogLine::new(&time, record, vm, domain);
        writeln!(out, "{}", line.render(settings.style))
    });
    builder.try_init().is_ok()
}

/// Changes the least severe level that is written. It can't exceed the level that the logger was
/// started with.
pub fn set_log_level(level: LevelFilter) {
    log::set_max_level(level);
}
