//! Why a gateway can't start.

use std::{fmt, io, net::SocketAddr};

use notch_settings::SettingsErrors;

/// Why a gateway can't start.
#[derive(Debug)]
pub enum GatewayError {
    /// The settings are wrong.
    Settings(SettingsErrors),
    /// The settings of a part clash in a way that the file's check does not know.
    Part {
        /// Which part and why.
        detail: String,
    },
    /// An address can't be listened on.
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's reason.
        source: io::Error,
    },
    /// The operating system gives no thread.
    Thread(io::Error),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(errors) => errors.fmt(f),
            Self::Part { detail } => f.write_str(detail),
            Self::Listen { address, source } => write!(f, "can't listen on {address}: {source}"),
            Self::Thread(source) => write!(f, "no thread to be had: {source}"),
        }
    }
}

impl std::error::Error for GatewayError {}

impl From<SettingsErrors> for GatewayError {
    fn from(errors: SettingsErrors) -> Self {
        Self::Settings(errors)
    }
}
