//! Entries of the gateways, as the store has them.
//!
//! Only the gateways that follow the store read changes there; the others hear of them. Entries have the store's
//! revision of their last change, and only a higher one replaces an entry. A digest over all of them shows whether two
//! gateways know the same ones.

use std::time::Duration;

use notch_messages::prelude::{GatewayChanges, VersionedGateway};
use notch_types::prelude::*;

use crate::peers::registration::GatewayEntry;

/// Maximum number of removed entries that are remembered. An older removal can only be undone by a message that was
/// sent before it, and a comparison of digests corrects that.
const MAX_REMOVED_ENTRIES: usize = 1_024;
/// How long a digest may differ from a follower's before the whole list is requested: several times what a push takes.
const MISMATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum interval between two such requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// What is known of one gateway's entry.
#[derive(Debug, Clone)]
struct KnownGateway {
    /// Store revision of the last change.
    revision: u64,
    /// `None` if the entry was removed.
    entry: Option<GatewayEntry>,
    /// Value of the roster's `changes` when this change was applied.
    change: u64,
}

/// A change of the gateways' entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RosterChange {
    /// Adds or replaces an entry.
    Put(VmName, GatewayEntry),
    /// Removes an entry.
    Remove(VmName),
}

/// Entry of one gateway at its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RosterEntry {
    /// The VM.
    pub vm: VmName,
    /// Identity of the gateway.
    pub owner: String,
    /// Store revision of its last change.
    pub revision: u64,
}

/// Entries of the gateways by revision, and when to request them from another gateway.
///
/// The worst case is a start of hundreds of gateways, each of which has to learn of all others.
#[derive(Debug, Default)]
pub struct GatewayRoster {
    known: FastMap<VmName, KnownGateway>,
    /// Highest revision of any change applied, or of a list.
    revision: u64,
    /// Number of changes applied.
    changes: u64,
    /// XOR of the digests of all present entries.
    digest: u64,
    /// Since when a follower's digest differs. Reset by an equal one.
    differs_since: Option<MonoTime>,
    /// When the whole list was last requested.
    requested_at: Option<MonoTime>,
}

impl GatewayRoster {
    /// Digest of the present entries, independent of the order in which they arrived.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of changes applied so far, to be passed to [`changes_since`](Self::changes_since).
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// The present entries.
    pub fn entries(&self) -> Vec<RosterEntry> {
        let entries = self.known.iter().filter_map(|(vm, known)| {
            let owner = known.entry.as_ref()?.owner.clone();
            Some(RosterEntry { vm: vm.clone(), owner, revision: known.revision })
        });
        entries.collect()
    }

    /// Gateways whose entries were removed.
    pub fn removed_vms(&self) -> FastSet<VmName> {
        let removed = self.known.iter().filter(|(_, known)| known.entry.is_none());
        removed.map(|(vm, _)| vm.clone()).collect()
    }

    /// Applies an entry as of `revision`.
    pub fn put(&mut self, vm: &VmName, entry: GatewayEntry, revision: u64) -> Option<RosterChange> {
        if self.is_known(vm, revision) {
            return None;
        }
        self.record(vm, revision, Some(entry.clone()));
        Some(RosterChange::Put(vm.clone(), entry))
    }

    /// Removes an entry that was gone at `revision`.
    pub fn remove(&mut self, vm: &VmName, revision: u64) -> Option<RosterChange> {
        if self.is_known(vm, revision) {
            return None;
        }
        let was_present = self.known.get(vm).is_some_and(|known| known.entry.is_some());
        self.record(vm, revision, None);
        self.evict_removed();
        was_present.then(|| RosterChange::Remove(vm.clone()))
    }

    /// Applies a complete list as of a revision. Entries that are not in it were gone by then.
    pub fn apply_list(
        &mut self,
        entries: Vec<(VmName, GatewayEntry, u64)>,
        as_of: u64,
    ) -> Vec<RosterChange> {
        let listed: FastSet<VmName> = entries.iter().map(|(vm, ..)| vm.clone()).collect();
        let mut changes: Vec<RosterChange> = entries
            .into_iter()
            .filter_map(|(vm, entry, revision)| self.put(&vm, entry, revision))
            .collect();
        let present = self.known.iter().filter(|(_, known)| known.entry.is_some());
        let missing = present.filter(|(vm, _)| !listed.contains(*vm));
        let missing: Vec<VmName> = missing.map(|(vm, _)| vm.clone()).collect();
        changes.extend(missing.iter().filter_map(|vm| self.remove(vm, as_of)));
        self.revision = self.revision.max(as_of);
        changes
    }

    /// Applies a message from another gateway.
    pub fn apply_changes(&mut self, changes: GatewayChanges) -> Vec<RosterChange> {
        let GatewayChanges { as_of, is_whole, entries, gone } = changes;
        let entries = entries.into_iter().map(|known| {
            let VersionedGateway { vm, address, owner, domain, revision } = known;
            (vm, GatewayEntry { address, owner, domain }, revision)
        });
        if is_whole {
            return self.apply_list(entries.collect(), as_of);
        }
        let mut applied: Vec<RosterChange> =
            entries.filter_map(|(vm, entry, revision)| self.put(&vm, entry, revision)).collect();
        applied.extend(gone.iter().filter_map(|(vm, revision)| self.remove(vm, *revision)));
        applied
    }

    /// Message with the changes applied after the first `count`; `None` if there are none.
    pub fn changes_since(&self, count: u64) -> Option<GatewayChanges> {
        if self.changes == count {
            return None;
        }
        let newer = self.known.iter().filter(|(_, known)| known.change > count);
        Some(self.message(newer, false))
    }

    /// Message with all entries.
    pub fn whole(&self) -> GatewayChanges {
        let present = self.known.iter().filter(|(_, known)| known.entry.is_some());
        self.message(present, true)
    }

    /// Handles the digest that a follower of the store reported. Returns whether to request the whole list from it.
    /// `is_urgent` when no follower's list was ever matched.
    pub fn note_digest(&mut self, digest: u64, is_urgent: bool, now: MonoTime) -> bool {
        if digest == self.digest {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let is_due = is_urgent || now.since(since) >= MISMATCH_TIMEOUT;
        let is_pending = self.requested_at.is_some_and(|at| now.since(at) < REQUEST_INTERVAL);
        if !is_due || is_pending {
            return false;
        }
        self.requested_at = Some(now);
        true
    }

    fn is_known(&self, vm: &VmName, revision: u64) -> bool {
        self.known.get(vm).is_some_and(|known| known.revision >= revision)
    }

    fn record(&mut self, vm: &VmName, revision: u64, entry: Option<GatewayEntry>) {
        self.changes += 1;
        self.revision = self.revision.max(revision);
        self.digest ^= entry_digest(vm, entry.as_ref());
        let known = KnownGateway { revision, entry, change: self.changes };
        if let Some(before) = self.known.insert(vm.clone(), known) {
            self.digest ^= entry_digest(vm, before.entry.as_ref());
        }
    }

    fn message<'a>(
        &self,
        known: impl Iterator<Item = (&'a VmName, &'a KnownGateway)>,
        is_whole: bool,
    ) -> GatewayChanges {
        let (mut entries, mut gone) = (Vec::new(), Vec::new());
        for (vm, known) in known {
            let (vm, revision) = (vm.clone(), known.revision);
            match known.entry.clone() {
                Some(GatewayEntry { address, owner, domain }) => {
                    entries.push(VersionedGateway { vm, address, owner, domain, revision });
                }
                None => gone.push((vm, revision)),
            }
        }
        GatewayChanges { as_of: self.revision, is_whole, entries, gone }
    }

    /// Forgets the oldest removal once there are too many.
    fn evict_removed(&mut self) {
        let gone = self.known.iter().filter(|(_, known)| known.entry.is_none());
        if gone.clone().count() <= MAX_REMOVED_ENTRIES {
            return;
        }
        let oldest = gone.min_by_key(|(_, known)| known.change).map(|(vm, _)| vm.clone());
        if let Some(vm) = oldest {
            self.known.remove(&vm);
        }
    }
}

/// Contribution of an entry to the digest of a roster.
fn entry_digest(vm: &VmName, entry: Option<&GatewayEntry>) -> u64 {
    let Some(entry) = entry else { return 0 };
    let address = entry.address.to_string();
    stable_hash64(&[vm.as_str().as_bytes(), entry.owner.as_bytes(), address.as_bytes()])
}
