//! `[limits]`: bounds on what strangers can make a process hold.

use std::time::Duration;

use crate::file::FieldVisitor;

/// Bounds on what strangers can make a process hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSettings {
    /// Largest head of an HTTP request, bytes.
    pub header: u64,
    /// Largest body of an online request, bytes.
    pub body: u64,
    /// Most connections open at once.
    pub connections: u32,
    /// Longest wait for a request's head.
    pub header_timeout: Duration,
    /// Longest time a caller may read or write nothing in mid-request.
    pub idle_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            header: 16 << 10,
            body: 1 << 20,
            connections: 2_000,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

impl LimitSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("limits");
        fields.bytes("header", &mut self.header, 1_024..=1 << 20);
        fields.bytes("body", &mut self.body, 1_024..=64 << 20);
        fields.count("connections", &mut self.connections, 1..=100_000);
        fields.duration("header_timeout", &mut self.header_timeout);
        fields.duration("idle_timeout", &mut self.idle_timeout);
    }
}
