//! Finds the requests that crash targets, without blaming their neighbours.

use std::collections::{BTreeSet, VecDeque};

use notch_types::prelude::*;

use crate::settings::QuarantineSettings;

/// What is held against one fingerprint.
#[derive(Debug)]
struct SuspectRecord {
    /// VMs whose target crashed with it in flight.
    vms: BTreeSet<VmName>,
    /// Whether it was the only one in flight at one of these crashes.
    alone: bool,
    last_crash: MonoTime,
}

/// Suspects and quarantined fingerprints. Both are bounded and expire; forgetting one costs at
/// most the crashes that it takes to find it again.
///
/// A suspect runs alone, so a second crash names it and clears whoever was merely near: it is
/// quarantined only after crashes on `crash_vms` distinct VMs of which one had it alone.
#[derive(Debug)]
pub struct SuspectTable {
    suspects: FastMap<Fingerprint, SuspectRecord>,
    /// In order of first suspicion; may name some that were cleared since.
    suspect_ages: VecDeque<(MonoTime, Fingerprint)>,
    quarantined: FastMap<Fingerprint, MonoTime>,
    quarantine_ages: VecDeque<(MonoTime, Fingerprint)>,
    settings: QuarantineSettings,
}

impl SuspectTable {
    /// Nothing is held against anyone.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            suspects: FastMap::default(),
            suspect_ages: VecDeque::new(),
            quarantined: FastMap::default(),
            quarantine_ages: VecDeque::new(),
            settings,
        }
    }

    /// The target of `vm` crashed with `fingerprint` in flight. Returns whether that quarantines
    /// it. The same crash may be told more than once.
    pub fn crashed(
        &mut self,
        now: MonoTime,
        fingerprint: Fingerprint,
        vm: &VmName,
        alone: bool,
    ) -> bool {
        if self.is_quarantined(now, fingerprint) {
            return false;
        }
        self.expire_suspect(now, fingerprint);
        if !self.suspects.contains_key(&fingerprint) {
            self.add_suspect(now, fingerprint);
        }
        let Some(record) = self.suspects.get_mut(&fingerprint) else { return false };
        record.last_crash = now;
        record.alone |= alone;
        if record.vms.len() < self.settings.crash_vms {
            record.vms.insert(vm.clone());
        }
        if record.alone && record.vms.len() >= self.settings.crash_vms {
            self.quarantine(now, fingerprint);
            return true;
        }
        false
    }

    /// It ran to an end and the target lives. Returns whether it was a suspect.
    pub fn cleared(&mut self, fingerprint: Fingerprint) -> bool {
        self.suspects.remove(&fingerprint).is_some()
    }

    /// It is quarantined, by a decision here or elsewhere.
    pub fn quarantine(&mut self, now: MonoTime, fingerprint: Fingerprint) {
        self.suspects.remove(&fingerprint);
        let until = now + self.settings.quarantine_age;
        self.quarantined.insert(fingerprint, until);
        self.quarantine_ages.push_back((until, fingerprint));
        while self.quarantine_ages.len() > self.settings.max_quarantined.max(1) {
            let Some((until, oldest)) = self.quarantine_ages.pop_front() else { return };
            if self.quarantined.get(&oldest) == Some(&until) {
                self.quarantined.remove(&oldest);
            }
        }
    }

    /// Whether it must not run at all.
    pub fn is_quarantined(&self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        self.quarantined.get(&fingerprint).is_some_and(|until| *until > now)
    }

    /// Whether it may only run alone.
    pub fn is_suspect(&self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|record| now.since(record.last_crash) <= self.settings.suspect_age)
    }

    fn expire_suspect(&mut self, now: MonoTime, fingerprint: Fingerprint) {
        if !self.is_suspect(now, fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    fn add_suspect(&mut self, now: MonoTime, fingerprint: Fingerprint) {
        let record = SuspectRecord { vms: BTreeSet::new(), alone: false, last_crash: now };
        self.suspects.insert(fingerprint, record);
        self.suspect_ages.push_back((now, fingerprint));
        while self.suspects.len() > self.settings.max_suspects.max(1) {
            let Some((_, oldest)) = self.suspect_ages.pop_front() else { return };
            self.suspects.remove(&oldest);
        }
        if self.suspect_ages.len() > 2 * self.settings.max_suspects.max(1) {
            let suspects = &self.suspects;
            self.suspect_ages.retain(|(_, fingerprint)| suspects.contains_key(fingerprint));
        }
    }
}
