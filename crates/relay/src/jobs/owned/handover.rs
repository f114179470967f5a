//! What a gateway that takes a job over gets to know of its items.

use notch_types::prelude::*;

use super::OwnedJob;
use crate::jobs::{
    held_progress::HeldProgress, item_failures::ItemFailures, item_progress::ItemPhase,
    result::ItemState,
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

    /// Failures of an item that targets reported; `None` if there were none.
    pub fn failures_of(&self, index: usize) -> Option<ItemFailures> {
        let progress = &self.items[index];
        let item = || self.spec.items[index].id.clone();
        (progress.failures > 0 || progress.is_impossible).then(|| ItemFailures {
            item: item(),
            count: progress.failures,
            is_impossible: progress.is_impossible,
        })
    }

    /// Failures of all items.
    pub fn failures(&self) -> Vec<ItemFailures> {
        (0..self.items.len()).filter_map(|index| self.failures_of(index)).collect()
    }

    /// Adopts failures that an earlier owner saw. Items without an attempt left are given up.
    pub fn adopt_failures(&mut self, failures: &[ItemFailures], now: MonoTime) {
        for ItemFailures { item, count, is_impossible } in failures {
            let Some(index) = self.spec.items.iter().position(|known| known.id == *item) else {
                continue;
            };
            let progress = &mut self.items[index];
            if progress.phase == ItemPhase::Ended {
                continue;
            }
            progress.failures = progress.failures.max(*count);
            progress.is_impossible |= *is_impossible;
            if progress.is_impossible || progress.failures >= self.spec.terms.max_attempts {
                self.finish(index, ItemState::GivenUp, Vec::new(), now);
            }
        }
    }
}
