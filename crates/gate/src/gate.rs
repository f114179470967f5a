//! The gate: one machine over admission, attempts, lots, orders and drain.

mod attempts;
mod leaving;
mod lots;
mod orders;
mod reports;

use std::{collections::BTreeMap, time::Duration};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    core::GateCore,
    effect::GateEffect,
    event::GateEvent,
    order_fence::OrderFence,
    run_record::{RunOutput, StopCause},
    settings::{GateSettings, TargetPolicy},
    target_state::{PullPhase, TargetHealth, TargetState},
    timer_set::TimerKind,
};

use self::reports::LoadReporter;

/// Decides everything that one sidecar decides.
#[derive(Debug)]
pub struct AdmissionGate {
    core: GateCore,
    /// By name, so that every pass over them is in one order. Bounded by the catalogue.
    targets: BTreeMap<TargetName, TargetState>,
    fence: OrderFence,
    reporter: LoadReporter,
    /// When the drain must be over; `None` while not leaving.
    drain_until: Option<MonoTime>,
    /// Whether `Drained` was told.
    is_drained: bool,
    /// Whether the learning windows' timer runs.
    has_window: bool,
}

impl AdmissionGate {
    /// A gate that knows no target yet.
    pub fn new(settings: GateSettings) -> Self {
        Self {
            fence: OrderFence::new(settings.vm.clone(), settings.order_count),
            core: GateCore::new(settings),
            targets: BTreeMap::new(),
            reporter: LoadReporter::default(),
            drain_until: None,
            is_drained: false,
            has_window: false,
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> &GateSettings {
        &self.core.settings
    }

    /// Each target's load now.
    pub fn loads(&self) -> Vec<TargetLoad> {
        self.targets.values().map(|state| state.load()).collect()
    }

    /// Bytes of results that the ledger hasn't taken yet.
    pub fn result_bytes(&self) -> usize {
        self.core.results.bytes()
    }

    /// When `Wake` is due at the latest.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.core.timers.next()
    }

    /// Takes in one event. Timers due are taken in first, whatever the event.
    pub fn handle(&mut self, now: Now, event: GateEvent, effects: &mut Vec<GateEffect>) {
        let now = now.mono;
        if !self.has_window {
            self.has_window = true;
            self.core.timers.set(now + self.core.settings.learning_window, TimerKind::Window);
        }
        while let Some(timer) = self.core.timers.take_due(now) {
            self.ring(now, timer, effects);
        }
        self.take(now, event, effects);
        self.report(now, effects);
        self.report_holdings(now, effects);
        self.finish_drain(now, effects);
    }

    fn take(&mut self, now: MonoTime, event: GateEvent, effects: &mut Vec<GateEffect>) {
        match event {
            GateEvent::GatewayUp { gateway } => self.gateway_up(now, gateway, effects),
            GateEvent::GatewayDown { gateway } => self.gateway_down(now, &gateway, effects),
            GateEvent::Message { gateway, message } => {
                self.take_message(now, &gateway, message, effects);
            }
            GateEvent::RunStarted { run } => self.run_started(run, effects),
            GateEvent::RunFirstToken { run } => self.run_first_token(now, run),
            GateEvent::RunEnded { run, end, total, output } => {
                let produced = RunOutput { total, text: output };
                self.with_run(now, run, effects, |core, state, effects| {
                    core.end_run(now, state, run, end, produced, effects);
                });
            }
            GateEvent::Timings { target, sample } => {
                if let Some(state) = self.targets.get_mut(&target) {
                    state.limits.note_gaps(sample);
                }
            }
            GateEvent::TargetUp { target, instance } => {
                self.with_target(now, &target, effects, |core, state, effects| {
                    core.target_up(now, state, instance, effects);
                });
            }
            GateEvent::TargetDown { target, cause } => {
                self.with_target(now, &target, effects, |core, state, effects| {
                    core.target_down(now, state, cause, effects);
                });
            }
            GateEvent::TargetPolicy { target, policy } => {
                self.set_policy(now, target, policy, effects);
            }
            GateEvent::TargetGone { target } => self.retire_target(now, &target, effects),
            GateEvent::Weights(weights) => {
                self.core.weights = weights;
                self.pump_all(now, effects);
            }
            GateEvent::WarmPrefixes(prefixes) => self.reporter.set_warm(prefixes),
            GateEvent::Holdings(holdings) => self.reporter.set_holdings(holdings),
            GateEvent::TargetAnswers(answers) => self.reporter.set_answers(answers),
            GateEvent::OrderEnded { epoch, order, outcome } => {
                self.order_ended(now, epoch, order, outcome, effects);
            }
            GateEvent::Leave => self.leave(now, effects),
            GateEvent::Stay => self.stay(now, effects),
            GateEvent::Wake => {}
        }
    }

    fn take_message(
        &mut self,
        now: MonoTime,
        gateway: &VmName,
        message: SidecarMessage,
        effects: &mut Vec<GateEffect>,
    ) {
        match message {
            SidecarMessage::Offer(offer) => self.offer(now, gateway, offer, effects),
            SidecarMessage::Resume { attempt, offset } => {
                self.resume(gateway, attempt, offset, effects);
            }
            SidecarMessage::Cancel { attempt } => self.cancel(now, gateway, attempt, effects),
            SidecarMessage::Seal { attempt } => self.seal(now, gateway, attempt, effects),
            SidecarMessage::Lot(grant) => self.lot(now, grant, effects),
            SidecarMessage::NoWork { target, retry_after_ms } => {
                self.no_work(now, gateway, &target, retry_after_ms);
            }
            SidecarMessage::CancelJob { job, epoch } => self.cancel_job(now, job, epoch, effects),
            SidecarMessage::ItemsSettled(keys) => self.items_settled(now, &keys, effects),
            SidecarMessage::Entries(_) => {}
            SidecarMessage::Quarantined(fingerprints) => {
                self.quarantine(now, fingerprints, effects);
            }
            SidecarMessage::Suspected(fingerprints) => {
                for fingerprint in fingerprints {
                    self.core.suspects.suspect(now, fingerprint);
                }
            }
            SidecarMessage::Order(order) => self.order(now, gateway, order, effects),
            SidecarMessage::PlacementEpoch(epoch) => self.fence.learn(epoch),
            SidecarMessage::Drain => self.leave(now, effects),
            // The process knows of entries and of its own end; it feeds `GateEvent::Stay`.
            SidecarMessage::Stay => {}
        }
    }

    fn ring(&mut self, now: MonoTime, timer: TimerKind, effects: &mut Vec<GateEffect>) {
        match timer {
            TimerKind::WaitOver(run) => self.wait_over(now, run, effects),
            TimerKind::RunOver(run) => {
                self.with_run(now, run, effects, |core, state, effects| {
                    core.stop(now, state, run, StopCause::DeadlinePassed, effects);
                });
            }
            TimerKind::StopGrace(run) => {
                self.with_run(now, run, effects, |core, state, _| core.release_stopped(state, run));
            }
            TimerKind::Orphan(run) => self.orphan_over(now, run, effects),
            TimerKind::Forget(run) => self.core.forget(now, run, effects),
            TimerKind::PullTimeout(target, number) => {
                self.pull_over(now, &target, number, effects);
            }
            TimerKind::PullResume(target) => {
                self.with_target(now, &target, effects, |_, state, _| {
                    if state.pull == PullPhase::Paused {
                        state.pull = PullPhase::Ready;
                    }
                });
            }
            TimerKind::Isolation(target) => self.with_target(now, &target, effects, |_, _, _| {}),
            TimerKind::Reprobe(target) => effects.push(GateEffect::Probe { target }),
            TimerKind::Window => self.close_windows(now, effects),
            TimerKind::Load => {}
            TimerKind::Resend => self.core.resend(now, effects),
            TimerKind::OrderOver(epoch, order) => self.order_over(now, epoch, order, effects),
            TimerKind::DrainBound => self.drain_over(now, effects),
        }
    }

    /// Acts on one target, then starts and stops what that calls for.
    fn with_target(
        &mut self,
        now: MonoTime,
        target: &TargetName,
        effects: &mut Vec<GateEffect>,
        act: impl FnOnce(&mut GateCore, &mut TargetState, &mut Vec<GateEffect>),
    ) {
        if let Some(state) = self.targets.get_mut(target) {
            act(&mut self.core, state, effects);
            self.core.pump(now, state, effects);
        }
    }

    /// Acts on the target of a run; nothing happens when the run is unknown.
    fn with_run(
        &mut self,
        now: MonoTime,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
        act: impl FnOnce(&mut GateCore, &mut TargetState, &mut Vec<GateEffect>),
    ) {
        match self.core.runs.get(&run).map(|record| record.target.clone()) {
            Some(target) => self.with_target(now, &target, effects, act),
            None => GateCore::count("unknown_runs", effects),
        }
    }

    /// What waits here with one of the fingerprints gets its final answer, and never starts.
    fn quarantine(
        &mut self,
        now: MonoTime,
        fingerprints: Vec<Fingerprint>,
        effects: &mut Vec<GateEffect>,
    ) {
        for fingerprint in fingerprints {
            self.core.suspects.quarantine(fingerprint);
        }
        for state in self.targets.values_mut() {
            self.core.refuse_quarantined(now, state, effects);
            self.core.pump(now, state, effects);
        }
    }

    fn pump_all(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        for state in self.targets.values_mut() {
            self.core.pump(now, state, effects);
        }
    }

    fn set_policy(
        &mut self,
        now: MonoTime,
        target: TargetName,
        policy: TargetPolicy,
        effects: &mut Vec<GateEffect>,
    ) {
        match self.targets.get_mut(&target) {
            Some(state) if state.health != TargetHealth::Gone => {
                state.limits.bound(&policy);
                state.policy = policy;
            }
            _ => {
                let state = TargetState::new(target.clone(), policy);
                self.targets.insert(target.clone(), state);
                effects.push(GateEffect::Probe { target: target.clone() });
            }
        }
        self.with_target(now, &target, effects, |_, _, _| {});
    }

    /// The catalogue no longer has the target: nothing new, what runs may end.
    fn retire_target(&mut self, now: MonoTime, target: &TargetName, effects: &mut Vec<GateEffect>) {
        self.with_target(now, target, effects, |core, state, effects| {
            state.health = TargetHealth::Gone;
            core.turn_away(now, state, RefusalReason::UnknownTarget, effects);
        });
    }

    fn close_windows(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        for state in self.targets.values_mut() {
            let demand = state.online_demand();
            let (running, batch) = (state.taken(), state.batch.len() as u32);
            state.limits.close_window(&state.policy, &self.core.weights, running, batch);
            state.reserve.close_window(demand);
            self.core.trim_batch(now, state, effects);
            self.core.pump(now, state, effects);
        }
        self.core.timers.set(now + self.core.settings.learning_window, TimerKind::Window);
    }

    fn gateway_up(&mut self, now: MonoTime, gateway: VmName, effects: &mut Vec<GateEffect>) {
        // A link that is replaced may have lost what was on it.
        self.core.results.unsend(&gateway);
        self.drop_pulls(now, &gateway);
        self.core.gateways.add(gateway.clone());
        let welcome = self.welcome(now);
        GateCore::send(&gateway, GatewayMessage::Welcome(welcome), effects);
        if self.core.leaving {
            GateCore::send(&gateway, GatewayMessage::Leaving, effects);
        }
        self.reporter.forget_holdings();
        self.core.resend(now, effects);
        self.pump_all(now, effects);
    }

    fn gateway_down(&mut self, now: MonoTime, gateway: &VmName, effects: &mut Vec<GateEffect>) {
        self.core.gateways.remove(gateway);
        self.core.results.unsend(gateway);
        self.drop_pulls(now, gateway);
        self.orphan_runs(now, gateway);
        self.core.resend(now, effects);
    }

    /// A pull over a lost link gets no answer: pull elsewhere after the shortest pause.
    fn drop_pulls(&mut self, now: MonoTime, gateway: &VmName) {
        for state in self.targets.values_mut() {
            let is_lost =
                matches!(&state.pull, PullPhase::Asked { gateway: asked, .. } if asked == gateway);
            if is_lost {
                self.core.pause_pull(now, state, Duration::ZERO);
            }
        }
    }
}
