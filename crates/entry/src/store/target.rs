//! Merges target entries from the store and from other gateways; the newer ones take precedence.

use std::cmp::Ordering;

use notch_messages::prelude::{GoneTarget, TargetChanges, VersionedTarget};
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// Maximum number of entries in one part of a message to another gateway, which makes about 40 KB.
const MAX_PART_ENTRIES: usize = 256;
/// Maximum number of removed entries that are remembered. A gateway that lags further behind is
/// sent the complete list.
const MAX_REMOVED_ENTRIES: usize = 4_096;

/// What is known of one target's entry.
#[derive(Debug, Clone)]
struct KnownEntry {
    /// Revision of the last change that was applied.
    revision: u64,
    /// Incarnation of the latest known start of the target. It is kept after the entry is removed,
    /// so that a delayed write by an earlier start does not bring that one back.
    born: u64,
    /// `None` if the entry was removed.
    entry: Option<TargetEntry>,
    /// Revision of the whole feed when this change was applied. Invariant: at least `revision`.
    applied_at: u64,
}

impl KnownEntry {
    /// Contribution to the digest of the feed.
    fn digest(&self) -> u64 {
        let Some(entry) = &self.entry else { return 0 };
        let state = match entry.state {
            TargetState::Ready => b"r",
            TargetState::Draining => b"d",
        };
        let (address, version) = (entry.address.to_string(), entry.software_version.as_bytes());
        stable_hash64(&[entry.id.as_bytes(), state, address.as_bytes(), version])
    }
}

/// Collects the parts of another gateway's message about targets.
#[derive(Debug, Default)]
struct PartialChanges {
    since: u64,
    as_of: u64,
    /// Number of the next part.
    next: u32,
    entries: Vec<VersionedTarget>,
    gone: Vec<GoneTarget>,
}

impl PartialChanges {
    /// Adds a part. Returns the complete message once all parts have arrived.
    fn add(&mut self, changes: TargetChanges) -> Option<TargetChanges> {
        if changes.part == 0 && changes.is_last {
            return Some(changes);
        }
        let TargetChanges { since, as_of, part, is_last, entries, gone } = changes;
        if part == 0 {
            *self = Self { since, as_of, ..Self::default() };
        }
        if (self.since, self.as_of, self.next) != (since, as_of, part) {
            *self = Self::default();
            return None;
        }
        self.next += 1;
        self.entries.extend(entries);
        self.gone.extend(gone);
        if !is_last {
            return None;
        }
        let Self { entries, gone, .. } = std::mem::take(self);
        Some(TargetChanges { since, as_of, part: 0, is_last: true, entries, gone })
    }
}

/// An entry that was missing after an outage of the store.
#[derive(Debug, Clone, Copy)]
struct LapsingEntry {
    /// When the entry counts as removed.
    until: MonoTime,
    /// Revision at which the entry was missing.
    as_of: u64,
    /// Revision up to which all changes were known before.
    known_to: u64,
}

/// A change of the table of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// Adds or replaces an entry.
    Put(TargetEntry),
    /// Replaces a target that has started again; its earlier instance `before` is gone.
    Restart {
        /// Id of the earlier instance.
        before: String,
        /// Entry of the later instance.
        entry: TargetEntry,
    },
    /// Removes the entry of the instance with this id.
    Remove(String),
}

/// Target entries by revision.
///
/// Entries arrive from a watch of the store and from other gateways, in any order. A gateway whose
/// watch fails must not keep sending to targets that have left, and an outdated message must not
/// bring a target back that has left. So each entry has the revision of its last change, and only a
/// higher one replaces it. If a target starts again under the same name, a write by its earlier
/// instance may take effect after one by the later instance, so the later start takes precedence
/// over the higher revision.
#[derive(Debug, Default)]
pub struct TargetFeed {
    /// By the target's name.
    known: FastMap<String, KnownEntry>,
    /// Entries that cannot be decoded, by name, with the revision that was reported last.
    unreadable: FastMap<String, u64>,
    /// Highest revision of any change applied.
    revision: u64,
    /// Every change up to this revision has arrived. Those of `lapsing` are not applied yet.
    complete_to: u64,
    /// Whether a complete list was applied.
    is_whole: bool,
    /// Every change after this revision is known here, including removals.
    complete_from: u64,
    /// XOR of the digests of all present entries.
    digest: u64,
    /// Parts of the message that another gateway is sending.
    parts: PartialChanges,
    /// Entries that were missing after an outage of the store, and when they count as removed.
    lapsing: FastMap<String, LapsingEntry>,
}

impl TargetFeed {
    /// Whether a complete list was applied, so that a target that is not known does not exist.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Highest revision of any change applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Applies an entry as of `revision`.
    pub fn put(&mut self, entry: TargetEntry, revision: u64) -> Option<TargetChange> {
        let name = entry.name.clone();
        let born = entry.born;
        let known = self.known.get(&name);
        let is_old = known.is_some_and(|known| match born.cmp(&known.born) {
            Ordering::Less => true,
            Ordering::Equal => known.revision >= revision,
            Ordering::Greater => false,
        });
        if is_old {
            return None;
        }
        let earlier =
            known.filter(|known| known.born < born).and_then(|known| known.entry.as_ref());
        let before = earlier.map(|entry| entry.id.clone());
        let newest = known.map_or(revision, |known| known.revision.max(revision));
        self.lapsing.remove(&name);
        self.unreadable.remove(&name);
        self.revision = self.revision.max(revision);
        let applied_at = self.revision;
        self.record(
            name,
            KnownEntry { revision: newest, born, entry: Some(entry.clone()), applied_at },
        );
        Some(match before {
            Some(before) => TargetChange::Restart { before, entry },
            None => TargetChange::Put(entry),
        })
    }

    /// Handles an entry that cannot be decoded at `revision`: the target is removed until its entry
    /// is valid again. Also returns whether this revision is new, and so should be logged.
    pub fn refuse(&mut self, name: &str, revision: u64) -> (bool, Option<TargetChange>) {
        let received = self.unreadable.insert(name.to_owned(), revision);
        let change = self.remove(name, revision, MonoTime::default(), MonoTime::default());
        (received != Some(revision), change)
    }

    /// Removes an entry that was gone at `as_of`. Before `expiry_grace_until`, entries may only
    /// have expired because of an outage of the store: a ready target stays in use, and registers
    /// again if it is alive.
    pub fn remove(
        &mut self,
        name: &str,
        as_of: u64,
        expiry_grace_until: MonoTime,
        now: MonoTime,
    ) -> Option<TargetChange> {
        let known = self.known.get_mut(name)?;
        if known.revision >= as_of {
            return None;
        }
        let entry = known.entry.as_ref()?;
        if now < expiry_grace_until && entry.state == TargetState::Ready {
            // The entry keeps its revision. Passed on with a newer one, it would bring the target
            // back on gateways that know it has left.
            let known_to = self.complete_to;
            let missing = LapsingEntry { until: expiry_grace_until, as_of, known_to };
            self.lapsing.entry(name.to_owned()).or_insert(missing);
            return None;
        }
        let (id, born) = (entry.id.clone(), known.born);
        self.lapsing.remove(name);
        self.revision = self.revision.max(as_of);
        let applied_at = self.revision;
        self.record(name.to_owned(), KnownEntry { revision: as_of, born, entry: None, applied_at });
        self.evict_removed();
        Some(TargetChange::Remove(id))
    }

    /// Applies a complete list as of a revision. Entries that are not in it were gone by then.
    pub fn apply_list(
        &mut self,
        entries: Vec<(TargetEntry, u64)>,
        as_of: u64,
        expiry_grace_until: MonoTime,
        now: MonoTime,
    ) -> Vec<TargetChange> {
        if !self.is_whole {
            self.is_whole = true;
            self.complete_from = as_of;
        }
        let listed: FastSet<String> = entries.iter().map(|(entry, _)| entry.name.clone()).collect();
        let mut changes: Vec<TargetChange> =
            entries.into_iter().filter_map(|(entry, revision)| self.put(entry, revision)).collect();
        let missing: Vec<String> =
            self.known.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            changes.extend(self.remove(&name, as_of, expiry_grace_until, now));
        }
        self.note_complete(as_of);
        changes
    }

    /// Records that every change up to a revision has arrived.
    pub fn note_complete(&mut self, as_of: u64) {
        self.complete_to = self.complete_to.max(as_of);
        self.revision = self.revision.max(as_of);
    }

    /// Removes missing entries whose grace period after an outage is over.
    pub fn expire(&mut self, now: MonoTime) -> Vec<TargetChange> {
        let over = self.lapsing.iter().filter(|(_, missing)| missing.until <= now);
        let over: Vec<(String, u64)> =
            over.map(|(name, missing)| (name.clone(), missing.as_of)).collect();
        let gone = over.into_iter().filter_map(|(name, as_of)| {
            self.lapsing.remove(&name);
            self.remove(&name, as_of, MonoTime::default(), now)
        });
        gone.collect()
    }

    /// Revision since which another gateway should send changes: every change up to it is applied. 0 before a complete list
    /// was applied.
    pub fn known_since(&self) -> u64 {
        if self.is_whole { self.known_to() } else { 0 }
    }

    /// Revision up to which every change is applied. Other gateways may have applied a removal that waits here, and one
    /// that was told of a later revision would not ask them for it.
    fn known_to(&self) -> u64 {
        let lapsing = self.lapsing.values().map(|missing| missing.known_to).min();
        lapsing.map_or(self.complete_to, |known_to| known_to.min(self.complete_to))
    }

    /// Digest of the present entries, independent of the order in which they arrived.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Messages, in parts, for a gateway that knows everything up to `since`: the changes since, or
    /// the complete list if the changes are no longer known. Empty until a complete list is known
    /// here.
    pub fn changes_since(&self, since: u64) -> Vec<TargetChanges> {
        if !self.is_whole {
            return Vec::new();
        }
        let since = if since < self.complete_from { 0 } else { since };
        // A change that arrived late was applied at a revision that others had reached without it,
        // hence `>=`.
        let named = self.known.iter().filter(|(_, known)| since == 0 || known.applied_at >= since);
        let (mut entries, mut gone) = (Vec::new(), Vec::new());
        for (name, known) in named {
            let KnownEntry { revision, born, .. } = *known;
            match &known.entry {
                Some(entry) => entries.push(VersionedTarget { entry: entry.clone(), revision }),
                None if since > 0 => gone.push(GoneTarget { name: name.clone(), born, revision }),
                None => {}
            }
        }
        self.split_into_parts(since, entries, gone)
    }

    /// Applies changes from another gateway once their last part has arrived.
    ///
    /// Changes since a later revision than is known here are ignored, as applying them would hide
    /// those in between. The versions in the other gateway's reports show that something is
    /// missing.
    pub fn apply_changes(&mut self, changes: TargetChanges, now: MonoTime) -> Vec<TargetChange> {
        let Some(complete) = self.parts.add(changes) else { return Vec::new() };
        if complete.since > self.known_since() {
            return Vec::new();
        }
        let entries = complete
            .entries
            .into_iter()
            .map(|received| (received.entry, received.revision))
            .collect();
        if complete.since == 0 {
            // A gateway that waits for expired entries includes them in its list, so one that is
            // not listed has left.
            return self.apply_list(entries, complete.as_of, MonoTime::default(), now);
        }
        let gone = complete.gone.into_iter().filter(|gone| !self.is_later_start_known(gone));
        let gone: Vec<GoneTarget> = gone.collect();
        let mut applied: Vec<TargetChange> =
            entries.into_iter().filter_map(|(entry, revision)| self.put(entry, revision)).collect();
        let removed = gone.into_iter().filter_map(|gone| self.apply_removal(gone, now));
        applied.extend(removed);
        self.note_complete(complete.as_of);
        applied
    }

    /// Applies a removal reported by another gateway. The removal of an unknown entry is remembered
    /// too, for gateways that know the entry and ask for changes.
    fn apply_removal(&mut self, gone: GoneTarget, now: MonoTime) -> Option<TargetChange> {
        let GoneTarget { name, born, revision } = gone;
        if self.known.contains_key(&name) {
            return self.remove(&name, revision, MonoTime::default(), now);
        }
        let applied_at = self.revision.max(revision);
        self.record(name, KnownEntry { revision, born, entry: None, applied_at });
        self.evict_removed();
        None
    }

    /// Whether a later start of the target is known than the removed one.
    fn is_later_start_known(&self, gone: &GoneTarget) -> bool {
        self.known.get(&gone.name).is_some_and(|known| known.born > gone.born)
    }

    fn split_into_parts(
        &self,
        since: u64,
        entries: Vec<VersionedTarget>,
        gone: Vec<GoneTarget>,
    ) -> Vec<TargetChanges> {
        let count = entries.len().max(gone.len()).div_ceil(MAX_PART_ENTRIES).max(1);
        let (mut entries, mut gone) = (entries.into_iter(), gone.into_iter());
        let parts = (0..count).map(|part| TargetChanges {
            since,
            as_of: self.known_to(),
            part: part as u32,
            is_last: part + 1 == count,
            entries: entries.by_ref().take(MAX_PART_ENTRIES).collect(),
            gone: gone.by_ref().take(MAX_PART_ENTRIES).collect(),
        });
        parts.collect()
    }

    fn record(&mut self, name: String, known: KnownEntry) {
        self.digest ^= known.digest();
        if let Some(before) = self.known.insert(name, known) {
            self.digest ^= before.digest();
        }
    }

    /// Forgets the oldest half of the remembered removals once there are too many.
    fn evict_removed(&mut self) {
        let gone = self.known.iter().filter(|(_, known)| known.entry.is_none());
        if gone.clone().count() <= MAX_REMOVED_ENTRIES {
            return;
        }
        let mut gone: Vec<(u64, String)> =
            gone.map(|(name, known)| (known.applied_at, name.clone())).collect();
        gone.sort_unstable();
        gone.truncate(MAX_REMOVED_ENTRIES / 2);
        for (applied_at, name) in gone {
            self.complete_from = self.complete_from.max(applied_at + 1);
            self.known.remove(&name);
        }
    }
}
