//! Load reports to gateways: on change, but not too often.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::AdmissionGate;
use crate::{
    core::GateCore, effect::GateEffect, event::EngineHoldings, target_state::TargetHealth,
    timer_set::TimerKind,
};

/// Most prompt heads told in one report.
const WARM_PREFIXES: usize = 16;

/// What was reported last, and when.
#[derive(Debug, Default)]
pub(super) struct LoadReporter {
    sequence: u64,
    warm: Vec<u64>,
    last: Option<(MonoTime, LoadReport)>,
    /// The time for which a timer was set.
    timer: Option<MonoTime>,
    /// Whether the process beside the sidecar answers.
    answers: bool,
    held: EngineHoldings,
    held_sequence: u64,
    /// Rises whenever `held` changes.
    held_changes: u64,
    last_held: Option<(MonoTime, HoldingsMark)>,
}

/// What tells a report of holdings from the one before, without making either.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HoldingsMark {
    up: bool,
    leaving: bool,
    epoch: Option<Epoch>,
    ended_order: u64,
    busy: bool,
    held_changes: u64,
}

impl LoadReporter {
    pub(super) fn set_warm(&mut self, mut prefixes: Vec<u64>) {
        prefixes.truncate(WARM_PREFIXES);
        self.warm = prefixes;
    }

    pub(super) fn set_holdings(&mut self, holdings: EngineHoldings) {
        self.held_changes += u64::from(self.held != holdings);
        self.held = holdings;
    }

    pub(super) fn set_answers(&mut self, answers: bool) {
        self.answers = answers;
    }

    /// A gateway came: it has no report yet.
    pub(super) fn forget_holdings(&mut self) {
        self.last_held = None;
    }
}

impl AdmissionGate {
    pub(super) fn welcome(&mut self, now: MonoTime) -> SidecarWelcome {
        let load = self.load_report();
        self.reporter.last = Some((now, load.clone()));
        SidecarWelcome {
            vm: self.core.settings.vm.clone(),
            domain: self.core.settings.domain.clone(),
            incarnation: self.core.settings.incarnation,
            load,
        }
    }

    /// Reports the load when it changed and the last report is old enough, or is very old.
    pub(super) fn report(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        let settings = &self.core.settings;
        let due = match &self.reporter.last {
            None => now,
            Some((at, last)) if self.is_changed(last) => *at + self.report_interval(),
            Some((at, _)) => *at + settings.load_refresh,
        };
        if now < due {
            if self.reporter.timer.is_none_or(|timer| timer > due || timer <= now) {
                self.reporter.timer = Some(due);
                self.core.timers.set(due, TimerKind::Load);
            }
            return;
        }
        let report = self.load_report();
        for gateway in self.core.gateways.all() {
            GateCore::send(gateway, GatewayMessage::Load(report.clone()), effects);
        }
        self.reporter.last = Some((now, report));
    }

    /// With many gateways each hears less often, so that a sidecar's bytes don't grow with the
    /// number of its links.
    fn report_interval(&self) -> Duration {
        let settings = &self.core.settings;
        let links = self.core.gateways.all().count() as f64;
        let shared = Duration::from_secs_f64(links / settings.load_reports_per_s.max(0.1));
        shared.clamp(settings.load_interval, settings.load_refresh)
    }

    fn load_report(&mut self) -> LoadReport {
        self.reporter.sequence += 1;
        LoadReport {
            incarnation: self.core.settings.incarnation,
            sequence: self.reporter.sequence,
            targets: self.targets.values().map(|state| state.load()).collect(),
            warm_prefixes: self.reporter.warm.clone(),
            leaving: self.core.leaving,
        }
    }

    /// Reports what the target holds, on change and now and then.
    pub(super) fn report_holdings(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        let mark = self.holdings_mark();
        let refresh = self.core.settings.load_refresh;
        let is_told =
            |(at, last): (MonoTime, HoldingsMark)| last == mark && now.since(at) < refresh;
        if self.reporter.last_held.is_some_and(is_told) {
            return;
        }
        self.reporter.held_sequence += 1;
        let holdings = self.holdings(mark);
        for gateway in self.core.gateways.all() {
            GateCore::send(gateway, GatewayMessage::Holdings(holdings.clone()), effects);
        }
        self.reporter.last_held = Some((now, mark));
    }

    fn holdings_mark(&self) -> HoldingsMark {
        HoldingsMark {
            up: self.is_answering(),
            leaving: self.core.leaving,
            epoch: self.fence.newest(),
            ended_order: self.fence.ended_order(),
            busy: self.fence.is_busy(),
            held_changes: self.reporter.held_changes,
        }
    }

    /// Whether the target answers. An engine that holds nothing serves no target whose state would
    /// tell it; reported as down, it would never be ordered to load anything.
    fn is_answering(&self) -> bool {
        let mut served = self.targets.values().filter(|state| state.health != TargetHealth::Gone);
        match served.next() {
            None => self.reporter.answers,
            Some(first) => first.is_up() || served.any(|state| state.is_up()),
        }
    }

    fn holdings(&self, mark: HoldingsMark) -> TargetHoldings {
        TargetHoldings {
            vm: self.core.settings.vm.clone(),
            domain: self.core.settings.domain.clone(),
            incarnation: self.core.settings.incarnation,
            sequence: self.reporter.held_sequence,
            up: mark.up,
            leaving: mark.leaving,
            slots: self.reporter.held.slots,
            role: self.reporter.held.role.clone(),
            models: self.reporter.held.models.clone(),
            epoch: mark.epoch,
            ended_order: mark.ended_order,
            busy: mark.busy,
        }
    }

    /// Whether something changed that a gateway's choice depends on.
    fn is_changed(&self, last: &LoadReport) -> bool {
        let targets = self.targets.values().map(|state| state.load());
        let is_same = targets.len() == last.targets.len()
            && targets.zip(&last.targets).all(|(now, then)| {
                TargetLoad { first_token_us: 0, ..now }
                    == TargetLoad { first_token_us: 0, ..then.clone() }
            });
        !is_same || last.leaving != self.core.leaving || last.warm_prefixes != self.reporter.warm
    }
}
