//! The entry by which a gateway registers itself in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Object kind of the gateways' entries in the store; each is named after its VM.
pub const GATEWAY_KIND: &str = "notch-gateways";

/// Entry of a gateway.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// Address on which it listens for links.
    pub address: SocketAddr,
    /// VM name with the incarnation of the process; a different one means that it restarted.
    pub owner: String,
    /// Failure domain of its VM.
    pub domain: String,
}

/// An entry as its gateway writes it.
#[derive(Debug, Serialize, Deserialize)]
pub struct RegisteredEntry {
    /// The entry.
    #[serde(flatten)]
    pub entry: GatewayEntry,
    /// Number of the write, different for each one of the process. A write without an answer may take effect after the
    /// entry was deleted; by the number the gateway finds that the entry isn't the one that it knows to be written.
    /// `None` where gateways aren't evicted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub registration: Option<u64>,
}

/// What replaces the entry of an evicted gateway. The store has a condition on the revision for writes only, and an
/// entry that was renewed after it was judged must stay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictedEntry {
    /// The eviction.
    pub evicted: EvictionMark,
}

/// Who was evicted by whom.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvictionMark {
    /// Identity of the evicted gateway by its entry.
    pub owner: String,
    /// Identity of the gateway that evicted it.
    pub by: String,
}

/// An object of [`GATEWAY_KIND`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoredEntry {
    /// The entry of a gateway.
    Present(GatewayEntry),
    /// The entry was deleted by an eviction.
    Evicted(EvictionMark),
}

impl StoredEntry {
    /// Decodes an object's spec.
    ///
    /// # Errors
    /// It is neither an entry nor the mark of an eviction.
    pub fn decode(text: &str) -> Result<Self, serde_json::Error> {
        match serde_json::from_str::<EvictedEntry>(text) {
            Ok(deleted) => Ok(Self::Evicted(deleted.evicted)),
            Err(_) => serde_json::from_str(text).map(Self::Present),
        }
    }
}
