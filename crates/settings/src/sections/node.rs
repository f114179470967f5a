//! `[node]`: who and where this process is.

use std::path::PathBuf;

use notch_types::prelude::*;

use crate::file::FieldVisitor;

/// Who and where this process is. A process learns both from its settings alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSettings {
    /// This VM's name, unique in the fleet. Must be given.
    pub vm: VmName,
    /// Its failure domain. Must be given.
    pub domain: DomainName,
    /// Its region.
    pub region: String,
    /// Folder for bulk data; none on VMs without a disk.
    pub data: Option<PathBuf>,
}

impl Default for NodeSettings {
    fn default() -> Self {
        Self {
            vm: VmName::new("vm-1"),
            domain: DomainName::new("domain-1"),
            region: "region-1".to_owned(),
            data: None,
        }
    }
}

impl NodeSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("node");
        fields.vm("vm", &mut self.vm);
        fields.domain("domain", &mut self.domain);
        fields.name("region", &mut self.region);
        fields.optional_path("data", &mut self.data);
    }
}
