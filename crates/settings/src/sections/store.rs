//! `[store]`: the platform's store.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use crate::file::FieldVisitor;

/// Default port of the store.
const STORE_PORT: u16 = 7400;

/// Smallest object limit: the fields of a job beside its items take some kilobytes.
const MIN_OBJECT_LIMIT: u64 = 64 << 10;

/// The platform's store, as this process uses it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest wait for an answer; after it a write's outcome is unknown.
    pub call_timeout: Duration,
    /// How long a watch waits for a change before it answers empty. A connection that went silent
    /// is noticed that much later, so it is shorter than the time in which a change must be in force.
    pub watch_wait: Duration,
    /// How long the results of a job stay, from its acceptance on. After it, what the store holds of
    /// a job that is done is deleted.
    pub result_lifetime: Duration,
    /// Bytes of the largest object that the store accepts.
    pub object_limit: u64,
}

impl Default for StoreSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, STORE_PORT)),
            connect_timeout: Duration::from_millis(500),
            call_timeout: Duration::from_millis(1_500),
            watch_wait: Duration::from_millis(2_500),
            result_lifetime: Duration::from_secs(3_600),
            object_limit: 1 << 20,
        }
    }
}

impl StoreSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("store");
        fields.address("address", &mut self.address);
        fields.duration("connect_timeout", &mut self.connect_timeout);
        fields.duration("call_timeout", &mut self.call_timeout);
        fields.duration("watch_wait", &mut self.watch_wait);
        fields.duration("result_lifetime", &mut self.result_lifetime);
        fields.bytes("object_limit", &mut self.object_limit, MIN_OBJECT_LIMIT..=1 << 40);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("store");
        if self.connect_timeout > self.call_timeout {
            fields.clash("connect_timeout", "connect_timeout is longer than call_timeout");
        }
    }
}
