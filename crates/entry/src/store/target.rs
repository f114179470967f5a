//! Target entries from the store and from other gateways, the newer ones in force.

use std::cmp::Ordering;

use notch_messages::prelude::{GoneTarget, TargetChanges, VersionedTarget};
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// Entries in one part of what is told to another gateway, at most: some 40 KB.
const PART_ENTRIES: usize = 256;
/// Entries that are gone and still remembered, at most. A gateway that is further behind than these reach
/// back is sent the whole list.
const GONE_KEPT: usize = 4_096;

/// What is known of one target's entry.
#[derive(Debug, Clone)]
struct KnownEntry {
    /// Of the last change that counted.
    revision: u64,
    /// Incarnation of the last start known, which stays known after the entry is gone: a write of an
    /// earlier start that comes late must not bring that one back.
    born: u64,
    /// `None` when it is gone.
    entry: Option<TargetEntry>,
    /// Revision of the whole feed when this change was taken. Invariant: at least `revision`.
    taken_at: u64,
}

impl KnownEntry {
    /// Its part in the digest of the feed.
    fn digest(&self) -> u64 {
        let Some(entry) = &self.entry else { return 0 };
        let state = match entry.state {
            TargetState::Ready => b"r",
            TargetState::Draining => b"d",
        };
        stable_hash64(&[entry.id.as_bytes(), state, entry.address.to_string().as_bytes()])
    }
}

/// The parts of an answer about targets that came so far.
#[derive(Debug, Default)]
struct ChangeParts {
    since: u64,
    as_of: u64,
    /// Number of the part that comes next.
    next: u32,
    entries: Vec<VersionedTarget>,
    gone: Vec<GoneTarget>,
}

impl ChangeParts {
    /// Adds a part; the whole once it's complete.
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

/// An entry that went missing after an outage of the store.
#[derive(Debug, Clone, Copy)]
struct LapsingEntry {
    /// When it counts as gone.
    until: MonoTime,
    /// Revision at which it was missing.
    as_of: u64,
}

/// A change for the table of targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TargetChange {
    /// The entry is this now.
    Put(TargetEntry),
    /// The target has started again: the start `before` is over.
    Restart {
        /// Id of the earlier start.
        before: String,
        /// The entry of the later one.
        entry: TargetEntry,
    },
    /// The entry of the start with this id is gone.
    Remove(String),
}

/// Target entries by revision.
///
/// They come from a watch of the store and from other gateways, in any order. A gateway whose
/// watch is cut would go on sending to targets that leave; an older word that comes late would
/// bring a target back that has left. So each entry has the revision of its last change, and only
/// a higher one counts. A target that starts again under its name may find a write of its earlier
/// start done after its own, so the later start counts before the higher revision.
#[derive(Debug, Default)]
pub struct TargetFeed {
    /// By the target's name.
    known: FastMap<String, KnownEntry>,
    /// Entries that could not be read, by name, with the revision of the change that was told last.
    unreadable: FastMap<String, u64>,
    /// Highest revision of any change taken.
    revision: u64,
    /// Whether a whole list was taken.
    is_whole: bool,
    /// Every change after this revision is known here, also those that removed an entry.
    complete_from: u64,
    /// Combined digests of all entries that are there.
    digest: u64,
    /// What another gateway is sending.
    parts: ChangeParts,
    /// Entries that went missing after an outage of the store, and when they count as gone.
    lapsing: FastMap<String, LapsingEntry>,
}

impl TargetFeed {
    /// Whether a whole list was taken, so that what isn't known isn't there.
    pub fn is_whole(&self) -> bool {
        self.is_whole
    }

    /// Highest revision of any change taken.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An entry as it was at `revision`.
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
        let taken_at = self.revision;
        self.record(
            name,
            KnownEntry { revision: newest, born, entry: Some(entry.clone()), taken_at },
        );
        Some(match before {
            Some(before) => TargetChange::Restart { before, entry },
            None => TargetChange::Put(entry),
        })
    }

    /// The entry `name` can't be read as it was at `revision`: it names no target to use until it can
    /// be. Whether this change of it is news, for the log.
    pub fn refuse(&mut self, name: &str, revision: u64) -> (bool, Option<TargetChange>) {
        let told = self.unreadable.insert(name.to_owned(), revision);
        let change = self.remove(name, revision, MonoTime::default(), MonoTime::default());
        (told != Some(revision), change)
    }

    /// An entry was gone at `as_of`. While entries may only have lapsed in an outage of the store,
    /// until `lapsed_until`, it stays in use; the target registers again if it lives.
    pub fn remove(
        &mut self,
        name: &str,
        as_of: u64,
        lapsed_until: MonoTime,
        now: MonoTime,
    ) -> Option<TargetChange> {
        let known = self.known.get_mut(name)?;
        if known.revision >= as_of {
            return None;
        }
        let entry = known.entry.as_ref()?;
        if now < lapsed_until && entry.state == TargetState::Ready {
            // Its revision stays: passed on as a newer word, it would bring the target back on
            // gateways that know it has left.
            let lapse = LapsingEntry { until: lapsed_until, as_of };
            self.lapsing.entry(name.to_owned()).or_insert(lapse);
            return None;
        }
        let (id, born) = (entry.id.clone(), known.born);
        self.lapsing.remove(name);
        self.revision = self.revision.max(as_of);
        let taken_at = self.revision;
        self.record(name.to_owned(), KnownEntry { revision: as_of, born, entry: None, taken_at });
        self.forget_gone();
        Some(TargetChange::Remove(id))
    }

    /// A whole list as of a revision: what it doesn't name was gone by then.
    pub fn apply_list(
        &mut self,
        entries: Vec<(TargetEntry, u64)>,
        as_of: u64,
        lapsed_until: MonoTime,
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
            changes.extend(self.remove(&name, as_of, lapsed_until, now));
        }
        // Of an entry that may only have lapsed the others may know more.
        if self.lapsing.is_empty() {
            self.revision = self.revision.max(as_of);
        }
        changes
    }

    /// Entries whose time to come back is over.
    pub fn expire(&mut self, now: MonoTime) -> Vec<TargetChange> {
        let over = self.lapsing.iter().filter(|(_, lapse)| lapse.until <= now);
        let over: Vec<(String, u64)> =
            over.map(|(name, lapse)| (name.clone(), lapse.as_of)).collect();
        let gone = over
            .into_iter()
            .filter_map(|(name, as_of)| self.remove(&name, as_of, MonoTime::default(), now));
        gone.collect()
    }

    /// Revision that a gateway which knows more should tell the changes since; 0 before a whole list.
    pub fn known_since(&self) -> u64 {
        if self.is_whole { self.revision } else { 0 }
    }

    /// Digest over the entries that are there, whatever the order in which they were heard of.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// What a gateway has to be told that knows everything up to `since`, in parts: the changes since, or
    /// the whole list where they aren't known any more. Nothing before a whole list is known here.
    pub fn changes_since(&self, since: u64) -> Vec<TargetChanges> {
        if !self.is_whole {
            return Vec::new();
        }
        let since = if since < self.complete_from { 0 } else { since };
        // A change that came late was taken at a revision that others had reached without it.
        let named = self.known.iter().filter(|(_, known)| since == 0 || known.taken_at >= since);
        let (mut entries, mut gone) = (Vec::new(), Vec::new());
        for (name, known) in named {
            let KnownEntry { revision, born, .. } = *known;
            match &known.entry {
                Some(entry) => entries.push(VersionedTarget { entry: entry.clone(), revision }),
                None if since > 0 => gone.push(GoneTarget { name: name.clone(), born, revision }),
                None => {}
            }
        }
        self.in_parts(since, entries, gone)
    }

    /// Takes what another gateway tells of changes; nothing before their last part.
    ///
    /// Changes since a later revision than is known here would hide those in between, so they aren't
    /// taken: the versions in the other's reports tell that something is missing.
    pub fn apply_changes(&mut self, changes: TargetChanges, now: MonoTime) -> Vec<TargetChange> {
        let Some(whole) = self.parts.add(changes) else { return Vec::new() };
        if whole.since > self.known_since() {
            return Vec::new();
        }
        let entries = whole.entries.into_iter().map(|told| (told.entry, told.revision)).collect();
        if whole.since == 0 {
            // A gateway that still waits for lapsed entries lists them: what it doesn't list has left.
            return self.apply_list(entries, whole.as_of, MonoTime::default(), now);
        }
        let gone = whole.gone.into_iter().filter(|gone| !self.is_later_start(gone));
        let gone: Vec<GoneTarget> = gone.collect();
        let mut taken: Vec<TargetChange> =
            entries.into_iter().filter_map(|(entry, revision)| self.put(entry, revision)).collect();
        let removed = gone.into_iter().filter_map(|gone| self.apply_removal(gone, now));
        taken.extend(removed);
        self.revision = self.revision.max(whole.as_of);
        taken
    }

    /// Takes another gateway's word that an entry is gone. One that was never known here is remembered all
    /// the same: a gateway that asks for changes may know it.
    fn apply_removal(&mut self, gone: GoneTarget, now: MonoTime) -> Option<TargetChange> {
        let GoneTarget { name, born, revision } = gone;
        if self.known.contains_key(&name) {
            return self.remove(&name, revision, MonoTime::default(), now);
        }
        let taken_at = self.revision.max(revision);
        self.record(name, KnownEntry { revision, born, entry: None, taken_at });
        self.forget_gone();
        None
    }

    /// Whether a later start is known than the one that is said to be gone.
    fn is_later_start(&self, gone: &GoneTarget) -> bool {
        self.known.get(&gone.name).is_some_and(|known| known.born > gone.born)
    }

    fn in_parts(
        &self,
        since: u64,
        entries: Vec<VersionedTarget>,
        gone: Vec<GoneTarget>,
    ) -> Vec<TargetChanges> {
        let count = entries.len().max(gone.len()).div_ceil(PART_ENTRIES).max(1);
        let (mut entries, mut gone) = (entries.into_iter(), gone.into_iter());
        let parts = (0..count).map(|part| TargetChanges {
            since,
            as_of: self.revision,
            part: part as u32,
            is_last: part + 1 == count,
            entries: entries.by_ref().take(PART_ENTRIES).collect(),
            gone: gone.by_ref().take(PART_ENTRIES).collect(),
        });
        parts.collect()
    }

    fn record(&mut self, name: String, known: KnownEntry) {
        self.digest ^= known.digest();
        if let Some(before) = self.known.insert(name, known) {
            self.digest ^= before.digest();
        }
    }

    /// Forgets the entries that have been gone for longest, half of them at once.
    fn forget_gone(&mut self) {
        let gone = self.known.iter().filter(|(_, known)| known.entry.is_none());
        if gone.clone().count() <= GONE_KEPT {
            return;
        }
        let mut gone: Vec<(u64, String)> =
            gone.map(|(name, known)| (known.taken_at, name.clone())).collect();
        gone.sort_unstable();
        gone.truncate(GONE_KEPT / 2);
        for (taken_at, name) in gone {
            self.complete_from = self.complete_from.max(taken_at + 1);
            self.known.remove(&name);
        }
    }
}
