//! How runs end, and what a crash of the target means for those in flight.

use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

use super::GateCore;
use crate::{
    effect::GateEffect,
    event::{DownCause, RunEnd},
    run_record::{ItemTicket, RunOutput, RunPhase, StopCause},
    target_state::{IsolationPhase, TargetHealth, TargetState},
    timer_set::TimerKind,
    tombstone_set::TombstoneKind,
};

/// First HTTP status that isn't a success.
const FIRST_FAILED_STATUS: u16 = 400;
/// Most bytes of a failed item's answer told in its result.
const DETAIL_BYTES: usize = 256;

/// Why a run is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunVerdict {
    /// As the target said.
    ByTarget(RunEnd),
    /// Stopped.
    Stopped(StopCause),
}

impl GateCore {
    /// A run's end at the target.
    pub(crate) fn end_run(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        end: RunEnd,
        produced: RunOutput,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.runs.get_mut(&run) else {
            return effects.push(GateEffect::Count(Counter::Dropped(DropReason::LateAnswer)));
        };
        let verdict = match (&record.phase, end) {
            (RunPhase::Running, RunEnd::Cut)
            | (RunPhase::Stopping(StopCause::Preempted), RunEnd::Cut) => {
                record.phase = RunPhase::Doubtful(produced);
                return self.doubt(state, run, effects);
            }
            (RunPhase::Running, end) => RunVerdict::ByTarget(end),
            (RunPhase::Stopping(cause), end) => {
                if let Some(at) = record.stopped_at.filter(|_| record.holds_slot) {
                    state.reserve.note_stop(now.since(at));
                }
                verdict_of_stopped(*cause, end)
            }
            _ => {
                effects.push(GateEffect::Count(Counter::Dropped(DropReason::LateAnswer)));
                return;
            }
        };
        self.settle(now, state, run, verdict, produced, effects);
    }

    /// A cut connection: either this one request was hung up on, or the target crashed. Nothing
    /// starts until the probe tells, or the next victim would be sent to a dying target.
    fn doubt(&mut self, state: &mut TargetState, run: AttemptId, effects: &mut Vec<GateEffect>) {
        state.release(run);
        state.doubtful.insert(run);
        state.has_answered = false;
        if state.health == TargetHealth::Up {
            state.health = TargetHealth::Doubtful;
            effects.push(GateEffect::Probe { target: state.name.clone() });
        }
    }

    /// The target answers.
    pub(crate) fn target_up(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        instance: Option<u64>,
        effects: &mut Vec<GateEffect>,
    ) {
        if state.health == TargetHealth::Gone {
            return;
        }
        let restarted =
            instance.is_some() && state.instance.is_some() && instance != state.instance;
        let nothing_left = state.taken() == 0 && state.doubtful.len() > 1;
        let all_cut = instance.is_none() && nothing_left;
        if restarted || all_cut {
            self.target_down(now, state, DownCause::Crashed, effects);
        }
        state.instance = instance.or(state.instance);
        let is_first_answer = !std::mem::replace(&mut state.has_answered, true);
        let doubtful = std::mem::take(&mut state.doubtful);
        if all_cut || (is_first_answer && !doubtful.is_empty()) {
            state.up_from = now + self.settings.cut_pause;
            self.timers.set(state.up_from, TimerKind::Reprobe(state.name.clone()));
        }
        for run in doubtful {
            // A dying target may answer once more. An item that is taken for hung up then would not count as what
            // crashed it; an online request counts in either case.
            if is_first_answer && self.is_item(run) {
                state.doubtful.insert(run);
                continue;
            }
            self.settle_doubtful(now, state, run, RunVerdict::ByTarget(RunEnd::Cut), effects);
        }
        let is_down = matches!(state.health, TargetHealth::Down(_));
        if now < state.up_from {
            // One answer is no proof of life after a cut: nothing starts before the next one.
            if !is_down {
                state.health = TargetHealth::Doubtful;
            }
        } else if state.health != TargetHealth::Up {
            if is_down {
                Self::count("target_ups", effects);
            }
            state.health = TargetHealth::Up;
        }
    }

    fn is_item(&self, run: AttemptId) -> bool {
        self.runs.get(&run).is_some_and(|record| record.class == WorkClass::Batch)
    }

    /// The target is gone or frozen: whatever was in flight is over.
    pub(crate) fn target_down(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        cause: DownCause,
        effects: &mut Vec<GateEffect>,
    ) {
        if state.health == TargetHealth::Gone {
            return;
        }
        let was_up = matches!(state.health, TargetHealth::Up | TargetHealth::Doubtful);
        state.health = TargetHealth::Down(cause);
        if was_up && cause == DownCause::Crashed {
            self.report_suspects(now, state, effects);
        }
        if was_up {
            self.note_down(state, cause, effects);
        }
        let doubtful = std::mem::take(&mut state.doubtful);
        for run in doubtful {
            let verdict = RunVerdict::Stopped(StopCause::Crashed);
            self.settle_doubtful(now, state, run, verdict, effects);
        }
        let running: Vec<AttemptId> = state.online.iter().chain(&state.batch).copied().collect();
        for run in running {
            self.stop(now, state, run, StopCause::Crashed, effects);
        }
        self.turn_away(now, state, RefusalReason::NoTarget, effects);
        state.isolation = IsolationPhase::Idle;
    }

    /// Gives everything that waits its final answer.
    pub(crate) fn turn_away(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        reason: RefusalReason,
        effects: &mut Vec<GateEffect>,
    ) {
        let waiting: Vec<AttemptId> = state.queue.iter().map(|(_, run)| *run).collect();
        for run in waiting {
            self.refuse_waiting(now, state, run, reason, effects);
        }
        let pending: Vec<AttemptId> = state.pending.iter().copied().collect();
        for run in pending {
            self.return_pending(state, run, effects);
        }
    }

    /// Everything in flight at a crash may have caused it. Told to all gateways, for the next try
    /// of each may come through any of them; a culprit that nobody knows crashes target after
    /// target.
    fn report_suspects(
        &mut self,
        now: MonoTime,
        state: &TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        let sets = [&state.online, &state.batch, &state.stopping, &state.doubtful];
        let in_flight = sets.into_iter().flatten().filter_map(|run| self.runs.get(run));
        let fingerprints: Vec<Fingerprint> = in_flight.map(|record| record.fingerprint).collect();
        let alone = fingerprints.len() == 1;
        if !fingerprints.is_empty() {
            let subject = NoteSubject::Target(state.name.clone());
            let detail = in_flight_detail(state, &fingerprints);
            let note = DecisionNote::new(subject, "suspects_named", detail);
            effects.push(GateEffect::Note(note.with_vm(&self.settings.vm)));
        }
        self.tell_suspects(now, &state.name, fingerprints, alone, effects);
    }

    fn tell_suspects(
        &mut self,
        now: MonoTime,
        target: &TargetName,
        fingerprints: Vec<Fingerprint>,
        alone: bool,
        effects: &mut Vec<GateEffect>,
    ) {
        if fingerprints.is_empty() {
            return;
        }
        for fingerprint in &fingerprints {
            self.suspects.suspect(now, *fingerprint);
        }
        for gateway in self.gateways.all() {
            let message = GatewayMessage::Suspects {
                target: target.clone(),
                alone,
                fingerprints: fingerprints.clone(),
            };
            Self::send(gateway, message, effects);
        }
    }

    fn note_down(&self, state: &TargetState, cause: DownCause, effects: &mut Vec<GateEffect>) {
        let (counter, code) = match cause {
            DownCause::Crashed => ("target_crashes", "target_crashed"),
            DownCause::Frozen => ("target_freezes", "target_frozen"),
        };
        Self::count(counter, effects);
        let in_flight = state.taken() as usize + state.doubtful.len();
        let detail = format!("{in_flight} in flight");
        let note = DecisionNote::new(NoteSubject::Target(state.name.clone()), code, detail);
        effects.push(GateEffect::Note(note.with_vm(&self.settings.vm)));
    }

    fn settle_doubtful(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        verdict: RunVerdict,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.runs.get_mut(&run) else { return };
        let RunPhase::Doubtful(produced) = &mut record.phase else { return };
        let produced = std::mem::take(produced);
        self.settle(now, state, run, verdict, produced, effects);
    }

    fn settle(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        verdict: RunVerdict,
        produced: RunOutput,
        effects: &mut Vec<GateEffect>,
    ) {
        state.release(run);
        let Some(record) = self.runs.get(&run) else { return };
        let target_lives = matches!(
            verdict,
            RunVerdict::ByTarget(RunEnd::Complete { .. } | RunEnd::Failed { .. })
        );
        if record.alone && target_lives && self.suspects.clear(record.fingerprint) {
            Self::count("suspects_cleared", effects);
        }
        let is_unreached = verdict == RunVerdict::ByTarget(RunEnd::Unreached);
        if is_unreached && state.health == TargetHealth::Up {
            state.health = TargetHealth::Doubtful;
            effects.push(GateEffect::Probe { target: state.name.clone() });
        }
        match record.class {
            WorkClass::Online => {
                self.settle_online(now, state, run, verdict, produced.total, effects)
            }
            WorkClass::Batch => self.settle_item(now, run, verdict, produced.text, effects),
        }
    }

    fn settle_online(
        &mut self,
        now: MonoTime,
        state: &TargetState,
        run: AttemptId,
        verdict: RunVerdict,
        total: u64,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.runs.get_mut(&run) else { return };
        let gateway = record.gateway.clone();
        let Some(outcome) = outcome_of(verdict) else {
            // Not a byte was sent to the target: it surely never ran.
            self.runs.remove(&run);
            effects.push(GateEffect::ForgetOutput { run });
            let retry = self.retry_after(state, RefusalReason::NoTarget);
            return self.refuse(now, &gateway, run, RefusalReason::NoTarget, retry, effects);
        };
        record.phase = RunPhase::Ended { total, outcome: outcome.clone() };
        let (fingerprint, alone) = (record.fingerprint, record.alone);
        // Its gateway takes this for a crash of the target, and so must the others before a send
        // comes to one of them: a rumour would be later than its caller.
        if verdict == RunVerdict::ByTarget(RunEnd::Cut) {
            self.tell_suspects(now, &state.name, vec![fingerprint], alone, effects);
        }
        self.kept.push_back(run);
        self.kept_bytes += total;
        self.timers.set(now + self.settings.output_retention, TimerKind::Forget(run));
        Self::count("attempts_ended", effects);
        Self::send(&gateway, GatewayMessage::Ended { attempt: run, total, outcome }, effects);
        while self.kept_bytes > self.settings.output_bytes
            && let Some(oldest) = self.kept.pop_front()
        {
            self.forget(now, oldest, effects);
        }
    }

    /// Drops an ended run's output; that it ended is remembered for longer.
    pub(crate) fn forget(&mut self, now: MonoTime, run: AttemptId, effects: &mut Vec<GateEffect>) {
        let Some(record) = self.runs.get(&run) else { return };
        let RunPhase::Ended { total, outcome } = &record.phase else { return };
        let (total, outcome) = (*total, outcome.clone());
        self.runs.remove(&run);
        // In the order of their ends, so this run is the first one unless it was dropped for room.
        if self.kept.front() == Some(&run) {
            self.kept.pop_front();
        }
        self.kept_bytes -= total;
        self.finished.insert(now, run, TombstoneKind::Finished { total, outcome });
        effects.push(GateEffect::ForgetOutput { run });
    }

    fn settle_item(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        verdict: RunVerdict,
        output: Option<Payload>,
        effects: &mut Vec<GateEffect>,
    ) {
        effects.push(GateEffect::ForgetOutput { run });
        let reason = match verdict {
            RunVerdict::ByTarget(RunEnd::Unreached) => {
                if let Some(record) = self.runs.get_mut(&run) {
                    record.started_at = None;
                }
                return self.return_item(run, ReturnReason::NotStarted, output, effects);
            }
            RunVerdict::ByTarget(RunEnd::Stopped) => ReturnReason::Preempted,
            RunVerdict::ByTarget(end) => return self.end_item(now, run, end, output, effects),
            RunVerdict::Stopped(StopCause::DeadlinePassed) => {
                return self.fail_item(
                    now,
                    run,
                    RefusalReason::DeadlinePassed,
                    true,
                    "ran for too long".to_owned(),
                    effects,
                );
            }
            RunVerdict::Stopped(StopCause::Cancelled | StopCause::Preempted) => {
                ReturnReason::Preempted
            }
            RunVerdict::Stopped(StopCause::Leaving) => ReturnReason::Leaving,
            RunVerdict::Stopped(StopCause::Crashed) => ReturnReason::TargetCrashed,
        };
        let outcome = AttemptOutcome::Preempted;
        self.finished.insert(now, run, TombstoneKind::Finished { total: 0, outcome });
        self.return_item(run, reason, output, effects);
    }

    /// An item's end as the target gave it.
    fn end_item(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        end: RunEnd,
        output: Option<Payload>,
        effects: &mut Vec<GateEffect>,
    ) {
        let body = output.unwrap_or_default();
        match end {
            RunEnd::Complete { status } if status < FIRST_FAILED_STATUS => {
                self.finish_item(now, run, ItemOutcome::Answered { status, body }, effects);
            }
            RunEnd::Complete { status } => {
                let told = String::from_utf8_lossy(&body[..body.len().min(DETAIL_BYTES)]);
                let detail = format!("status {status}: {told}");
                self.fail_item(now, run, RefusalReason::TargetFailed, false, detail, effects);
            }
            RunEnd::Failed { status, retryable } => {
                let detail = format!("status {status}");
                self.fail_item(now, run, RefusalReason::TargetFailed, retryable, detail, effects);
            }
            RunEnd::Cut | RunEnd::Unreached | RunEnd::Stopped => {
                let detail = "the target hung up".to_owned();
                self.fail_item(now, run, RefusalReason::TargetLost, true, detail, effects);
            }
        }
    }

    fn fail_item(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        reason: RefusalReason,
        retryable: bool,
        detail: String,
        effects: &mut Vec<GateEffect>,
    ) {
        let outcome = ItemOutcome::Failed { reason, retryable, ran: Ran::Unknown, detail };
        self.finish_item(now, run, outcome, effects);
    }

    pub(crate) fn finish_item(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        outcome: ItemOutcome,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(ticket) = self.runs.remove(&run).and_then(|record| record.item) else { return };
        self.items.remove(&ticket.key);
        let ended = AttemptOutcome::Complete { status: 0 };
        self.finished.insert(now, run, TombstoneKind::Finished { total: 0, outcome: ended });
        Self::count("items_ended", effects);
        let ItemTicket { key, lot, shard, number, .. } = ticket;
        let result = ItemResult { key, lot, attempt: number, outcome };
        self.keep_result(now, shard, result, effects);
    }
}

/// A stopped run that came to its end all the same is taken as ended, unless nobody wants it.
fn verdict_of_stopped(cause: StopCause, end: RunEnd) -> RunVerdict {
    match end {
        RunEnd::Complete { .. } if cause != StopCause::Cancelled => RunVerdict::ByTarget(end),
        RunEnd::Unreached if cause != StopCause::Cancelled => RunVerdict::ByTarget(end),
        _ => RunVerdict::Stopped(cause),
    }
}

/// An online run's end as its gateway is told; `None` when it surely never ran.
fn outcome_of(verdict: RunVerdict) -> Option<AttemptOutcome> {
    let outcome = match verdict {
        RunVerdict::ByTarget(RunEnd::Complete { status }) => AttemptOutcome::Complete { status },
        RunVerdict::ByTarget(RunEnd::Failed { status, retryable }) => {
            AttemptOutcome::Failed { status, retryable }
        }
        RunVerdict::ByTarget(RunEnd::Unreached) => return None,
        RunVerdict::ByTarget(RunEnd::Cut) => AttemptOutcome::Crashed,
        RunVerdict::ByTarget(RunEnd::Stopped) => AttemptOutcome::Cancelled,
        RunVerdict::Stopped(StopCause::Cancelled) => AttemptOutcome::Cancelled,
        RunVerdict::Stopped(StopCause::Preempted) => AttemptOutcome::Preempted,
        RunVerdict::Stopped(StopCause::DeadlinePassed) => AttemptOutcome::DeadlinePassed,
        RunVerdict::Stopped(StopCause::Leaving) => {
            AttemptOutcome::Failed { status: 0, retryable: true }
        }
        RunVerdict::Stopped(StopCause::Crashed) => AttemptOutcome::Crashed,
    };
    Some(outcome)
}

/// Who was in flight at a crash, and by which word: one that is merely doubtful or being stopped keeps
/// the others from counting as alone.
fn in_flight_detail(state: &TargetState, fingerprints: &[Fingerprint]) -> String {
    let names: Vec<String> = fingerprints.iter().map(ToString::to_string).collect();
    format!(
        "online {}, batch {}, stopping {}, doubtful {}: {}",
        state.online.len(),
        state.batch.len(),
        state.stopping.len(),
        state.doubtful.len(),
        names.join(" ")
    )
}
