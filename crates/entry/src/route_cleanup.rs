//! Forgets what is known of routes that the configuration no longer names.

use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{batch::limits, node::EntryNode};

/// Forgets routes that haven't been named for long, as of `now`. Whose jobs wait here is kept.
pub fn forget_routes(node: &EntryNode, now: MonoTime) {
    // Before the first configuration nothing can be told of any route.
    let Some(routes) = node.routes() else { return };
    let is_named =
        |name: &str| routes.routes().any(|route| WaitingLimit::is_of_route(name, &route.name));
    let mut known = node.limits.known_routes();
    known.extend(node.patience().routes().map(str::to_owned));
    let due = node.dropped_routes().due(known, is_named, now);
    let clients = node.patience().forget(&due);
    let limits = limits::forget(node, &due);
    if clients + limits > 0 {
        node.log.info("routes_forgotten", &[("clients_of", &clients), ("limits_of", &limits)]);
    }
}
