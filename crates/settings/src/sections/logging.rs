//! `[logging]`: log lines.

use crate::file::FieldVisitor;

/// The least weighty lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogLevel {
    /// Faults only.
    Error,
    /// Faults and what may become one.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Decisions.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// Every level, weightiest first.
    pub const ALL: [LogLevel; 5] = [Self::Error, Self::Warn, Self::Info, Self::Debug, Self::Trace];

    /// The level's name, as written in the file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

/// How lines are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// Every format.
    pub const ALL: [LogFormat; 2] = [Self::Text, Self::Json];

    /// The format's name, as written in the file.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Json => "json",
        }
    }
}

/// Log lines.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoggingSettings {
    /// The least weighty lines that are written.
    pub level: LogLevel,
    /// How lines are written.
    pub format: LogFormat,
}

impl LoggingSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("logging");
        let levels = LogLevel::ALL.map(|level| (level.as_str(), level));
        fields.choice("level", &mut self.level, &levels, "error, warn, info, debug or trace");
        let formats = LogFormat::ALL.map(|format| (format.as_str(), format));
        fields.choice("format", &mut self.format, &formats, "text or json");
    }
}
