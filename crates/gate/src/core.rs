//! What the decisions for every target share: runs, timers, gateways, memory of the past.

mod admission;
mod batch;
mod endings;
mod isolation;

use std::collections::{BTreeMap, VecDeque};

use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    effect::GateEffect,
    gateway_roster::GatewayRoster,
    lot_memory::LotMemory,
    result_buffer::ResultBuffer,
    run_record::{RunPhase, RunRecord, StopCause},
    settings::{GateSettings, PolicyWeights},
    suspect_table::SuspectTable,
    target_state::TargetState,
    timer_set::{TimerKind, TimerSet},
    tombstone_set::{TombstoneKind, TombstoneSet},
};

/// Returns kept while no gateway can be reached; the lease's end makes up for what is dropped.
const RETURNS_KEPT: usize = 256;

/// The shared part of the gate. Methods that act on one target get its state lent.
#[derive(Debug)]
pub(crate) struct GateCore {
    pub(crate) settings: GateSettings,
    pub(crate) weights: PolicyWeights,
    pub(crate) gateways: GatewayRoster,
    /// Every run until its output is forgotten. Bounded by queues, limits and retention.
    pub(crate) runs: FastMap<AttemptId, RunRecord>,
    /// Runs of items that are not over.
    pub(crate) items: BTreeMap<ItemKey, AttemptId>,
    pub(crate) timers: TimerSet,
    /// Never to be started.
    pub(crate) barred: TombstoneSet,
    /// Over, output gone.
    pub(crate) finished: TombstoneSet,
    pub(crate) suspects: SuspectTable,
    pub(crate) lots: LotMemory,
    pub(crate) results: ResultBuffer,
    /// Returns that wait for a link; at most [`RETURNS_KEPT`].
    pub(crate) returns: VecDeque<(ShardId, ItemReturn)>,
    /// Ended online runs whose output is kept, oldest first.
    pub(crate) kept: VecDeque<AttemptId>,
    /// Bytes of their output.
    pub(crate) kept_bytes: u64,
    /// Whether the sidecar leaves.
    pub(crate) leaving: bool,
    jitter: SmallRng,
}

impl GateCore {
    pub(crate) fn new(settings: GateSettings) -> Self {
        let tombstones =
            || TombstoneSet::new(settings.tombstone_count, settings.tombstone_retention);
        Self {
            weights: PolicyWeights::default(),
            gateways: GatewayRoster::default(),
            runs: FastMap::default(),
            items: BTreeMap::new(),
            timers: TimerSet::default(),
            barred: tombstones(),
            finished: tombstones(),
            suspects: SuspectTable::new(settings.suspect_count, settings.suspect_retention),
            lots: LotMemory::new(
                settings.shard_count,
                settings.cancel_count,
                settings.cancel_retention,
            ),
            results: ResultBuffer::default(),
            returns: VecDeque::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            leaving: false,
            jitter: SmallRng::seed_from_u64(settings.seed),
            settings,
        }
    }

    /// A share between a half and one, so that many sidecars don't act in step.
    pub(crate) fn jitter(&mut self) -> f64 {
        0.5 + 0.5 * self.jitter.random::<f64>()
    }

    pub(crate) fn send(gateway: &VmName, message: GatewayMessage, effects: &mut Vec<GateEffect>) {
        effects.push(GateEffect::Send { gateway: gateway.clone(), message });
    }

    pub(crate) fn count(counter: &'static str, effects: &mut Vec<GateEffect>) {
        effects.push(GateEffect::Count(Counter::Event(counter)));
    }

    /// Refuses an attempt that never started, and makes sure that it never will.
    pub(crate) fn refuse(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after_ms: Option<u64>,
        effects: &mut Vec<GateEffect>,
    ) {
        self.barred.insert(now, attempt, TombstoneKind::Refused(reason));
        effects.push(GateEffect::Count(Counter::Refused(reason)));
        let note = DecisionNote::new(
            NoteSubject::Request(attempt.request),
            "refused",
            format!("attempt {:x} not started", attempt.number),
        );
        effects.push(GateEffect::Note(note.with_vm(&self.settings.vm).with_reason(reason.code())));
        let refusal = AttemptRefusal { attempt, reason, retry_after_ms };
        Self::send(gateway, GatewayMessage::Refused(refusal), effects);
    }

    /// Lets a waiting run leave for the target.
    pub(crate) fn start(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        alone: bool,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.runs.get_mut(&run) else { return };
        let RunPhase::Waiting(request) = std::mem::replace(&mut record.phase, RunPhase::Running)
        else {
            return;
        };
        record.started_at = Some(now);
        record.alone = alone;
        record.holds_slot = true;
        let bounded = now + self.settings.run_bound;
        let is_bound_by_deadline = record.class == WorkClass::Online && record.idempotent;
        let until = if is_bound_by_deadline { record.deadline } else { bounded };
        match record.class {
            WorkClass::Online => state.online.insert(run),
            WorkClass::Batch => state.batch.insert(run),
        };
        self.timers.set(until, TimerKind::RunOver(run));
        state.note_running();
        effects.push(GateEffect::Start(request));
    }

    /// Tells the target to stop a run at once. Its slot stays taken until the target confirms, or
    /// the grace is over.
    pub(crate) fn stop(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        cause: StopCause,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.runs.get_mut(&run) else { return };
        if !record.is_running() {
            return;
        }
        record.phase = RunPhase::Stopping(cause);
        record.stopped_at = Some(now);
        state.online.remove(&run);
        state.batch.remove(&run);
        state.stopping.insert(run);
        self.timers.set(now + self.settings.stop_grace, TimerKind::StopGrace(run));
        effects.push(GateEffect::Stop { run });
    }

    /// The target never confirmed the stop: its slot is used again all the same.
    ///
    /// A frozen target confirms nothing; without this, online work would wait behind a batch
    /// run that was told to go.
    pub(crate) fn release_stopped(&mut self, state: &mut TargetState, run: AttemptId) {
        let Some(record) = self.runs.get_mut(&run) else { return };
        if matches!(record.phase, RunPhase::Stopping(_)) && record.holds_slot {
            record.holds_slot = false;
            state.stopping.remove(&run);
            state.reserve.note_stop(self.settings.stop_grace);
        }
    }

    /// Whether this run must have its target for itself.
    pub(crate) fn must_run_alone(&self, now: MonoTime, run: AttemptId) -> bool {
        self.runs
            .get(&run)
            .is_some_and(|record| record.alone || self.suspects.is_suspect(now, record.fingerprint))
    }
}
