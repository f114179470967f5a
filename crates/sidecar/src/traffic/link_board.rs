//! The newest link to each gateway.

use std::sync::{PoisonError, RwLock};

use notch_link::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

/// The newest link to each gateway. Bounded by the gateways that dial this sidecar.
#[derive(Debug, Default)]
pub(crate) struct LinkBoard {
    links: RwLock<FastMap<VmName, LinkHandle>>,
}

impl LinkBoard {
    /// Puts a new link in place of an older one, which is closed: its gateway has given it up.
    pub(crate) fn put(&self, gateway: VmName, link: LinkHandle) {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(older) = links.insert(gateway, link) {
            older.close();
        }
    }

    /// Takes a lost link out; `false` when a newer one stands in its place.
    pub(crate) fn remove(&self, gateway: &VmName, link: u64) -> bool {
        let mut links = self.links.write().unwrap_or_else(PoisonError::into_inner);
        let is_current = links.get(gateway).is_some_and(|current| current.id() == link);
        if is_current {
            links.remove(gateway);
        }
        is_current
    }

    /// Whether this is the gateway's newest link.
    pub(crate) fn is_current(&self, gateway: &VmName, link: u64) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        links.get(gateway).is_some_and(|current| current.id() == link)
    }

    /// Queues a message; `false` when there is no link or its queue is full.
    pub(crate) fn send(&self, gateway: &VmName, message: GatewayMessage) -> bool {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        let Some(link) = links.get(gateway) else { return false };
        link.send(LinkMessage::ToGateway(message)).is_ok()
    }

    /// Closes a gateway's link: what was on it is made up for over the next one.
    pub(crate) fn close(&self, gateway: &VmName) {
        let links = self.links.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(link) = links.get(gateway) {
            link.close();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.links.read().unwrap_or_else(PoisonError::into_inner).len()
    }
}
