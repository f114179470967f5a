//! Gateways with a link now, and whose turn it is.

use std::collections::BTreeSet;

use notch_types::prelude::*;

/// Gateways that can be reached. Bounded by the fleet's gateways in this sidecar's subset.
#[derive(Debug, Default)]
pub(crate) struct GatewayRoster {
    up: BTreeSet<VmName>,
    last: Option<VmName>,
}

impl GatewayRoster {
    pub(crate) fn add(&mut self, gateway: VmName) {
        self.up.insert(gateway);
    }

    pub(crate) fn remove(&mut self, gateway: &VmName) {
        self.up.remove(gateway);
    }

    pub(crate) fn is_up(&self, gateway: &VmName) -> bool {
        self.up.contains(gateway)
    }

    pub(crate) fn all(&self) -> impl Iterator<Item = &VmName> {
        self.up.iter()
    }

    /// The next gateway in turn, so that batch traffic is spread over all of them.
    pub(crate) fn next(&mut self) -> Option<VmName> {
        let after =
            self.last.as_ref().and_then(|last| self.up.range(last.clone()..).find(|g| *g != last));
        let next = after.or_else(|| self.up.first())?.clone();
        self.last = Some(next.clone());
        Some(next)
    }
}
