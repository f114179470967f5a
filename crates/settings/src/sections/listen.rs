//! `[listen]`: where a gateway listens.

use std::net::{Ipv4Addr, SocketAddr};

use crate::file::FieldVisitor;

/// Default port for callers' HTTP.
const CALLERS_PORT: u16 = 7100;
/// Default port for links from sidecars and other gateways.
const LINKS_PORT: u16 = 7101;
/// Default port for metrics and health.
const METRICS_PORT: u16 = 7102;

/// Where a gateway listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListenSettings {
    /// Callers' and operators' HTTP.
    pub callers: SocketAddr,
    /// Links from sidecars and other gateways; also the address that peers are told.
    pub links: SocketAddr,
    /// Metrics and health.
    pub metrics: SocketAddr,
}

impl Default for ListenSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            callers: local(CALLERS_PORT),
            links: local(LINKS_PORT),
            metrics: local(METRICS_PORT),
        }
    }
}

impl ListenSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("listen");
        fields.address("callers", &mut self.callers);
        fields.address("links", &mut self.links);
        fields.address("metrics", &mut self.metrics);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("listen");
        if self.callers == self.links {
            fields.clash("links", "links and callers are the same address");
        }
        if self.callers == self.metrics || self.links == self.metrics {
            fields.clash("metrics", "metrics is the same address as callers or links");
        }
    }
}
