//! Fatal errors of a process.

use std::{fmt, io};

use notch_settings::SettingsErrors;

/// Why a process could not start or continue.
#[derive(Debug)]
pub enum EntryError {
    /// Neither the command line nor the environment names a settings file.
    NoSettings,
    /// The settings file is missing or invalid.
    Settings(SettingsErrors),
    /// Binding a listener failed.
    Listen(&'static str, io::Error),
    /// Signal handlers could not be installed.
    Signals(io::Error),
}

impl fmt::Display for EntryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSettings => f.write_str(
                "no settings file given: neither on the command line nor in the environment",
            ),
            Self::Settings(errors) => write!(f, "{errors}"),
            Self::Listen(what, error) => write!(f, "failed to listen for {what}: {error}"),
            Self::Signals(error) => write!(f, "failed to install signal handlers: {error}"),
        }
    }
}

impl std::error::Error for EntryError {}
