//! One attempt as the gate holds it, from its offer until its output is forgotten.

use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

use crate::effect::RunRequest;

/// Running time that one byte of carried progress stands for, microseconds: four bytes a token,
/// forty milliseconds a token. Only orders runs by progress.
const MICROS_PER_CARRIED_BYTE: u64 = 10_000;

/// Where a run is.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RunPhase {
    /// Not started; the request to start it with.
    Waiting(Box<RunRequest>),
    /// At the target.
    Running,
    /// Told to stop, or the target is gone; its `RunEnded` is awaited.
    Stopping(StopCause),
    /// Its connection was cut; whether the target crashed is being found out.
    Doubtful(RunOutput),
    /// Over; the output is kept for a resume.
    Ended {
        /// Bytes of the whole answer.
        total: u64,
        /// How it ended.
        outcome: AttemptOutcome,
    },
}

/// What a run produced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct RunOutput {
    /// Bytes of answer.
    pub(crate) total: u64,
    /// A batch run's answer, or its text so far.
    pub(crate) text: Option<Payload>,
}

/// Why a run was told to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StopCause {
    /// Its gateway, or its job's cancellation.
    Cancelled,
    /// Online work needs the slot.
    Preempted,
    /// Its time is over.
    DeadlinePassed,
    /// The sidecar leaves.
    Leaving,
    /// The target crashed or froze.
    Crashed,
}

/// What ties a run to its lot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ItemTicket {
    pub(crate) key: ItemKey,
    pub(crate) lot: LotId,
    pub(crate) shard: ShardId,
    pub(crate) number: u64,
    /// May use the floor share.
    pub(crate) urgent: bool,
}

/// One attempt.
#[derive(Debug, Clone)]
pub(crate) struct RunRecord {
    pub(crate) run: AttemptId,
    pub(crate) target: TargetName,
    pub(crate) class: WorkClass,
    /// Where an online run's answer goes.
    pub(crate) gateway: VmName,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) idempotent: bool,
    /// Online: the caller's. Batch: when the item may no longer start, for its lease nears its end.
    pub(crate) deadline: MonoTime,
    pub(crate) phase: RunPhase,
    /// When it was offered, or came with its lot.
    pub(crate) arrived_at: MonoTime,
    /// Set once, when it leaves for the target.
    pub(crate) started_at: Option<MonoTime>,
    /// When it was told to stop.
    pub(crate) stopped_at: Option<MonoTime>,
    /// When its gateway's link was lost, until the gateway speaks of it again.
    pub(crate) orphaned_at: Option<MonoTime>,
    pub(crate) has_first_token: bool,
    /// Whether it was a suspect when it started.
    pub(crate) alone: bool,
    /// Whether it holds a slot; a stopped run may lose it before it ends.
    pub(crate) holds_slot: bool,
    /// Bytes of progress it was offered with.
    pub(crate) carried: u64,
    /// For batch.
    pub(crate) item: Option<ItemTicket>,
}

impl RunRecord {
    /// Orders running batch by progress: the least comes first.
    pub(crate) fn progress(&self, now: MonoTime) -> u64 {
        let ran = self.started_at.map_or(0, |at| now.since(at).as_micros() as u64);
        ran + self.carried * MICROS_PER_CARRIED_BYTE
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.item.as_ref().is_some_and(|item| item.urgent)
    }

    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.phase, RunPhase::Waiting(_))
    }

    pub(crate) fn is_running(&self) -> bool {
        self.phase == RunPhase::Running
    }

    /// Left for the target and not over.
    pub(crate) fn is_in_flight(&self) -> bool {
        matches!(self.phase, RunPhase::Running | RunPhase::Stopping(_) | RunPhase::Doubtful(_))
    }
}
