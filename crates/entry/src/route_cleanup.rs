//! Drops the state of routes that the configuration no longer names.

use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{batch::limits, node::EntryNode};

/// Drops the state of routes that have not been named for long as of `now`, except those with jobs
/// waiting here.
pub fn forget_routes(node: &EntryNode, now: MonoTime) {
    // Without a configuration it is not known which routes are unused.
    let Some(routes) = node.routes() else { return };
    let is_named =
        |name: &str| routes.routes().any(|route| WaitingLimit::is_of_route(name, &route.name));
    let mut known = node.limits.known_routes();
    known.extend(node.retry_detector().routes().map(str::to_owned));
    let due = node.dropped_routes().due(known, is_named, now);
    let clients = node.retry_detector().forget(&due);
    let limits = limits::forget(node, &due);
    if clients + limits > 0 {
        node.log.info("routes_forgotten", &[("clients_of", &clients), ("limits_of", &limits)]);
    }
}
