//! Fingerprints that may crash targets, and those known to.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Suspects run alone; quarantined fingerprints don't run at all. Bounded in number; the oldest
/// is forgotten first, which costs at most one more crash.
#[derive(Debug)]
pub(crate) struct SuspectTable {
    suspects: FastMap<Fingerprint, MonoTime>,
    suspect_ages: VecDeque<Fingerprint>,
    quarantined: FastSet<Fingerprint>,
    quarantine_ages: VecDeque<Fingerprint>,
    bound: usize,
    retention: Duration,
}

impl SuspectTable {
    pub(crate) fn new(bound: usize, retention: Duration) -> Self {
        Self {
            suspects: FastMap::default(),
            suspect_ages: VecDeque::new(),
            quarantined: FastSet::default(),
            quarantine_ages: VecDeque::new(),
            bound,
            retention,
        }
    }

    pub(crate) fn suspect(&mut self, now: MonoTime, fingerprint: Fingerprint) {
        if self.suspects.insert(fingerprint, now).is_none() {
            self.suspect_ages.push_back(fingerprint);
        }
        while self.suspects.len() > self.bound {
            let Some(oldest) = self.suspect_ages.pop_front() else { return };
            self.suspects.remove(&oldest);
        }
        // Cleared suspects leave their place in the line behind.
        if self.suspect_ages.len() > 2 * self.bound {
            let suspects = &self.suspects;
            self.suspect_ages.retain(|fingerprint| suspects.contains_key(fingerprint));
        }
    }

    pub(crate) fn is_suspect(&self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|since| now.since(*since) <= self.retention)
    }

    /// It ran alone and the target lives.
    pub(crate) fn clear(&mut self, fingerprint: Fingerprint) -> bool {
        self.suspects.remove(&fingerprint).is_some()
    }

    pub(crate) fn quarantine(&mut self, fingerprint: Fingerprint) {
        if self.quarantined.insert(fingerprint) {
            self.quarantine_ages.push_back(fingerprint);
        }
        if self.quarantined.len() > self.bound
            && let Some(oldest) = self.quarantine_ages.pop_front()
        {
            self.quarantined.remove(&oldest);
        }
    }

    pub(crate) fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.quarantined.contains(&fingerprint)
    }
}
