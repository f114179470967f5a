//! Target entries from the store and from other gateways, the newer ones in force.

use std::cmp::Ordering;

use notch_messages::prelude::{TargetSnapshot, VersionedTarget};
use notch_relay::prelude::*;
use notch_types::prelude::*;

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
        let record = KnownEntry { revision: newest, born, entry: Some(entry.clone()) };
        self.known.insert(name, record);
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
        let id = entry.id.clone();
        known.revision = as_of;
        known.entry = None;
        self.lapsing.remove(name);
        self.revision = self.revision.max(as_of);
        Some(TargetChange::Remove(id))
    }

    /// A whole list as of a revision: what it doesn't name was gone by then.
    pub fn take_list(
        &mut self,
        entries: Vec<(TargetEntry, u64)>,
        as_of: u64,
        lapsed_until: MonoTime,
        now: MonoTime,
    ) -> Vec<TargetChange> {
        self.is_whole = true;
        let listed: FastSet<String> = entries.iter().map(|(entry, _)| entry.name.clone()).collect();
        let mut changes: Vec<TargetChange> =
            entries.into_iter().filter_map(|(entry, revision)| self.put(entry, revision)).collect();
        let missing: Vec<String> =
            self.known.keys().filter(|name| !listed.contains(*name)).cloned().collect();
        for name in missing {
            changes.extend(self.remove(&name, as_of, lapsed_until, now));
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

    /// Everything known, for a gateway that lags.
    pub fn snapshot(&self) -> TargetSnapshot {
        let live = self.known.values().filter_map(|known| {
            let entry = known.entry.clone()?;
            Some(VersionedTarget { entry, revision: known.revision })
        });
        TargetSnapshot { as_of: self.revision, targets: live.collect() }
    }
}
