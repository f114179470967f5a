//! Ejection of failing targets from target selection, and their probes.

use notch_types::prelude::*;

use crate::targets::{
    choice::{TargetChoice, TargetQuery, WorkKind},
    entry::TargetState,
    performance::{
        AttemptReport, TargetOutcome,
        attempt::AttemptStage,
        failed_requests::FailedRequests,
        failure_window::{FailureWindow, OutcomeCounts},
        pace::UsualPace,
    },
    table::TargetTable,
};

/// At most one in this many targets of a service is left out of target selection.
const TARGETS_PER_EXCLUSION: usize = 3;

/// What a home has to announce about one of its targets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EjectionNotice {
    /// Id of the target.
    pub target: String,
    /// Whether it is ejected; false when it is readmitted.
    pub is_ejected: bool,
    /// Whether this is the first announcement of the change.
    pub is_new: bool,
    /// Outcomes in the window when the change was decided.
    pub counts: OutcomeCounts,
    /// Failures per thousand outcomes when the target was ejected, by which all gateways rank alike.
    pub failure_permille: u16,
}

/// State by which failures and pace of targets are learned.
#[derive(Debug, Default)]
pub(super) struct PerformanceState {
    failed: FailedRequests,
    /// Usual paces by service.
    pub(super) usual_paces: FastMap<String, Box<UsualPace>>,
    /// Changes decided here that are to be announced.
    notices: Vec<EjectionNotice>,
    /// Whether any target is ejected or was readmitted a short time ago.
    is_any_restricted: bool,
}

impl TargetTable {
    /// Lets the table learn failures and pace of targets, for the whole life of the table.
    pub fn learn_performance(&mut self) {
        self.performance.get_or_insert_default();
    }

    /// Whether the request of an attempt at target `id` had a slot there; to be called before
    /// [`finish`](Self::finish). `had_free_slot` tells whether a slot was free, as far as was known,
    /// when the target was chosen, and `has_begun` whether the target has sent a part of the answer.
    ///
    /// A slot that was free by late reports may have been taken. The reports that have arrived by
    /// the end of the attempt then show more requests than slots. The request may have been any of
    /// them, so it counts as queued.
    pub fn attempt_stage(&self, id: &str, had_free_slot: bool, has_begun: bool) -> AttemptStage {
        let is_over_full = || self.records.get(id).is_some_and(|record| record.waiting() > 0);
        match has_begun || (had_free_slot && !is_over_full()) {
            true => AttemptStage::Begun,
            false => AttemptStage::Queued,
        }
    }

    /// Records how an attempt of this gateway ended. Returns what to tell the target's home: whether
    /// it was a failure of the target, `None` if that is unknown or the failure does not count.
    pub fn note_outcome(&mut self, id: &str, report: AttemptReport, now: MonoTime) -> Option<bool> {
        let state = self.performance.as_mut()?;
        let AttemptReport { fingerprint, outcome, is_probe } = report;
        let is_counted = match outcome? {
            TargetOutcome::Answered => {
                state.failed.clear(fingerprint);
                self.note_counted(id, false, is_probe, now);
                return Some(false);
            }
            TargetOutcome::Failed => state.failed.note_failure(fingerprint, id, now),
            TargetOutcome::Unreachable => state.failed.note_silence(id, now),
            TargetOutcome::Unresponsive => {
                let is_counted = state.failed.note_failure(fingerprint, id, now);
                state.failed.note_silence(id, now) && is_counted
            }
        };
        if is_counted {
            self.note_counted(id, true, is_probe, now);
            return Some(true);
        }
        // A failure that may be the request's fault is no proof that the target is well either.
        if let Some(record) = self.records.get_mut(id).filter(|_| is_probe) {
            record.performance.ejection.note(true, true, now);
        }
        None
    }

    /// Records how an attempt of another gateway at an own target ended.
    pub fn note_peer_outcome(&mut self, id: &str, is_failure: bool, now: MonoTime) {
        if self.performance.is_some() && self.homes.is_own(id) {
            self.note_counted(id, is_failure, false, now);
        }
    }

    fn note_counted(&mut self, id: &str, is_failure: bool, is_probe: bool, now: MonoTime) {
        let is_own = self.homes.is_own(id);
        let Some(record) = self.records.get_mut(id) else { return };
        let performance = &mut record.performance;
        performance.window.note(is_failure, now);
        let counts = performance.window.counts(now);
        let is_decided = performance.ejection.is_decided_here();
        if performance.ejection.note(is_failure, is_probe, now) {
            // The probes are newer than all that the window holds.
            performance.window = FailureWindow::default();
            record.update_closed_slots(now);
            return self.change_ejection(id, false, counts);
        }
        let is_failing = counts.is_failing() || performance.ejection.is_on_trial();
        if is_own && is_failure && !is_decided && is_failing {
            // Rounded as it is announced, so that all gateways rank alike.
            let failure_rate = f64::from(permille(counts.failure_rate())) / 1_000.0;
            performance.ejection.eject(failure_rate, now);
            record.update_closed_slots(now);
            self.change_ejection(id, true, counts);
        }
    }

    fn change_ejection(&mut self, id: &str, is_ejected: bool, counts: OutcomeCounts) {
        if let Some(state) = &mut self.performance {
            let target = id.to_owned();
            let failure_permille = permille(counts.failure_rate());
            let notice =
                EjectionNotice { target, is_ejected, is_new: true, counts, failure_permille };
            state.notices.push(notice);
            state.is_any_restricted = true;
        }
        self.update_exclusions();
    }

    /// Applies another gateway's announcement. Returns false if that gateway is not the target's
    /// home or the target is unknown.
    pub fn apply_ejection(
        &mut self,
        peer: &VmName,
        id: &str,
        is_ejected: bool,
        failure_permille: u16,
        now: MonoTime,
    ) -> bool {
        let Some(state) = &mut self.performance else { return false };
        let is_from_home = self.homes.other_home(id) == Some(peer);
        let Some(record) = self.records.get_mut(id).filter(|_| is_from_home) else { return false };
        let failure_rate = f64::from(failure_permille) / 1_000.0;
        record.performance.ejection.apply(is_ejected, failure_rate, now);
        record.update_closed_slots(now);
        state.is_any_restricted = true;
        self.update_exclusions();
        true
    }

    /// Ends ejections that are over, and returns what to announce at `now`. To be called ten times
    /// per second.
    pub fn ejection_notices(&mut self, now: MonoTime) -> Vec<EjectionNotice> {
        let Some(state) = &mut self.performance else { return Vec::new() };
        if !state.is_any_restricted {
            return Vec::new();
        }
        let mut notices = std::mem::take(&mut state.notices);
        for (id, record) in &mut self.records {
            let ejection = &mut record.performance.ejection;
            let is_over = ejection.expire(now);
            let is_repeated = self.homes.is_own(id) && ejection.take_notice(now);
            if (is_over || is_repeated) && !notices.iter().any(|notice| notice.target == *id) {
                let counts = record.performance.window.counts(now);
                let (target, is_ejected) = (id.clone(), !is_over);
                let failure_permille = permille(ejection.failure_rate());
                notices.push(EjectionNotice {
                    target,
                    is_ejected,
                    is_new: is_over,
                    counts,
                    failure_permille,
                });
            }
            record.update_closed_slots(now);
        }
        state.is_any_restricted =
            self.records.values().any(|record| record.performance.ejection.is_restricted());
        self.update_exclusions();
        notices
    }

    /// Number of targets left out of target selection.
    pub fn excluded_count(&self) -> usize {
        self.records.values().filter(|record| record.performance.is_excluded).count()
    }

    /// Selects an ejected own target that is due for a probe and has a free slot.
    pub fn pick_probe(&mut self, query: &TargetQuery<'_>, now: MonoTime) -> Option<TargetChoice> {
        if !self.performance.as_ref()?.is_any_restricted {
            return None;
        }
        let is_item = query.work == WorkKind::Batch;
        let due = self.records.values().filter(|record| {
            let id = &record.entry.id;
            let performance = &record.performance;
            performance.is_excluded
                && performance.ejection.is_probe_due(is_item, now)
                && record.serves(query)
                && record.has_free_slot()
                && !record.health.is_silent()
                && self.homes.is_own(id)
                && !query.avoid.contains(id)
        });
        let id = due.map(|record| &record.entry.id).min()?.clone();
        let record = self.records.get_mut(&id)?;
        record.performance.ejection.start_probe(now);
        self.records.get(&id).map(|record| self.choice_of(record))
    }

    /// Determines which ejected targets are left out of target selection. Beyond the limit, those
    /// with the lowest failure rate are used.
    pub(super) fn update_exclusions(&mut self) {
        let mut ready: FastMap<&str, usize> = FastMap::default();
        let mut ejected: Vec<(&str, f64, &str)> = Vec::new();
        for record in self.records.values() {
            let (id, service) = (record.entry.id.as_str(), record.entry.service.as_str());
            if record.entry.state != TargetState::Ready || record.address_reused {
                continue;
            }
            *ready.entry(service).or_default() += 1;
            if record.performance.ejection.is_ejected() {
                ejected.push((service, record.performance.ejection.failure_rate(), id));
            }
        }
        ejected.sort_by(|a, b| b.1.total_cmp(&a.1).then_with(|| a.2.cmp(b.2)));
        let mut left: FastMap<&str, usize> = FastMap::default();
        for (service, count) in ready {
            left.insert(service, count / TARGETS_PER_EXCLUSION);
        }
        let mut excluded: FastSet<String> = FastSet::default();
        for (service, _, id) in ejected {
            if let Some(left) = left.get_mut(service).filter(|left| **left > 0) {
                *left -= 1;
                excluded.insert(id.to_owned());
            }
        }
        for (id, record) in &mut self.records {
            record.performance.is_excluded = excluded.contains(id);
        }
    }

    /// Determines exclusions anew after a target's entry changed.
    pub(super) fn note_entries_changed(&mut self) {
        if self.performance.as_ref().is_some_and(|state| state.is_any_restricted) {
            self.update_exclusions();
        }
    }
}

fn permille(share: f64) -> u16 {
    (share * 1_000.0).round() as u16
}
