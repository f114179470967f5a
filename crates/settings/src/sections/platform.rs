//! `[platform]`: the platform's services and how often they may be called.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use crate::file::FieldVisitor;

/// Default port of the object API.
const OBJECTS_PORT: u16 = 7001;
/// Default port of the VM list.
const VM_LIST_PORT: u16 = 7002;
/// Default port of the weight store.
const WEIGHTS_PORT: u16 = 7003;
/// Upper bound of one process's own call rate: the platform's whole read rate, calls a second.
const CALLS_BOUND: u64 = 2_000;

/// The platform's services, as this process may use them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The object API.
    pub objects: SocketAddr,
    /// The VM list.
    pub vm_list: SocketAddr,
    /// The weight store's permits.
    pub weights: SocketAddr,
    /// Calls a second to the object API, a waiting watch included; more wait their turn.
    pub calls_per_s: u32,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest wait for an answer; after it a write's outcome is unknown.
    pub call_timeout: Duration,
    /// How long a watch waits for a change before it answers empty.
    pub watch_wait: Duration,
    /// Time between two readings of the VM list.
    pub vm_list_every: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        Self {
            objects: local(OBJECTS_PORT),
            vm_list: local(VM_LIST_PORT),
            weights: local(WEIGHTS_PORT),
            calls_per_s: 50,
            connect_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(2),
            watch_wait: Duration::from_secs(20),
            vm_list_every: Duration::from_secs(2),
        }
    }
}

impl PlatformSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("platform");
        fields.address("objects", &mut self.objects);
        fields.address("vm_list", &mut self.vm_list);
        fields.address("weights", &mut self.weights);
        fields.count("calls_per_s", &mut self.calls_per_s, 1..=CALLS_BOUND);
        fields.duration("connect_timeout", &mut self.connect_timeout);
        fields.duration("call_timeout", &mut self.call_timeout);
        fields.duration("watch_wait", &mut self.watch_wait);
        fields.duration("vm_list_every", &mut self.vm_list_every);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("platform");
        if self.connect_timeout > self.call_timeout {
            fields.clash("connect_timeout", "connect_timeout is longer than call_timeout");
        }
    }
}
