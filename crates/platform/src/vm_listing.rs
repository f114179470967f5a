//! The platform's VM list as an edge that tests can replace.

use std::{fmt, sync::Arc};

use futures_util::future::BoxFuture;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a VM is there for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// An entry VM; a gateway runs on it.
    Entry,
    /// A target VM; a sidecar runs on it.
    Target,
}

/// What the platform plans for a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It is to stay.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// One line of the VM list. The list lags behind reality: a line proves neither that the VM
/// answers nor that it still exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// The VM's name.
    pub vm: VmName,
    /// What it is there for.
    pub role: VmRole,
    /// Where its gateway or sidecar takes links, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// What the platform plans for it.
    pub state: VmState,
}

/// Why the list could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListingFailure {
    /// The platform asks for patience.
    Throttled {
        /// How long to wait, milliseconds.
        retry_after_ms: u64,
    },
    /// No answer, or the platform said that it can't answer.
    Unavailable,
    /// The answer can't be understood.
    Malformed,
}

impl fmt::Display for ListingFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Throttled { retry_after_ms } => {
                write!(f, "the VM list asks to wait {retry_after_ms} ms")
            }
            Self::Unavailable => f.write_str("the VM list gives no answer"),
            Self::Malformed => f.write_str("the VM list's answer can't be understood"),
        }
    }
}

impl std::error::Error for ListingFailure {}

/// Reads the platform's VM list.
pub trait VmListing: Send + Sync {
    /// All VMs the platform knows of, in name order.
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, ListingFailure>>;
}

impl<T: VmListing + ?Sized> VmListing for Arc<T> {
    fn list(&self) -> BoxFuture<'_, Result<Vec<VmRecord>, ListingFailure>> {
        (**self).list()
    }
}
