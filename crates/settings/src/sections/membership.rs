//! `[membership]`: how gateways and sidecars see each other.

use std::time::Duration;

use crate::file::FieldVisitor;

/// How gateways and sidecars see each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// A gateway pings one other this often.
    pub ping_every: Duration,
    /// Longest wait for an answer to a ping, before others are asked to ping.
    pub ping_timeout: Duration,
    /// A suspect has this long to refute before it is held dead.
    pub suspect_after: Duration,
    /// Gateways that each sidecar is linked to.
    pub subset: u32,
    /// Watchers of the catalogue in each failure domain.
    pub watchers: u32,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            ping_every: Duration::from_millis(500),
            ping_timeout: Duration::from_millis(200),
            suspect_after: Duration::from_secs(2),
            subset: 8,
            watchers: 2,
        }
    }
}

impl MembershipSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("membership");
        fields.duration("ping_every", &mut self.ping_every);
        fields.duration("ping_timeout", &mut self.ping_timeout);
        fields.duration("suspect_after", &mut self.suspect_after);
        fields.count("subset", &mut self.subset, 1..=64);
        fields.count("watchers", &mut self.watchers, 1..=16);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("membership");
        if self.ping_timeout >= self.ping_every {
            fields.clash("ping_timeout", "ping_timeout is not shorter than ping_every");
        }
        if self.suspect_after < self.ping_every * 2 {
            fields.clash("suspect_after", "suspect_after is shorter than twice ping_every");
        }
    }
}
