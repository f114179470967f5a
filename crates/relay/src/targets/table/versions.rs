//! Software versions of the targets.

use notch_types::prelude::*;

use super::TargetTable;
use crate::targets::{
    entry::TargetState,
    version_history::{VersionHistory, VersionView},
};

impl TargetTable {
    /// Whether a target of `service` with software `version` accepts new requests.
    pub fn has_version(&self, service: &str, version: &str) -> bool {
        self.entries().any(|entry| {
            let is_ready = entry.state == TargetState::Ready;
            is_ready && entry.service == service && entry.software_version == version
        })
    }

    /// What is known of the software versions at which recent streams of `service` may have begun.
    pub fn version_view(&self, service: &str, now: MonoTime) -> VersionView {
        self.versions.view(service, now)
    }

    /// Whether a stream that began at target `id` may have been written by another version than
    /// `version`: the target has restarted under its name with other software, possibly before it
    /// began the stream.
    pub fn is_version_uncertain(&self, id: &str, version: &str) -> bool {
        let name = id.rsplit_once('#').map_or(id, |(name, _)| name);
        self.entries()
            .any(|entry| entry.name == name && entry.id != id && entry.software_version != version)
    }

    /// Software versions of the recent past.
    pub fn versions(&self) -> &VersionHistory {
        &self.versions
    }

    /// Software versions of the recent past, to be completed by what was recorded before the start.
    pub fn versions_mut(&mut self) -> &mut VersionHistory {
        &mut self.versions
    }
}
