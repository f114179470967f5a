//! Why a process of an entry VM ends.

use std::{fmt, io};

use notch_settings::SettingsErrors;

/// Why a process could not start or go on.
#[derive(Debug)]
pub enum EntryError {
    /// No variable names the settings file, and no argument does.
    NoSettings,
    /// The settings file is wrong.
    Settings(SettingsErrors),
    /// An address can't be listened on.
    Listen(&'static str, io::Error),
    /// Signals can't be caught.
    Signals(io::Error),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSettings => f.write_str("no settings file is named"),
            Self::Settings(errors) => write!(f, "{errors}"),
            Self::Listen(what, error) => write!(f, "can't listen for {what}: {error}"),
            Self::Signals(error) => write!(f, "can't catch signals: {error}"),
        }
    }
}

impl std::error::Error for EntryError {}
