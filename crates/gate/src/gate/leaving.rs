//! Leaving: no new work at once, online ends, batch goes back, then done.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::AdmissionGate;
use crate::{
    core::GateCore, effect::GateEffect, run_record::StopCause, target_state::IsolationPhase,
    timer_set::TimerKind,
};

impl AdmissionGate {
    /// Whether the sidecar is leaving.
    pub fn is_leaving(&self) -> bool {
        self.core.leaving
    }

    pub(super) fn leave(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        if std::mem::replace(&mut self.core.leaving, true) {
            // Told again, perhaps by another: that one must hear of the end too.
            if self.is_drained {
                effects.push(GateEffect::Drained);
            }
            return;
        }
        let until = now + self.core.settings.drain_bound;
        self.drain_until = Some(until);
        self.core.timers.set(until, TimerKind::DrainBound);
        GateCore::count("drains_begun", effects);
        let subject = NoteSubject::Vm(self.core.settings.vm.clone());
        let note = DecisionNote::new(subject, "leaving", "no new work".to_owned());
        effects.push(GateEffect::Note(note));
        for gateway in self.core.gateways.all() {
            GateCore::send(gateway, GatewayMessage::Leaving, effects);
        }
        for state in self.targets.values_mut() {
            self.core.turn_away(now, state, RefusalReason::Leaving, effects);
            let batch: Vec<AttemptId> = state.batch.iter().copied().collect();
            for run in batch {
                if self.core.is_preemptible(run) {
                    self.core.stop(now, state, run, StopCause::Leaving, effects);
                }
            }
            state.isolation = IsolationPhase::Idle;
        }
    }

    /// Takes work again. Gateways learn it from the next load report.
    pub(super) fn stay(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        if std::mem::replace(&mut self.core.leaving, false) {
            self.drain_until = None;
            self.is_drained = false;
            GateCore::count("drains_called_off", effects);
            self.pump_all(now, effects);
        }
    }

    /// The bound is over: what still runs is stopped.
    pub(super) fn drain_over(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        if self.drain_until.is_none_or(|until| now < until) {
            return;
        }
        for state in self.targets.values_mut() {
            let runs: Vec<AttemptId> = state.online.iter().chain(&state.batch).copied().collect();
            for run in runs {
                self.core.stop(now, state, run, StopCause::Leaving, effects);
            }
        }
    }

    /// Tells once that nothing runs and nothing is owed, or that the bound is over.
    pub(super) fn finish_drain(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        let Some(until) = self.drain_until else { return };
        if self.is_drained {
            return;
        }
        let grace = self.core.settings.stop_grace;
        let is_idle =
            self.targets.values().all(|state| state.taken() == 0 && state.doubtful.is_empty());
        let owes_nothing = self.core.results.len() == 0 && self.core.returns.is_empty();
        if (is_idle && owes_nothing) || now >= until + grace {
            self.is_drained = true;
            GateCore::count("drains_ended", effects);
            effects.push(GateEffect::Drained);
        } else if now >= until {
            self.core.timers.set(until + grace, TimerKind::DrainBound);
        }
    }
}
