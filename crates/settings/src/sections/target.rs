//! `[target]`: the target beside a sidecar.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use notch_types::{class::TargetKind, prelude::*};

use crate::file::FieldVisitor;

/// Default port of a target.
const TARGET_PORT: u16 = 7300;

/// The target beside a sidecar.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSettings {
    /// Its catalogue name. Must be given.
    pub name: TargetName,
    /// A model engine or a plain service.
    pub kind: TargetKind,
    /// Where it listens.
    pub address: SocketAddr,
    /// Time between two readings of its load.
    pub poll: Duration,
    /// Longest wait for a connection to it.
    pub connect_timeout: Duration,
    /// A stream that brings nothing this long is held broken.
    pub idle_timeout: Duration,
    /// Models that fit into its accelerators at once.
    pub slots: u32,
    /// Whether it refuses orders of an old fencing number itself; the sidecar always does.
    pub checks_fencing: bool,
}

impl Default for TargetSettings {
    fn default() -> Self {
        Self {
            name: TargetName::new("target-1"),
            kind: TargetKind::Engine,
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, TARGET_PORT)),
            poll: Duration::from_millis(250),
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(10),
            slots: 1,
            checks_fencing: false,
        }
    }
}

impl TargetSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("target");
        fields.target("name", &mut self.name);
        let kinds = [("engine", TargetKind::Engine), ("service", TargetKind::Service)];
        fields.choice("kind", &mut self.kind, &kinds, "engine or service");
        fields.address("address", &mut self.address);
        fields.duration("poll", &mut self.poll);
        fields.duration("connect_timeout", &mut self.connect_timeout);
        fields.duration("idle_timeout", &mut self.idle_timeout);
        fields.count("slots", &mut self.slots, 1..=64);
        fields.choice(
            "checks_fencing",
            &mut self.checks_fencing,
            &[("yes", true), ("no", false)],
            "yes or no",
        );
    }
}
