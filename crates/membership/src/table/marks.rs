//! What the VM list and the operators' entries say, laid over what gateways tell each other.

use std::collections::{BTreeMap, BTreeSet};

use notch_types::prelude::*;

use crate::event::ListedVm;

/// Most VMs taken from the list, and most marks.
const MAX_LISTED: usize = 8_192;

/// What the VM list and the operators' entries say. Both may be taken back.
///
/// Bound: [`MAX_LISTED`] elements in each map.
#[derive(Debug, Default)]
pub(crate) struct VmMarks {
    listed: BTreeMap<VmName, ListedVm>,
    marked: BTreeSet<VmName>,
}

impl VmMarks {
    /// Whether a VM is to take no new work.
    pub(crate) fn is_marked(&self, vm: &VmName) -> bool {
        let listed = self.listed.get(vm).is_some_and(|listed| listed.leaving);
        listed || self.marked.contains(vm)
    }

    /// Where a listed VM listens.
    pub(crate) fn address(&self, vm: &VmName) -> Option<&str> {
        self.listed.get(vm).map(|listed| listed.address.as_str())
    }

    /// The VMs listed, by name.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &VmName> {
        self.listed.keys()
    }

    /// Takes the VM list; the VMs that were not listed as leaving before, and those that no longer
    /// are.
    pub(crate) fn take_list(&mut self, list: Vec<ListedVm>) -> (Vec<VmName>, Vec<VmName>) {
        let before = self.listed_leaving();
        let kept = list.into_iter().take(MAX_LISTED);
        self.listed = kept.map(|listed| (listed.vm.clone(), listed)).collect();
        let after = self.listed_leaving();
        let newly = after.difference(&before).cloned().collect();
        let no_longer = before.difference(&after).cloned().collect();
        (newly, no_longer)
    }

    /// Takes the operators' marks; the VMs whose mark changed.
    pub(crate) fn take_marks(&mut self, vms: Vec<VmName>) -> Vec<VmName> {
        let marked: BTreeSet<VmName> = vms.into_iter().take(MAX_LISTED).collect();
        let changed = marked.symmetric_difference(&self.marked).cloned().collect();
        self.marked = marked;
        changed
    }

    fn listed_leaving(&self) -> BTreeSet<VmName> {
        let leaving = self.listed.values().filter(|listed| listed.leaving);
        leaving.map(|listed| listed.vm.clone()).collect()
    }
}
