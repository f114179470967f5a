//! `[listen]` of a sidecar: it listens for links and metrics, never for callers.

use std::net::{Ipv4Addr, SocketAddr};

use crate::file::FieldVisitor;

/// Default port for links from gateways.
const LINKS_PORT: u16 = 7201;
/// Default port for metrics and health.
const METRICS_PORT: u16 = 7202;

/// Where a sidecar listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelaySettings {
    /// Links from gateways; also the address that the VM list tells.
    pub links: SocketAddr,
    /// Metrics and health.
    pub metrics: SocketAddr,
}

impl Default for RelaySettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self { links: local(LINKS_PORT), metrics: local(METRICS_PORT) }
    }
}

impl RelaySettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("listen");
        fields.address("links", &mut self.links);
        fields.address("metrics", &mut self.metrics);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("listen");
        if self.links == self.metrics {
            fields.clash("metrics", "metrics and links are the same address");
        }
    }
}
