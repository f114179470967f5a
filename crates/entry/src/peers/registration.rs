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
