//! State and load of one target.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::targets::{
    choice::{QueueLimit, TargetQuery, WorkKind},
    entry::{TargetEntry, TargetState},
    health::TargetHealth,
    latency::ServiceLatency,
    performance::{TargetPerformance, pace::PaceUse},
};

/// Slots of a remote target (one with another home gateway) that batch leaves free, because its
/// load is known late.
const REMOTE_BATCH_RESERVE: u32 = 3;
/// Load penalty, in requests, of a target in another failure domain: traffic between domains is
/// expensive, but less so than waiting for a slot.
const CROSS_DOMAIN_PENALTY: f64 = 0.3;
/// Load penalty, in requests, of a remote target, because its load is known late.
const REMOTE_PENALTY: f64 = 1.5;
/// Weight of this gateway's items in a target's load: an item is preempted when an online request
/// needs its slot.
const PREEMPTIBLE_WEIGHT: f64 = 0.7;
/// Load penalty, in requests, of a target that is slow after its start or may be about to leave: it
/// gets new requests when other targets are a quarter fuller, but its slots are never left unused.
const SLOW_PENALTY: f64 = 2.0;
/// Number of cached prompt tokens that count as much as one request less. Processing 1,200 tokens
/// takes 14 ms, by which one more concurrent request slows down a usual stream.
const CACHED_TOKENS_PER_REQUEST: f64 = 1_200.0;
/// Maximum bonus for cached prompt tokens, in requests, so that a popular prompt does not fill one
/// target.
const MAX_CACHE_BONUS: f64 = 1.0;
/// Queued requests for each slot at which a target counts as full.
const MAX_QUEUE_PER_SLOT: f64 = 1.0;

/// Requests of one gateway at one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetUse {
    /// Online requests.
    pub online: u32,
    /// Items of batch jobs.
    pub batch: u32,
}

impl TargetUse {
    /// Sum of online requests and items.
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

/// Change in a gateway's use of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UseChange {
    /// A request begins.
    Begin,
    /// A request has ended.
    End,
}

/// State of one target.
#[derive(Debug)]
pub(super) struct TargetRecord {
    pub(super) entry: TargetEntry,
    /// Requests of this gateway in progress.
    pub(super) own: TargetUse,
    /// Sum of the last reports of the other gateways.
    pub(super) others: TargetUse,
    pub(super) health: TargetHealth,
    pub(super) performance: TargetPerformance,
    /// Whether another target answered at its address. The target is not used until it registers
    /// again.
    pub(super) address_reused: bool,
    /// Until when the target is considered slow, because it has just started or because it closes
    /// its connections as targets do before they leave.
    pub(super) slow_until: MonoTime,
}

impl TargetRecord {
    pub(super) fn has_free_slot(&self) -> bool {
        self.free_slots() > 0
    }

    /// Slots that a new request may take.
    pub(super) fn free_slots(&self) -> u32 {
        self.entry.slots.saturating_sub(self.total() + self.performance.closed_slots)
    }

    /// Requests that are queued at the target.
    pub(super) fn waiting(&self) -> u32 {
        self.total().saturating_sub(self.entry.slots)
    }

    /// Whether it accepts requests for a service.
    pub(super) fn takes(&self, service: &str) -> bool {
        let ready = self.entry.state == TargetState::Ready && !self.address_reused;
        ready && self.entry.service == service && !self.is_full()
    }

    /// Whether it accepts requests of a query: for its service and at its software version.
    pub(super) fn serves(&self, query: &TargetQuery<'_>) -> bool {
        self.takes(query.service)
            && query.version.is_none_or(|version| self.entry.software_version == version)
    }

    /// Whether it runs requests for a service and is not left out, even if it is full.
    pub(super) fn is_usable(&self, service: &str) -> bool {
        let ready = self.entry.state == TargetState::Ready && !self.address_reused;
        ready && self.entry.service == service && !self.performance.is_excluded
    }

    /// Whether new requests should avoid the target at `now`: it failed a short time ago or is
    /// ejected.
    pub(super) fn is_avoided(&self, now: MonoTime) -> bool {
        self.performance.is_excluded || self.health.is_avoided(now)
    }

    /// Determines how many slots a readmitted target keeps closed at `now`.
    pub(super) fn update_closed_slots(&mut self, now: MonoTime) {
        let closed = self.performance.ejection.closed_slots(self.entry.slots, now);
        self.performance.closed_slots = closed;
    }

    /// Requests of all gateways at the target.
    pub(super) fn total(&self) -> u32 {
        self.own.total() + self.others.total()
    }

    fn is_full(&self) -> bool {
        f64::from(self.total()) >= f64::from(self.entry.slots) * (1.0 + MAX_QUEUE_PER_SLOT)
    }

    /// Whether an item may start there. Targets of this gateway are filled up; remote targets keep
    /// a reserve.
    pub(super) fn has_batch_slot(&self, is_home: bool) -> bool {
        let reserve = if is_home { 0 } else { REMOTE_BATCH_RESERVE };
        let open = self.entry.slots.saturating_sub(reserve).max(1);
        self.total() + self.performance.closed_slots < open
    }

    /// Whether an online request that arrives now is likely to begin in time. Items of this gateway
    /// are not counted, since they are preempted at once.
    pub(super) fn is_in_time(&self, queue: QueueLimit, latency: &ServiceLatency) -> bool {
        match queue {
            QueueLimit::Any => true,
            QueueLimit::Within(objective) => {
                let ahead = self.own.online + self.others.total();
                latency.is_in_time(ahead, self.entry.slots, objective)
            }
        }
    }

    /// Bonus, in requests, for a target that has `read` tokens of the prompt cached.
    pub(super) fn cache_bonus(&self, read: u32) -> f64 {
        if self.total() >= self.entry.slots {
            return 0.0;
        }
        (f64::from(read) / CACHED_TOKENS_PER_REQUEST).min(MAX_CACHE_BONUS)
    }

    /// Load of the target in requests, adjusted by penalties; the lowest score is preferred.
    pub(super) fn score(&self, domain: &str, is_home: bool, pace: PaceUse, now: MonoTime) -> f64 {
        let cross_domain = if self.entry.domain == domain { 0.0 } else { CROSS_DOMAIN_PENALTY };
        let remote = if is_home { 0.0 } else { REMOTE_PENALTY };
        let own_items = f64::from(self.own.batch) * (1.0 - PREEMPTIBLE_WEIGHT);
        let slow = if now < self.slow_until { SLOW_PENALTY } else { 0.0 };
        let taken = self.total() + self.performance.closed_slots;
        f64::from(taken) + self.pace_cost(pace, now) - own_items + cross_domain + remote + slow
    }

    /// Cost of the target's pace, in requests. A target with twice the usual time between events
    /// counts as twice as full, this request included. At a full target, pace changes only the
    /// length of the queue, since the wait is proportional to both, and a fast target's queue counts
    /// for no less than an empty one.
    fn pace_cost(&self, pace: PaceUse, now: MonoTime) -> f64 {
        let ratio = self.performance.pace.ratio(now);
        if !self.has_free_slot() {
            let queued = f64::from(self.waiting() + 1);
            return (queued * ratio).max(1.0) - queued;
        }
        match pace {
            PaceUse::AllTargets => f64::from(self.total() + 1) * (ratio - 1.0),
            PaceUse::FullTargets => 0.0,
        }
    }
}
