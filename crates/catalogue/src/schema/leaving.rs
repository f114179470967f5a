//! Entries of VMs to drain.

use notch_types::prelude::*;

use super::reader::FieldReader;

/// A VM that takes no new work any more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingEntry {
    /// The VM; the entry's name unless given.
    pub vm: VmName,
    /// Whether the VM may take work again.
    pub retired: bool,
}

impl LeavingEntry {
    pub(super) fn read(reader: &mut FieldReader<'_>, name: &str) -> Self {
        let vm = reader.text("vm", name);
        Self { vm: VmName::new(&vm), retired: reader.boolean("retired", false) }
    }
}
