//! What the gate holds of one target.

use std::collections::{BTreeSet, VecDeque};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    concurrency_limit::ConcurrencyLimit,
    event::DownCause,
    online_reserve::OnlineReserve,
    settings::{PolicyWeights, TargetPolicy},
};

/// Whether the target answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TargetHealth {
    /// It answers.
    Up,
    /// A connection was cut; a probe is on its way.
    Doubtful,
    /// It doesn't answer.
    Down(DownCause),
    /// The catalogue no longer has it.
    Gone,
}

/// A suspect's turn to run alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum IsolationPhase {
    /// Nobody's turn.
    Idle,
    /// The target is drained for this run.
    Draining {
        /// Whose turn it is.
        run: AttemptId,
        /// When the draining began.
        since: MonoTime,
    },
    /// This run has the target for itself.
    Alone {
        /// Which.
        run: AttemptId,
        /// When the draining for it began.
        since: MonoTime,
    },
}

impl IsolationPhase {
    /// When the turn began; `None` when it's nobody's.
    pub(crate) fn since(self) -> Option<MonoTime> {
        match self {
            Self::Idle => None,
            Self::Draining { since, .. } | Self::Alone { since, .. } => Some(since),
        }
    }
}

/// The pull for batch work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PullPhase {
    /// May pull.
    Ready,
    /// One is on its way over this gateway.
    Asked {
        /// The gateway asked.
        gateway: VmName,
        /// Number of the pull.
        number: u64,
    },
    /// Pauses until its timer.
    Paused,
}

/// One target.
///
/// Invariants: `online`, `batch` and `stopping` are disjoint and together are the runs that hold
/// a slot; every run in `queue` or `pending` is waiting.
#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) name: TargetName,
    pub(crate) policy: TargetPolicy,
    pub(crate) health: TargetHealth,
    /// The target's own start number, if it tells.
    pub(crate) instance: Option<u64>,
    /// Online runs waiting, by deadline; at most `policy.queue_length`.
    pub(crate) queue: BTreeSet<(MonoTime, AttemptId)>,
    /// Items waiting; at most twice the size of a lot.
    pub(crate) pending: VecDeque<AttemptId>,
    /// Online runs at the target.
    pub(crate) online: BTreeSet<AttemptId>,
    /// Batch runs at the target.
    pub(crate) batch: BTreeSet<AttemptId>,
    /// Told to stop, not confirmed.
    pub(crate) stopping: BTreeSet<AttemptId>,
    /// Cut, until the probe's answer; items until the second one. They hold no slot, but nothing starts
    /// meanwhile.
    pub(crate) doubtful: BTreeSet<AttemptId>,
    /// Whether the target has answered a probe since the last cut.
    pub(crate) has_answered: bool,
    /// After a cut it counts as up only when it answers from then on.
    pub(crate) up_from: MonoTime,
    pub(crate) limits: ConcurrencyLimit,
    pub(crate) reserve: OnlineReserve,
    pub(crate) isolation: IsolationPhase,
    /// No isolation begins before this.
    pub(crate) isolation_from: MonoTime,
    pub(crate) pull: PullPhase,
    pub(crate) pull_number: u64,
    /// Pauses in a row; doubles the pause.
    pub(crate) pull_misses: u32,
}

impl TargetState {
    pub(crate) fn new(name: TargetName, policy: TargetPolicy) -> Self {
        Self {
            name,
            limits: ConcurrencyLimit::new(&policy),
            policy,
            health: TargetHealth::Down(DownCause::Crashed),
            instance: None,
            queue: BTreeSet::new(),
            pending: VecDeque::new(),
            online: BTreeSet::new(),
            batch: BTreeSet::new(),
            stopping: BTreeSet::new(),
            doubtful: BTreeSet::new(),
            has_answered: false,
            up_from: MonoTime::default(),
            reserve: OnlineReserve::default(),
            isolation: IsolationPhase::Idle,
            isolation_from: MonoTime::default(),
            pull: PullPhase::Ready,
            pull_number: 0,
            pull_misses: 0,
        }
    }

    pub(crate) fn is_up(&self) -> bool {
        self.health == TargetHealth::Up
    }

    /// Slots taken.
    pub(crate) fn taken(&self) -> u32 {
        (self.online.len() + self.batch.len() + self.stopping.len()) as u32
    }

    pub(crate) fn has_slot(&self) -> bool {
        self.taken() < self.limits.limit()
    }

    pub(crate) fn online_demand(&self) -> u32 {
        (self.online.len() + self.queue.len()) as u32
    }

    /// Slots that batch leaves free for online bursts.
    pub(crate) fn reserve_slots(&self, weights: &PolicyWeights) -> u32 {
        self.reserve.slots(self.limits.limit(), weights)
    }

    /// Slots that items of late jobs hold against online work; never into the reserve.
    pub(crate) fn floor_slots(&self, weights: &PolicyWeights) -> u32 {
        let limit = self.limits.limit();
        let share = f64::from(limit) * self.policy.floor_share.clamp(0.0, 1.0);
        let above_reserve = limit.saturating_sub(self.reserve_slots(weights).max(1));
        (share.floor() as u32).min(above_reserve)
    }

    /// How many more batch runs may start now. `urgent` ones aren't bound by the learned fill.
    pub(crate) fn batch_room(&self, weights: &PolicyWeights, urgent: bool) -> u32 {
        let online = self.online_demand();
        let kept = online + self.stopping.len() as u32 + self.reserve_slots(weights);
        let running = self.batch.len() as u32;
        let by_slots = self.limits.limit().saturating_sub(kept + running);
        let fill = match urgent {
            true => self.limits.fill().max(self.floor_slots(weights)),
            false => self.limits.fill(),
        };
        by_slots.min(fill.saturating_sub(running))
    }

    pub(crate) fn release(&mut self, run: AttemptId) {
        self.online.remove(&run);
        self.batch.remove(&run);
        self.stopping.remove(&run);
        self.doubtful.remove(&run);
    }

    pub(crate) fn note_running(&mut self) {
        self.limits.note_running(self.taken(), self.batch.len() as u32);
        self.reserve.note_demand(self.online_demand());
    }

    pub(crate) fn load(&self) -> TargetLoad {
        TargetLoad {
            target: self.name.clone(),
            online_running: self.online.len() as u32,
            online_waiting: self.queue.len() as u32,
            batch_running: self.batch.len() as u32,
            limit: self.limits.limit(),
            first_token_us: self.limits.first_token_us(),
            up: self.is_up(),
        }
    }
}
