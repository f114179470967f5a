//! Which sidecars of this gateway have all their entries in force.

use std::collections::BTreeMap;

use notch_messages::entry::{EntryKey, EntryRecord, EntryStamp};
use notch_types::prelude::*;

use super::repair::record_bytes;
use crate::{
    effect::CatalogueEffect,
    settings::CatalogueSettings,
    table::{EntryTable, concerns_sidecars},
};

/// How a sidecar stands.
#[derive(Debug, Clone, Default)]
struct SidecarState {
    /// Whether this gateway counts it.
    first: bool,
    /// Whether its last report was complete.
    current: bool,
    /// Newest version of each entry sent since its link stands; at most one an entry in force.
    sent: FastMap<EntryKey, EntryVersion>,
}

impl SidecarState {
    /// What of `records` was not sent on this link yet. Links keep messages in order and lose
    /// none while they stand, so an entry that is still lacking was refused over there: sending
    /// it again for each report would go round for ever.
    fn unsent(&mut self, records: Vec<EntryRecord>) -> Vec<EntryRecord> {
        let mut fresh = |record: &EntryRecord| match self.sent.get(&record.key) {
            Some(version) if *version >= record.version => false,
            _ => {
                self.sent.insert(record.key.clone(), record.version);
                true
            }
        };
        records.into_iter().filter(|record| fresh(record)).collect()
    }
}

/// The sidecars linked to this gateway. Bound: `max_sidecars`.
#[derive(Debug, Default)]
pub(crate) struct SidecarBook {
    sidecars: BTreeMap<VmName, SidecarState>,
}

impl SidecarBook {
    /// Takes a sidecar's report and sends what it lacks.
    pub(crate) fn report(
        &mut self,
        vm: VmName,
        stamps: &[EntryStamp],
        first: bool,
        table: &EntryTable,
        settings: &CatalogueSettings,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let known = self.sidecars.contains_key(&vm);
        if !known && self.sidecars.len() >= settings.max_sidecars {
            effects.push(CatalogueEffect::Count(Counter::Dropped(DropReason::BufferFull)));
            return;
        }
        let lacking = lacking(table, stamps);
        let state = self.sidecars.entry(vm.clone()).or_default();
        state.first = first;
        state.current = lacking.is_empty();
        send_in_parts(&vm, state.unsent(lacking), settings, effects);
    }

    /// Forgets a sidecar.
    pub(crate) fn gone(&mut self, vm: &VmName) {
        self.sidecars.remove(vm);
    }

    /// Sends entries that were just adopted. Each sidecar counts as behind until it reports.
    pub(crate) fn push(
        &mut self,
        adopted: &[EntryRecord],
        settings: &CatalogueSettings,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let concerning = adopted.iter().filter(|record| concerns_sidecars(record.key.kind));
        let records: Vec<EntryRecord> = concerning.cloned().collect();
        if records.is_empty() {
            return;
        }
        for (vm, state) in &mut self.sidecars {
            state.current = false;
            send_in_parts(vm, state.unsent(records.clone()), settings, effects);
        }
    }

    /// Sidecars counted here, and those of them that are current.
    pub(crate) fn counts(&self) -> (u32, u32) {
        let first = self.sidecars.values().filter(|state| state.first);
        let current = first.clone().filter(|state| state.current).count();
        (first.count() as u32, current as u32)
    }
}

fn lacking(table: &EntryTable, stamps: &[EntryStamp]) -> Vec<EntryRecord> {
    let theirs: FastMap<&EntryKey, EntryVersion> =
        stamps.iter().map(|stamp| (&stamp.key, stamp.version)).collect();
    let known = |key: &EntryKey| theirs.get(key).copied().unwrap_or_default();
    let records = table.entries().map(|(record, _)| record);
    let concerning = records.filter(|record| concerns_sidecars(record.key.kind));
    concerning.filter(|record| record.version > known(&record.key)).cloned().collect()
}

fn send_in_parts(
    to: &VmName,
    records: Vec<EntryRecord>,
    settings: &CatalogueSettings,
    effects: &mut Vec<CatalogueEffect>,
) {
    let (mut entries, mut bytes) = (Vec::new(), 0);
    for record in records {
        bytes += record_bytes(&record);
        entries.push(record);
        if bytes >= settings.message_bytes {
            let entries = std::mem::take(&mut entries);
            effects.push(CatalogueEffect::SendSidecar { to: to.clone(), entries });
            bytes = 0;
        }
    }
    if !entries.is_empty() {
        effects.push(CatalogueEffect::SendSidecar { to: to.clone(), entries });
    }
}
