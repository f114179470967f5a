//! Why a sidecar can't start.

use std::{fmt, io};

/// Why a sidecar can't start.
#[derive(Debug)]
pub enum SidecarError {
    /// An address can't be listened on.
    Listen {
        /// Which, `ip:port`.
        address: String,
        /// The operating system's error.
        error: io::Error,
    },
    /// The file of the shared secret can't be read.
    Secret(io::Error),
    /// There is no shared secret.
    NoSecret,
    /// The control thread can't be started.
    Thread(io::Error),
}

impl fmt::Display for SidecarError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen { address, error } => write!(f, "can't listen on {address}: {error}"),
            Self::Secret(error) => write!(f, "can't read the links' secret: {error}"),
            Self::NoSecret => f.write_str("[links] gives no secret"),
            Self::Thread(error) => write!(f, "can't start the control thread: {error}"),
        }
    }
}

impl std::error::Error for SidecarError {}
