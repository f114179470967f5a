//! The process's logger.

use std::io::Write;

use env_logger::{Builder, Target};
use log::LevelFilter;
use notch_settings::prelude::{LogFormat, LogLevel, LoggingSettings, NodeSettings};
use notch_types::prelude::*;

use crate::logs::{LogLine, LogStyle, bounded::BoundedOutput};

/// Where lines go.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, each line written before the caller goes on.
    #[default]
    StandardError,
    /// Standard output, by a thread of its own that drops lines rather than hold anyone up.
    BoundedStandardOutput,
}

/// What the logger is set to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSettings {
    /// The least weighty lines that are written.
    pub level: LevelFilter,
    /// How lines are written.
    pub style: LogStyle,
    /// Where lines go.
    pub output: LogOutput,
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
            output: LogOutput::StandardError,
            vm: VmName::new("-"),
            domain: DomainName::new("-"),
        }
    }
}

impl LogSettings {
    /// The log of a node's process as its settings file says.
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

/// The filter for a level of the settings.
pub fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Starts the process's logger. Libraries are heard from `warn` up only.
/// Returns false when a logger was already started; it then stays.
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

/// Sets the least weighty lines that are written from now on; never more than at the start.
pub fn set_log_level(level: LevelFilter) {
    log::set_max_level(level);
}
