//! What is remembered of shards, lots and cancelled jobs, so that late messages do no harm.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use notch_types::prelude::*;

/// Lots remembered so that a second copy of one starts nothing.
const LOTS_REMEMBERED: usize = 4_096;

/// Newest epoch by shard, lots seen, jobs cancelled; each bounded, the oldest goes first.
#[derive(Debug)]
pub(crate) struct LotMemory {
    epochs: BTreeMap<ShardId, Epoch>,
    epoch_bound: usize,
    lots: FastSet<(ShardId, Epoch, LotId)>,
    lot_ages: VecDeque<(ShardId, Epoch, LotId)>,
    cancelled: FastSet<JobId>,
    cancel_ages: VecDeque<(MonoTime, JobId)>,
    cancel_bound: usize,
    cancel_retention: Duration,
}

impl LotMemory {
    pub(crate) fn new(epoch_bound: usize, cancel_bound: usize, cancel_retention: Duration) -> Self {
        Self {
            epochs: BTreeMap::new(),
            epoch_bound,
            lots: FastSet::default(),
            lot_ages: VecDeque::new(),
            cancelled: FastSet::default(),
            cancel_ages: VecDeque::new(),
            cancel_bound,
            cancel_retention,
        }
    }

    /// Takes in a shard's epoch; `false` when it is older than one already seen: its sender was
    /// an owner once and doesn't know yet that it no longer is.
    pub(crate) fn admit_epoch(&mut self, shard: ShardId, epoch: Epoch) -> bool {
        if self.epochs.len() >= self.epoch_bound && !self.epochs.contains_key(&shard) {
            // More shards than the settings allow for: refuse rather than forget an epoch.
            return false;
        }
        let newest = self.epochs.entry(shard).or_insert(epoch);
        if epoch < *newest {
            return false;
        }
        *newest = epoch;
        true
    }

    /// Takes in a lot; `false` when it was seen before.
    pub(crate) fn admit_lot(&mut self, shard: ShardId, epoch: Epoch, lot: LotId) -> bool {
        if !self.lots.insert((shard, epoch, lot)) {
            return false;
        }
        self.lot_ages.push_back((shard, epoch, lot));
        if self.lot_ages.len() > LOTS_REMEMBERED
            && let Some(oldest) = self.lot_ages.pop_front()
        {
            self.lots.remove(&oldest);
        }
        true
    }

    pub(crate) fn cancel(&mut self, now: MonoTime, job: JobId) {
        let old = |(at, _): &(MonoTime, JobId)| now.since(*at) > self.cancel_retention;
        while self.cancel_ages.front().is_some_and(old)
            || self.cancel_ages.len() >= self.cancel_bound
        {
            let Some((_, oldest)) = self.cancel_ages.pop_front() else { break };
            self.cancelled.remove(&oldest);
        }
        if self.cancelled.insert(job) {
            self.cancel_ages.push_back((now, job));
        }
    }

    pub(crate) fn is_cancelled(&self, job: JobId) -> bool {
        self.cancelled.contains(&job)
    }
}
