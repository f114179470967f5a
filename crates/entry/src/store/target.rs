//! Target entries from the store and from other gateways, the newer ones in force.

use notch_messages::prelude::{TargetSnapshot, VersionedTarget};
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// What is known of one target's entry.
#[derive(Debug, Clone)]
struct KnownEntry {
    revision: u64,
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
    /// The entry is gone.
    Remove(String),
}

/// Target entries by revision.
///
/// They come from a watch of the store and from other gateways, in any order. A gateway whose
/// watch is cut would go on sending to targets that leave; an older word that comes late would
/// bring a target back that has left. So each entry has the revision of its last change, and only
/// a higher one counts.
#[derive(Debug, Default)]
pub struct TargetFeed {
    known: FastMap<String, KnownEntry>,
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
        let id = entry.id.clone();
        if self.known.get(&id).is_some_and(|known| known.revision >= revision) {
            return None;
        }
        self.lapsing.remove(&id);
        self.revision = self.revision.max(revision);
        self.known.insert(id, KnownEntry { revision, entry: Some(entry.clone()) });
        Some(TargetChange::Put(entry))
    }

    /// An entry was gone at `as_of`. While entries may only have lapsed in an outage of the store,
    /// until `lapsed_until`, it stays in use; the target registers again if it lives.
    pub fn remove(
        &mut self,
        id: &str,
        as_of: u64,
        lapsed_until: MonoTime,
        now: MonoTime,
    ) -> Option<TargetChange> {
        let known = self.known.get_mut(id)?;
        if known.revision >= as_of || known.entry.is_none() {
            return None;
        }
        let was_ready = known.entry.as_ref().is_some_and(|e| e.state == TargetState::Ready);
        if now < lapsed_until && was_ready {
            // Its revision stays: passed on as a newer word, it would bring the target back on
            // gateways that know it has left.
            let lapse = LapsingEntry { until: lapsed_until, as_of };
            self.lapsing.entry(id.to_owned()).or_insert(lapse);
            return None;
        }
        known.revision = as_of;
        known.entry = None;
        self.lapsing.remove(id);
        self.revision = self.revision.max(as_of);
        Some(TargetChange::Remove(id.to_owned()))
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
        let listed: FastSet<String> = entries.iter().map(|(entry, _)| entry.id.clone()).collect();
        let mut changes: Vec<TargetChange> =
            entries.into_iter().filter_map(|(entry, revision)| self.put(entry, revision)).collect();
        let missing: Vec<String> =
            self.known.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for id in missing {
            changes.extend(self.remove(&id, as_of, lapsed_until, now));
        }
        changes
    }

    /// Entries whose time to come back is over.
    pub fn expire(&mut self, now: MonoTime) -> Vec<TargetChange> {
        let over = self.lapsing.iter().filter(|(_, lapse)| lapse.until <= now);
        let over: Vec<(String, u64)> = over.map(|(id, lapse)| (id.clone(), lapse.as_of)).collect();
        let gone = over
            .into_iter()
            .filter_map(|(id, as_of)| self.remove(&id, as_of, MonoTime::default(), now));
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
