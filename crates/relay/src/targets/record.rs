//! What is known of one target, and how loaded it is.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::targets::{
    choice::{QueueLimit, WorkKind},
    entry::{TargetEntry, TargetState},
    health::TargetHealth,
    pace::ServiceLatency,
};

/// Places of another gateway's home target that batch leaves free: its load is known late.
const BATCH_RESERVE_FOREIGN: u32 = 3;
/// Added to the load of a target in another failure domain, in requests: bytes between domains cost,
/// but less than a wait for a place.
const FAR_PENALTY: f64 = 0.3;
/// Added to the load of another gateway's home target, in requests: its load is known late.
const FOREIGN_PENALTY: f64 = 1.5;
/// Weight of an own item in a target's load: it yields its place when an online request needs it.
const YIELDING_WEIGHT: f64 = 0.7;
/// Added to the load of a target that is slow after its start or may be about to leave, in requests:
/// it gets new ones where others are a quarter fuller, but never is a place left free for it.
const SLOW_PENALTY: f64 = 2.0;
/// Tokens of a prompt that a target has read count for as much as one request less there. Reading
/// 1,200 tokens takes 14 ms; so much longer does a usual stream take beside one request more.
const WARM_TOKENS: f64 = 1_200.0;
/// The most that it counts, in requests: a popular prompt must not fill one target.
const WARMTH_LONGEST: f64 = 1.0;
/// Requests that may wait at a target for each of its places before it counts as full.
const QUEUE_PER_SLOT: f64 = 1.0;

/// Requests of one gateway at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetUse {
    /// Online requests.
    pub online: u32,
    /// Items of jobs.
    pub batch: u32,
}

impl TargetUse {
    /// Both together.
    pub fn total(self) -> u32 {
        self.online + self.batch
    }

    pub(super) fn add(&mut self, work: WorkKind) {
        match work {
            WorkKind::Online => self.online += 1,
            WorkKind::Batch => self.batch += 1,
        }
    }

    pub(super) fn remove(&mut self, work: WorkKind) {
        match work {
            WorkKind::Online => self.online = self.online.saturating_sub(1),
            WorkKind::Batch => self.batch = self.batch.saturating_sub(1),
        }
    }
}

/// What became of a request at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UseChange {
    /// It begins.
    Begin,
    /// It has ended.
    End,
}

/// What is known of one target.
#[derive(Debug)]
pub(super) struct TargetRecord {
    pub(super) entry: TargetEntry,
    /// Requests of this gateway that are under way.
    pub(super) own: TargetUse,
    /// Sum of the other gateways' last reports.
    pub(super) others: TargetUse,
    pub(super) health: TargetHealth,
    /// Another target answered at its address: not used until it registers again.
    pub(super) displaced: bool,
    /// It is slow until then, or may be: it has just started, or it closes its connections, as one
    /// that is about to leave does.
    pub(super) slow_until: MonoTime,
}

impl TargetRecord {
    /// Whether a place is free.
    pub(super) fn has_place(&self) -> bool {
        self.total() < self.entry.slots
    }

    /// Requests that wait for a place.
    pub(super) fn waiting(&self) -> u32 {
        self.total().saturating_sub(self.entry.slots)
    }

    /// Whether it takes requests of a service.
    pub(super) fn takes(&self, service: &str) -> bool {
        let ready = self.entry.state == TargetState::Ready && !self.displaced;
        ready && self.entry.service == service && !self.is_full()
    }

    /// All requests there.
    pub(super) fn total(&self) -> u32 {
        self.own.total() + self.others.total()
    }

    fn is_full(&self) -> bool {
        f64::from(self.total()) >= f64::from(self.entry.slots) * (1.0 + QUEUE_PER_SLOT)
    }

    /// Whether an item may start there: own targets are filled, at others a few places are left.
    pub(super) fn has_batch_place(&self, is_home: bool) -> bool {
        let reserve = if is_home { 0 } else { BATCH_RESERVE_FOREIGN };
        let open = self.entry.slots.saturating_sub(reserve).max(1);
        self.total() < open
    }

    /// Whether an online request that comes now likely begins in time. Own items yield their places at
    /// once.
    pub(super) fn is_in_time(&self, queue: QueueLimit, pace: &ServiceLatency) -> bool {
        match queue {
            QueueLimit::Any => true,
            QueueLimit::Within(objective) => {
                let ahead = self.own.online + self.others.total();
                pace.is_in_time(ahead, self.entry.slots, objective)
            }
        }
    }

    /// What it's worth, in requests, that the target has read so many tokens of a prompt.
    pub(super) fn warmth(&self, read: u32) -> f64 {
        if self.total() >= self.entry.slots {
            return 0.0;
        }
        (f64::from(read) / WARM_TOKENS).min(WARMTH_LONGEST)
    }

    /// How loaded it is, in requests, with what speaks for and against it.
    pub(super) fn score(&self, domain: &str, is_home: bool, now: MonoTime) -> f64 {
        let far = if self.entry.domain == domain { 0.0 } else { FAR_PENALTY };
        let foreign = if is_home { 0.0 } else { FOREIGN_PENALTY };
        let own_items = f64::from(self.own.batch) * (1.0 - YIELDING_WEIGHT);
        let slow = if now < self.slow_until { SLOW_PENALTY } else { 0.0 };
        f64::from(self.total()) - own_items + far + foreign + slow
    }
}
