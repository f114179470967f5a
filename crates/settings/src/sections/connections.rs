//! `[connections]`: how many connections the process may have.

use crate::file::FieldVisitor;

/// Share of the descriptors for connections of clients. The rest is for targets, links and the store.
const CLIENT_SHARE: f64 = 0.75;

/// How many connections the process may have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Descriptors that the process may use in all; 0 where no limit is known.
    pub max_descriptors: u32,
}

impl ConnectionSettings {
    /// Maximum number of open client connections.
    pub fn max_clients(&self) -> usize {
        match self.max_descriptors {
            0 => usize::MAX,
            limit => (f64::from(limit) * CLIENT_SHARE) as usize,
        }
    }

    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("connections");
        fields.count("max_descriptors", &mut self.max_descriptors, 0..=1 << 30);
    }
}
