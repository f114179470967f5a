//! Takes records in, tells of them, and passes them on.

use notch_messages::{
    entry::{EntryKey, EntryKind, EntryRecord, EntryStamp},
    gossip::GossipMessage,
};
use notch_types::{object::StoredObject, prelude::*};
use rand::{rngs::SmallRng, seq::IndexedRandom};

use super::{push::PushBudget, repair::record_bytes, sidecars::SidecarBook};
use crate::{
    effect::CatalogueEffect,
    key,
    schema::EntryFault,
    settings::CatalogueSettings,
    table::{Adoption, EntryTable},
};

/// Most entries of one push; more of them at once go by anti-entropy.
const MAX_PUSHED: usize = 64;

/// The entries in force, and everybody who is told when they change.
#[derive(Debug)]
pub(crate) struct RecordIntake {
    vm: VmName,
    settings: CatalogueSettings,
    random: SmallRng,
    table: EntryTable,
    budget: PushBudget,
    sidecars: SidecarBook,
    /// Whom links are kept to, without this gateway itself.
    pub(crate) partners: Vec<VmName>,
    /// Whether to push: not while a starting node loads everything.
    pub(crate) pushes: bool,
}

impl RecordIntake {
    pub(crate) fn new(vm: &VmName, settings: CatalogueSettings, random: SmallRng) -> Self {
        Self {
            vm: vm.clone(),
            random,
            table: EntryTable::new(settings.max_entries),
            budget: PushBudget::new(&settings),
            sidecars: SidecarBook::default(),
            partners: Vec::new(),
            pushes: false,
            settings,
        }
    }

    pub(crate) fn table(&self) -> &EntryTable {
        &self.table
    }

    /// One partner by chance.
    pub(crate) fn any_partner(&mut self) -> Option<VmName> {
        self.partners.choose(&mut self.random).cloned()
    }

    /// Takes a sidecar's report and sends what it lacks.
    pub(crate) fn sidecar_report(
        &mut self,
        vm: VmName,
        stamps: &[EntryStamp],
        first: bool,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        self.sidecars.report(vm, stamps, first, &self.table, &self.settings, effects);
    }

    /// Forgets a sidecar.
    pub(crate) fn sidecar_gone(&mut self, vm: &VmName) {
        self.sidecars.gone(vm);
    }

    /// Sidecars counted here, and those of them that are current.
    pub(crate) fn sidecar_counts(&self) -> (u32, u32) {
        self.sidecars.counts()
    }

    /// Takes objects of the store.
    pub(crate) fn take_objects(
        &mut self,
        now: MonoTime,
        objects: Vec<StoredObject>,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let mut records = Vec::new();
        for object in objects {
            let Some(key) = key::entry_key(&object.key) else {
                effects.push(CatalogueEffect::Count(Counter::Event("catalogue_strange_keys")));
                continue;
            };
            let Some(body) = object.value else {
                // Entries are retired by an edit: a deleted object changes nothing in force.
                let counter = Counter::Event("catalogue_deletions_ignored");
                effects.push(CatalogueEffect::Count(counter));
                continue;
            };
            records.push(EntryRecord { key, version: EntryVersion(object.version.0), body });
        }
        self.take_records(now, records, None, effects);
    }

    /// Adopts what is newer and passes it on; whether anything was.
    pub(crate) fn take_records(
        &mut self,
        now: MonoTime,
        records: Vec<EntryRecord>,
        from: Option<&VmName>,
        effects: &mut Vec<CatalogueEffect>,
    ) -> bool {
        let mut adopted = Vec::new();
        for record in records {
            if self.take_record(&record, effects) {
                adopted.push(record);
            }
        }
        self.sidecars.push(&adopted, &self.settings, effects);
        self.push(now, &adopted, from, effects);
        !adopted.is_empty()
    }

    fn take_record(&mut self, record: &EntryRecord, effects: &mut Vec<CatalogueEffect>) -> bool {
        let dropped = match self.table.adopt(record.clone()) {
            Adoption::Adopted(entry) => {
                note(&record.key, "entry_adopted", format!("version {}", record.version), effects);
                effects.push(CatalogueEffect::Count(Counter::Event("catalogue_adopted")));
                effects.push(CatalogueEffect::Adopted { record: record.clone(), entry });
                return true;
            }
            Adoption::Invalid { in_force, faults } => {
                tell_invalid(record, in_force, faults, effects);
                return false;
            }
            Adoption::Stale => DropReason::StaleEntry,
            Adoption::Full => DropReason::BufferFull,
        };
        effects.push(CatalogueEffect::Count(Counter::Dropped(dropped)));
        false
    }

    fn push(
        &mut self,
        now: MonoTime,
        adopted: &[EntryRecord],
        from: Option<&VmName>,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        if !self.pushes || adopted.is_empty() || adopted.len() > MAX_PUSHED {
            return;
        }
        let others: Vec<&VmName> =
            self.partners.iter().filter(|partner| Some(*partner) != from).collect();
        let chosen: Vec<VmName> = others
            .sample(&mut self.random, self.settings.push_fanout)
            .map(|partner| (*partner).clone())
            .collect();
        let bytes = adopted.iter().map(record_bytes).sum::<usize>() * chosen.len();
        if !self.budget.take(now, bytes, &self.settings) {
            effects.push(CatalogueEffect::Count(Counter::Event("catalogue_pushes_left_out")));
            return;
        }
        for to in chosen {
            let entries = adopted.to_vec();
            let message = GossipMessage::Entries { entries, covers: Vec::new() };
            effects.push(CatalogueEffect::Send { to, message });
        }
    }

    /// Tells that the catalogue is complete.
    pub(crate) fn tell_ready(&self, effects: &mut Vec<CatalogueEffect>) {
        let detail = format!("{} entries in force", self.table.len());
        let subject = NoteSubject::Vm(self.vm.clone());
        effects.push(CatalogueEffect::Ready);
        effects.push(CatalogueEffect::Note(DecisionNote::new(subject, "catalogue_ready", detail)));
    }
}

fn tell_invalid(
    record: &EntryRecord,
    in_force: Option<EntryVersion>,
    faults: Vec<EntryFault>,
    effects: &mut Vec<CatalogueEffect>,
) {
    let first = faults.first().map(ToString::to_string).unwrap_or_default();
    let detail = format!("version {} refused, {first}", record.version);
    note(&record.key, "entry_invalid", detail, effects);
    effects.push(CatalogueEffect::Count(Counter::Refused(RefusalReason::InvalidEntry)));
    let (key, version) = (record.key.clone(), record.version);
    effects.push(CatalogueEffect::Invalid { key, version, in_force, faults });
}

fn note(key: &EntryKey, code: &'static str, detail: String, effects: &mut Vec<CatalogueEffect>) {
    let subject = match key.kind {
        EntryKind::Target => NoteSubject::Target(TargetName::new(&key.name)),
        EntryKind::Leaving => NoteSubject::Vm(VmName::new(&key.name)),
        // Thousands of accounts at a start would push every other note out.
        EntryKind::Account | EntryKind::Policy => return,
    };
    effects.push(CatalogueEffect::Note(DecisionNote::new(subject, code, detail)));
}
