//! Paces of targets, as measured here and reported by other gateways.

use std::time::Duration;

use notch_types::prelude::*;

use crate::targets::{performance::pace::PaceUse, table::TargetTable};

/// Maximum number of paces in one report; others follow in the next one.
const MAX_REPORTED_PACES: usize = 64;
/// Bounds of a reported time between events; others are ignored.
const GAP_RANGE: (Duration, Duration) = (Duration::from_micros(10), Duration::from_secs(60));

impl TargetTable {
    /// Records the time between two events of a stream that runs here at target `id`.
    pub fn note_pace(&mut self, id: &str, gap: Duration, now: MonoTime) {
        self.note_gap(id, gap, true, now);
    }

    /// Records the time between two events at target `id` as reported by another gateway.
    pub fn note_reported_pace(&mut self, id: &str, gap: Duration, now: MonoTime) {
        if (GAP_RANGE.0..=GAP_RANGE.1).contains(&gap) {
            self.note_gap(id, gap, false, now);
        }
    }

    /// Targets whose pace counts for `service` now: at least half of its usable targets need a free
    /// slot for the pace of all to count.
    pub(super) fn pace_use(&self, service: &str) -> PaceUse {
        if self.performance.is_none() {
            return PaceUse::AllTargets;
        }
        let usable = self.records.values().filter(|record| record.is_usable(service));
        let (mut free, mut full) = (0_usize, 0_usize);
        for record in usable {
            *(if record.has_free_slot() { &mut free } else { &mut full }) += 1;
        }
        if free < full { PaceUse::FullTargets } else { PaceUse::AllTargets }
    }

    fn note_gap(&mut self, id: &str, gap: Duration, is_own: bool, now: MonoTime) {
        let Some(state) = &mut self.performance else { return };
        let Some(record) = self.records.get_mut(id) else { return };
        if !state.usual_paces.contains_key(&record.entry.service) {
            state.usual_paces.insert(record.entry.service.clone(), Box::default());
        }
        if let Some(usual) = state.usual_paces.get_mut(&record.entry.service) {
            let load = record.total();
            record.performance.pace.note(gap, load, is_own, usual, now);
        }
    }

    /// Paces measured here that are to be reported at `now`: the time between two events by target.
    pub fn take_paces(&mut self, now: MonoTime) -> Vec<(String, Duration)> {
        let Some(state) = &self.performance else { return Vec::new() };
        let mut paces = Vec::new();
        for (id, record) in &mut self.records {
            if paces.len() == MAX_REPORTED_PACES {
                break;
            }
            let Some(usual) = state.usual_paces.get(&record.entry.service) else { continue };
            let load = record.total();
            if let Some(gap) = record.performance.pace.take_report(load, usual, now) {
                paces.push((id.clone(), gap));
            }
        }
        paces
    }

    /// Time between events at target `id` as a multiple of the usual one; 1 without a current
    /// figure.
    pub fn pace_ratio(&self, id: &str, now: MonoTime) -> f64 {
        self.records.get(id).map_or(1.0, |record| record.performance.pace.ratio(now))
    }
}
