//! Settings of a gateway process on loopback.

use std::{net::SocketAddr, time::Duration};

use notch_settings::EntryConfig;
use notch_standins::lasting_address;
use notch_types::prelude::VmName;

/// Shared secret of the links between gateways.
const SECRET: &str = "for-tests-only-for-tests-only";

/// Longest time for which a gateway in the soak test may still accept a revoked key.
pub const REVOCATION_BOUND: Duration = Duration::from_millis(2_500);

/// Settings of a gateway that calls the store at `store`, with links as in production and its own loopback
/// addresses.
pub fn gateway_config(vm: &str, store: SocketAddr) -> EntryConfig {
    let mut config = EntryConfig::default();
    config.node.vm = VmName::new(vm);
    config.store.address = store;
    // Only believed by a gateway that the store didn't know before.
    config.fleet.first_start = true;
    config.links.secret = Some(SECRET.to_owned());
    config.links.secret_file = None;
    config.links.heartbeat = Duration::from_millis(300);
    config.links.silence = Duration::from_millis(1_000);
    for address in [
        &mut config.listen.clients,
        &mut config.listen.ready,
        &mut config.listen.links,
        &mut config.listen.metrics,
    ] {
        *address = lasting_address();
    }
    config
}
