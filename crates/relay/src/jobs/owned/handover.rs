//! What a gateway that takes a job over gets to know of its items.

use notch_types::prelude::*;

use super::OwnedJob;
use crate::jobs::{
    failed_runs::FailedRun, held_progress::HeldProgress, item_failures::ItemFailures,
    item_progress::ItemPhase, result::ItemState,
};

impl OwnedJob {
    /// Partial output of unfinished items, for another gateway that continues the job.
    pub fn progress(&self) -> Vec<HeldProgress> {
        let items = self.items.iter().zip(&self.spec.items);
        let held = items.filter_map(|(item, spec)| {
            let last_event = item.last_event.filter(|_| item.phase != ItemPhase::Ended)?;
            let (version, output) = (item.version.clone(), item.output.clone());
            Some(HeldProgress { item: spec.id.clone(), last_event, version, output })
        });
        held.collect()
    }

    /// Adopts partial output from another gateway for items that have none.
    pub fn adopt_progress(&mut self, progress: Vec<HeldProgress>) {
        for held in progress {
            let Some(index) = self.spec.items.iter().position(|item| item.id == held.item) else {
                continue;
            };
            let item = &mut self.items[index];
            if item.last_event.is_none() && matches!(item.phase, ItemPhase::Waiting(_)) {
                item.last_event = Some(held.last_event);
                item.version = held.version;
                item.output = held.output;
            }
        }
    }

    /// Counts a run for which a target reported a failure, before the run has ended. An item without an attempt left is given
    /// up. Returns all failures of the item, unless this one is known or the item has ended.
    pub fn note_failure(
        &mut self,
        index: usize,
        run: FailedRun,
        now: MonoTime,
    ) -> Option<ItemFailures> {
        if self.item_ended(index) || !self.items[index].failed.note(run) {
            return None;
        }
        self.give_up_exhausted(index, now);
        self.failures_of(index)
    }

    /// Failures of an item that targets reported; `None` if there were none.
    pub fn failures_of(&self, index: usize) -> Option<ItemFailures> {
        let failed = &self.items[index].failed;
        let item = || self.spec.items[index].id.clone();
        (!failed.is_empty()).then(|| ItemFailures { item: item(), failed: failed.clone() })
    }

    /// Failures of all items.
    pub fn failures(&self) -> Vec<ItemFailures> {
        (0..self.items.len()).filter_map(|index| self.failures_of(index)).collect()
    }

    /// Adopts failures that other gateways saw. Items without an attempt left are given up. Returns their indices.
    pub fn adopt_failures(&mut self, failures: &[ItemFailures], now: MonoTime) -> Vec<usize> {
        let mut given_up = Vec::new();
        for ItemFailures { item, failed } in failures {
            let Some(index) = self.spec.items.iter().position(|known| known.id == *item) else {
                continue;
            };
            if self.item_ended(index) {
                continue;
            }
            self.items[index].failed.join(failed);
            if self.give_up_exhausted(index, now) {
                given_up.push(index);
            }
        }
        given_up
    }

    fn give_up_exhausted(&mut self, index: usize, now: MonoTime) -> bool {
        let is_exhausted = self.items[index].failed.exhausts(self.spec.terms.max_attempts);
        if is_exhausted {
            self.finish(index, ItemState::GivenUp, Vec::new(), now);
        }
        is_exhausted
    }
}
