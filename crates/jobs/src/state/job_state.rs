//! One job as its records left it.

use std::collections::BTreeMap;

use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    record::AcceptedJob,
    state::{
        SeqRange,
        item_table::{ItemState, ItemTable},
    },
};

/// Attempts of an item that ended without a result.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ItemTries {
    /// Attempts spent.
    pub attempts: u32,
    /// Distinct VMs whose targets crashed with it in flight.
    pub crashed_on: Vec<VmName>,
}

/// A job: what was accepted, and how its items stand.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    accepted: AcceptedJob,
    items: ItemTable,
    /// Set by the first cancellation while items were open; no result counts after it.
    cancelled_at: Option<WallTime>,
    /// Set once every item has its result.
    ended_at: Option<WallTime>,
    /// Attempts that hold items of a job that is not idempotent; an ended item has none.
    claims: BTreeMap<u32, u64>,
    /// Only items that had trouble and are open.
    tries: BTreeMap<u32, ItemTries>,
    /// Covers the records of all results.
    results: Option<SeqRange>,
}

impl JobState {
    /// A job just accepted.
    pub fn new(accepted: AcceptedJob) -> Self {
        let items = ItemTable::new(accepted.item_count);
        Self {
            accepted,
            items,
            cancelled_at: None,
            ended_at: None,
            claims: BTreeMap::new(),
            tries: BTreeMap::new(),
            results: None,
        }
    }

    /// What was accepted.
    pub fn accepted(&self) -> &AcceptedJob {
        &self.accepted
    }

    /// How the items stand.
    pub fn items(&self) -> &ItemTable {
        &self.items
    }

    /// Where the job is.
    pub fn phase(&self) -> JobPhase {
        match (self.cancelled_at, self.items.open()) {
            (Some(_), _) => JobPhase::Cancelled,
            (None, 0) => JobPhase::Done,
            (None, _) => JobPhase::Running,
        }
    }

    /// Whether items may still be handed out and results still count.
    pub fn is_running(&self) -> bool {
        self.phase() == JobPhase::Running
    }

    /// When it was cancelled.
    pub fn cancelled_at(&self) -> Option<WallTime> {
        self.cancelled_at
    }

    /// When it ended, by its last result or by its cancellation.
    pub fn over_at(&self) -> Option<WallTime> {
        self.cancelled_at.or(self.ended_at)
    }

    /// Whether an item's result still counts.
    pub fn is_open(&self, item: ItemIndex) -> bool {
        self.cancelled_at.is_none() && self.items.state(item).is_some_and(|s| !s.is_ended())
    }

    /// The attempt that holds an item, and the item's place, in input order.
    pub fn claims(&self) -> &BTreeMap<u32, u64> {
        &self.claims
    }

    /// Open items that had trouble, in input order.
    pub fn troubled(&self) -> impl Iterator<Item = ItemIndex> + '_ {
        self.tries.keys().copied().map(ItemIndex)
    }

    /// What is known of an open item's attempts.
    pub fn tries(&self, item: ItemIndex) -> Option<&ItemTries> {
        self.tries.get(&item.0)
    }

    /// How far the job is, with `leased` items at sidecars.
    pub fn progress(&self, leased: u32) -> JobProgress {
        let cancelled = if self.cancelled_at.is_some() { self.items.open() } else { 0 };
        JobProgress {
            job: self.accepted.job,
            target: self.accepted.target.clone(),
            phase: self.phase(),
            due: self.accepted.due,
            total: self.items.len(),
            answered: self.items.answered(),
            failed: self.items.failed(),
            cancelled,
            leased,
        }
    }

    /// The chunk that holds an item: its place in the list and the item's line in it.
    pub fn chunk_of(&self, item: ItemIndex) -> Option<(usize, u32)> {
        let place = self.accepted.chunks.partition_point(|(_, first)| *first <= item);
        let chunk = place.checked_sub(1)?;
        Some((chunk, item.0 - self.accepted.chunks[chunk].1.0))
    }

    /// Records that must stay readable for its results.
    pub(crate) fn results(&self) -> Option<SeqRange> {
        self.results
    }

    pub(crate) fn cancel(&mut self, at: WallTime) -> bool {
        if !self.is_running() {
            return false;
        }
        self.cancelled_at = Some(at);
        self.claims.clear();
        self.tries.clear();
        true
    }

    pub(crate) fn end(&mut self, at: WallTime) -> bool {
        if self.phase() != JobPhase::Done || self.ended_at.is_some() {
            return false;
        }
        self.ended_at = Some(at);
        true
    }

    pub(crate) fn end_item(&mut self, seq: u64, item: ItemIndex, outcome: &ItemOutcome) -> bool {
        let state = match outcome {
            ItemOutcome::Answered { .. } => ItemState::Answered,
            ItemOutcome::Failed { .. } => ItemState::Failed,
        };
        if self.cancelled_at.is_some() || !self.items.set(item, state, seq) {
            return false;
        }
        self.claims.remove(&item.0);
        self.tries.remove(&item.0);
        let range = SeqRange { from: seq, until: seq + 1 };
        self.results = Some(self.results.map_or(range, |results| results.cover(range)));
        true
    }

    pub(crate) fn claim_item(&mut self, seq: u64, item: ItemIndex, attempt: u64) -> bool {
        let free = self.items.state(item) == Some(ItemState::Open);
        if !free || self.cancelled_at.is_some() {
            return false;
        }
        self.items.set(item, ItemState::Claimed, seq);
        self.claims.insert(item.0, attempt);
        true
    }

    pub(crate) fn release_item(&mut self, item: ItemIndex, attempt: u64) -> bool {
        if self.claims.get(&item.0) != Some(&attempt) {
            return false;
        }
        self.claims.remove(&item.0);
        self.items.set(item, ItemState::Open, 0)
    }

    pub(crate) fn note_try(&mut self, item: ItemIndex, attempts: u32, vm: Option<&VmName>) -> bool {
        if !self.is_open(item) {
            return false;
        }
        let tries = self.tries.entry(item.0).or_default();
        tries.attempts = tries.attempts.max(attempts);
        if let Some(vm) = vm.filter(|vm| !tries.crashed_on.contains(vm)) {
            tries.crashed_on.push(vm.clone());
        }
        true
    }
}
