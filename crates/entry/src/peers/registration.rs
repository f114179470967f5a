//! A gateway as it registers itself in the store.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Kind of the gateways' own entries in the store, each named after its VM.
pub const GATEWAY_KIND: &str = "notch-gateways";

/// A gateway as it registers itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayEntry {
    /// Where it listens for links.
    pub address: SocketAddr,
    /// Its name with its incarnation: another one means a restart.
    pub owner: String,
    /// Its failure domain.
    pub domain: String,
}
