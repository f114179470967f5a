//! `[listen]` of a relaying entry VM.

use std::net::{Ipv4Addr, SocketAddr};

use crate::file::FieldVisitor;

/// Default port for clients' requests.
const CLIENTS_PORT: u16 = 7300;
/// Default port of the readiness answer.
const READY_PORT: u16 = 7301;
/// Default port for links from other gateways.
const LINKS_PORT: u16 = 7302;
/// Default port for metrics.
const METRICS_PORT: u16 = 7303;

/// Where a relaying entry VM listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryListenSettings {
    /// Clients' requests and jobs.
    pub clients: SocketAddr,
    /// The platform asks here whether this VM takes new connections.
    pub ready: SocketAddr,
    /// Links from other gateways; also the address that they are told.
    pub links: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

impl Default for EntryListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            clients: local(CLIENTS_PORT),
            ready: local(READY_PORT),
            links: local(LINKS_PORT),
            metrics: local(METRICS_PORT),
        }
    }
}

impl EntryListenSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("listen");
        fields.address("clients", &mut self.clients);
        fields.address("ready", &mut self.ready);
        fields.address("links", &mut self.links);
        fields.address("metrics", &mut self.metrics);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("listen");
        let all = [self.clients, self.ready, self.links, self.metrics];
        for (index, key) in ["clients", "ready", "links", "metrics"].into_iter().enumerate() {
            if all[..index].contains(&all[index]) {
                fields.clash(key, "the same address as another one of this section");
            }
        }
    }
}
