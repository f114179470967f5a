//! Sidecars, targets, accounts, and requests that crash targets.

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{FIRST_SERVICE_TIME, OnlineRouter, RouterTurn, TargetState};
use crate::{
    effect::RouterEffect,
    event::RouterEvent,
    policy::TargetPolicy,
    request_state::{RequestPhase, RequestState},
    retry_budget::RetryBudget,
    suspect_runs::{RunPlace, SuspectRun},
};

impl OnlineRouter {
    pub(super) fn run_fleet_event(&mut self, turn: &mut RouterTurn<'_>, event: RouterEvent) {
        match event {
            RouterEvent::SidecarSeen { vm, domain, incarnation, load } => {
                self.on_sidecar_seen(turn, &vm, &domain, incarnation, &load);
            }
            RouterEvent::SidecarLoad { vm, report } => self.on_sidecar_load(turn, &vm, &report),
            RouterEvent::SidecarSilent { vm } => {
                turn.count(Counter::Event("sidecars_silent"));
                self.sidecars.set_silent(&vm, true);
            }
            RouterEvent::SidecarBack { vm } => self.sidecars.set_silent(&vm, false),
            RouterEvent::SidecarDraining { vm } => self.on_sidecar_draining(turn, &vm),
            RouterEvent::SidecarLeaving { vm } => self.on_sidecar_leaving(turn, &vm),
            RouterEvent::SidecarStaying { vm } => {
                self.sidecars.set_leaving(&vm, false);
            }
            RouterEvent::SidecarGone { vm } => {
                let lost = self.sidecars.gone(&vm);
                self.lose_all(turn, lost);
            }
            RouterEvent::TargetsChanged(policies) => self.on_targets_changed(turn, policies),
            RouterEvent::AccountsChanged(limits) => self.accounts.replace(limits),
            RouterEvent::AccountRumor { gateway, usage } => {
                self.accounts.heard(turn.now, gateway, usage);
            }
            RouterEvent::GatewayCount(count) => self.accounts.set_gateways(count),
            RouterEvent::GatewayGone { gateway } => self.accounts.forget_gateway(&gateway),
            RouterEvent::QuarantineSeen(fingerprints) => {
                for fingerprint in fingerprints {
                    self.suspects.quarantine(turn.now, fingerprint);
                    self.refuse_quarantined(turn, fingerprint);
                }
            }
            RouterEvent::Suspects { vm, target, fingerprints, alone } => {
                for fingerprint in fingerprints {
                    if self.has_request(fingerprint) {
                        self.tell_suspect(turn, fingerprint, &vm, alone);
                    }
                    self.accuse(turn, fingerprint, &vm, &target, alone);
                    self.refuse_quarantined(turn, fingerprint);
                }
            }
            RouterEvent::SuspectSeen { fingerprint, vm, alone } => {
                let detail = format!("{fingerprint} in flight, {}", company_of(alone));
                let subject = NoteSubject::Vm(vm.clone());
                turn.note(DecisionNote::new(subject, "suspect_heard", detail).with_vm(&vm));
                self.suspects.crashed(turn.now, fingerprint, &vm, alone);
                self.refuse_quarantined(turn, fingerprint);
            }
            RouterEvent::SuspicionTold { fingerprint } => self.release_ends(turn, fingerprint),
            RouterEvent::SuspectRunSeen { fingerprint, attempt, left } => match left {
                Some(left) => {
                    let run = SuspectRun { fingerprint, place: None };
                    self.suspect_runs.began(run, attempt, turn.now + left);
                }
                None => {
                    self.suspect_runs.over(attempt);
                }
            },
            // The others are handled before.
            _ => {}
        }
    }

    fn on_sidecar_seen(
        &mut self,
        turn: &mut RouterTurn<'_>,
        vm: &VmName,
        domain: &DomainName,
        incarnation: Incarnation,
        load: &LoadReport,
    ) {
        let near = domain.as_str() == self.settings.domain;
        let lost = self.sidecars.seen(turn.now, vm, near, incarnation, load);
        // Their process is gone: they run no more.
        for attempt in &lost {
            self.suspect_over(turn, *attempt);
        }
        self.lose_all(turn, lost);
    }

    fn on_sidecar_load(&mut self, turn: &mut RouterTurn<'_>, vm: &VmName, report: &LoadReport) {
        if !self.sidecars.report(turn.now, vm, report) {
            turn.count(Counter::Dropped(DropReason::StaleIncarnation));
        }
    }

    fn on_sidecar_leaving(&mut self, turn: &mut RouterTurn<'_>, vm: &VmName) {
        if self.sidecars.set_leaving(vm, true) {
            note_leaving(turn, vm, "as the VM list or an entry says");
        }
    }

    pub(super) fn on_sidecar_draining(&mut self, turn: &mut RouterTurn<'_>, vm: &VmName) {
        if self.sidecars.set_draining(vm) {
            note_leaving(turn, vm, "as its sidecar says");
        }
    }

    fn lose_all(&mut self, turn: &mut RouterTurn<'_>, attempts: Vec<AttemptId>) {
        for attempt in attempts {
            self.on_lost(turn, attempt);
        }
    }

    fn on_targets_changed(&mut self, turn: &RouterTurn<'_>, policies: Vec<TargetPolicy>) {
        let mut before = std::mem::take(&mut self.targets);
        for policy in policies {
            let state = match before.remove(&policy.target) {
                Some(state) => TargetState { policy, ..state },
                None => TargetState {
                    budget: RetryBudget::new(turn.now, &self.settings.retry),
                    service_time: FIRST_SERVICE_TIME,
                    policy,
                },
            };
            self.targets.insert(state.policy.target.clone(), state);
        }
    }

    /// The target of `vm` crashed with the fingerprint in flight.
    pub(super) fn accuse(
        &mut self,
        turn: &mut RouterTurn<'_>,
        fingerprint: Fingerprint,
        vm: &VmName,
        target: &TargetName,
        alone: bool,
    ) {
        if self.suspects.is_quarantined(turn.now, fingerprint) {
            return;
        }
        let company = company_of(alone);
        let crash = format!("target {target} crashed with {fingerprint} in flight, {company}");
        turn.note(DecisionNote::new(NoteSubject::Vm(vm.clone()), "crashed", crash).with_vm(vm));
        turn.emit(RouterEffect::Suspected { fingerprint, vm: vm.clone(), alone });
        if !self.suspects.crashed(turn.now, fingerprint, vm, alone) {
            return;
        }
        turn.count(Counter::Event("fingerprints_quarantined"));
        let detail = format!("{fingerprint} crashed it on distinct VMs, last on {vm}");
        let subject = NoteSubject::Target(target.clone());
        turn.note(DecisionNote::new(subject, "quarantined", detail).with_vm(vm));
        turn.emit(RouterEffect::Quarantine { fingerprint, target: target.clone() });
    }

    /// The attempt was dispatched alone: it is out until its sidecar says otherwise. Should that
    /// never come, it is held for a while past the deadline that its sidecar ends it at; one that
    /// its sidecar doesn't end, for as long as a suspect is remembered.
    pub(super) fn suspect_begins(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        attempt: AttemptId,
    ) {
        let Some(record) = state.record(attempt) else { return };
        let fingerprint = state.lead.fingerprint;
        let place = RunPlace { vm: record.vm.clone(), target: state.lead.target.clone() };
        let until = match state.idempotent {
            true => state.deadline + self.settings.claim.linger,
            false => turn.now + self.settings.quarantine.suspect_age,
        };
        let run = SuspectRun { fingerprint, place: Some(place) };
        self.suspect_runs.began(run, attempt, until);
        let left = Some(until.since(turn.now));
        turn.emit(RouterEffect::SuspectRun { fingerprint, attempt, left });
    }

    /// The attempt surely runs no more, or never ran. Giving it up proves neither.
    /// Returns what was held of it.
    pub(super) fn suspect_over(
        &mut self,
        turn: &mut RouterTurn<'_>,
        attempt: AttemptId,
    ) -> Option<SuspectRun> {
        let run = self.suspect_runs.over(attempt)?;
        let fingerprint = run.fingerprint;
        turn.emit(RouterEffect::SuspectRun { fingerprint, attempt, left: None });
        Some(run)
    }

    /// An attempt of a suspect ended with its target's crash. Counts whether or not anybody still
    /// waits for it: where the sidecar took the cut for a hang-up, nobody else tells of the crash.
    pub(super) fn suspect_crashed(&mut self, turn: &mut RouterTurn<'_>, run: &SuspectRun) {
        if let Some(place) = &run.place {
            self.tell_suspect(turn, run.fingerprint, &place.vm, true);
            self.accuse(turn, run.fingerprint, &place.vm, &place.target, true);
            self.refuse_quarantined(turn, run.fingerprint);
        }
    }

    /// An attempt ended with its target's crash: the other gateways are told before its callers.
    pub(super) fn tell_crash(
        &mut self,
        turn: &mut RouterTurn<'_>,
        state: &RequestState,
        attempt: AttemptId,
    ) {
        if let Some(record) = state.record(attempt) {
            self.tell_suspect(turn, state.lead.fingerprint, &record.vm, record.alone);
        }
    }

    fn tell_suspect(
        &mut self,
        turn: &mut RouterTurn<'_>,
        fingerprint: Fingerprint,
        vm: &VmName,
        alone: bool,
    ) {
        let until = turn.now + self.settings.quarantine.tell_wait;
        if self.held_ends.begin(fingerprint, vm, alone, until) {
            turn.emit(RouterEffect::TellSuspect { fingerprint, vm: vm.clone(), alone });
        }
    }

    /// Whether a caller here waits for a request that runs it. This looks at every request; crashes are rare.
    fn has_request(&self, fingerprint: Fingerprint) -> bool {
        self.requests.values().any(|state| state.lead.fingerprint == fingerprint)
    }

    /// Requests that wait for their next step with a quarantined fingerprint end at once. This
    /// looks at every request, in order of their ids; quarantines are rare.
    fn refuse_quarantined(&mut self, turn: &mut RouterTurn<'_>, fingerprint: Fingerprint) {
        if !self.suspects.is_quarantined(turn.now, fingerprint) {
            return;
        }
        let mut waiting: Vec<RequestId> = self
            .requests
            .values()
            .filter(|state| state.lead.fingerprint == fingerprint && is_waiting(state))
            .map(|state| state.id())
            .collect();
        waiting.sort_unstable();
        for request in waiting {
            self.step(turn, request, |router, turn, state| {
                let detail = "this request crashes targets";
                router.refuse_for(turn, state, RefusalReason::Quarantined, detail);
            });
        }
    }
}

/// Whether a suspect was the only one in flight, for notes.
fn company_of(alone: bool) -> &'static str {
    if alone { "alone" } else { "beside others" }
}

fn note_leaving(turn: &mut RouterTurn<'_>, vm: &VmName, by: &str) {
    turn.count(Counter::Event("sidecars_leaving"));
    let detail = format!("no new work goes there, {by}");
    turn.note(DecisionNote::new(NoteSubject::Vm(vm.clone()), "leaving", detail).with_vm(vm));
}

fn is_waiting(state: &RequestState) -> bool {
    match state.phase {
        RequestPhase::Fetching | RequestPhase::Claiming { .. } | RequestPhase::Backoff => true,
        RequestPhase::Held { .. }
        | RequestPhase::Running { .. }
        | RequestPhase::Settled { .. }
        | RequestPhase::Done => false,
    }
}
