//! Online requests: target selection, slot requests to home gateways and retries after failures.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    policy::SelectionPolicy,
    simulation::{RunOutcome, RunWork, SERVICE, SimEvent, SimRequest, SimRun, Simulation},
    target::{RunNumber, TargetModel},
};

/// Longest wait for a home gateway's response.
const SLOT_TIMEOUT: Duration = Duration::from_millis(30);
/// Most attempts per online request.
const MAX_ATTEMPTS: usize = 3;

fn online_query(request: &SimRequest, queue: QueueLimit) -> TargetQuery<'_> {
    static NO_PROMPT: LazyLock<PromptPrefixes> = LazyLock::new(PromptPrefixes::default);
    let (work, avoid) = (WorkKind::Online, request.avoid.as_slice());
    TargetQuery { service: SERVICE, work, avoid, queue, version: None, prompt: &NO_PROMPT }
}

impl Simulation {
    pub(super) fn handle_arrival(&mut self) {
        if !self.has_arrivals() {
            return;
        }
        let rate = self.pattern.online_rate(Duration::from_micros(self.now().0));
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate.max(f64::MIN_POSITIVE);
        self.schedule.add(Duration::from_secs_f64(gap.min(1.0)), SimEvent::OnlineArrival);
        let gateway = self.random.random_range(0..self.gateways.len());
        let request = self.requests.len();
        let arrived = self.now();
        let share = self.pattern.repeatable_share;
        let may_repeat = share >= 1.0 || self.random.random::<f64>() < share;
        let may_probe = may_repeat && self.policy.learns_performance();
        let search = SlotSearch::probing(may_probe);
        let account = self.draw_light_account();
        let new =
            SimRequest { gateway, arrived, search, may_repeat, account, ..SimRequest::default() };
        self.requests.push(new);
        self.outcome.online += 1;
        self.note_light_arrival();
        self.schedule.add(Duration::ZERO, SimEvent::Attempt { request });
    }

    pub(super) fn attempt(&mut self, request: usize) {
        if !self.admit_by_share(request) {
            return self.refuse(request);
        }
        if self.policy == SelectionPolicy::Oracle {
            return self.attempt_as_oracle(request);
        }
        if self.policy.has_homes() {
            return self.search_slot(request);
        }
        let (now, queue) = (self.now(), self.queue_limit(request));
        let state = &self.requests[request];
        let query = online_query(state, queue);
        let random = &mut self.random;
        let table = &mut self.gateways[state.gateway].table;
        match table.choose(&query, now, || random.random()) {
            Some(choice) => {
                if !choice.has_free_slot {
                    self.preempt_own_item(state.gateway, &choice.id);
                }
                self.send_to_target(request, &choice);
            }
            None => self.refuse(request),
        }
    }

    /// Takes the next step of the production slot search.
    fn search_slot(&mut self, request: usize) {
        let (now, queue) = (self.now(), self.queue_limit(request));
        let gateway = self.requests[request].gateway;
        let mut search = std::mem::take(&mut self.requests[request].search);
        let query = online_query(&self.requests[request], queue);
        let random = &mut self.random;
        let table = &mut self.gateways[gateway].table;
        let step = search.next_step(table, &query, now, || random.random());
        self.requests[request].search = search;
        match step {
            Some(SearchStep::Take(choice, preempted)) => {
                if let Some(preempted) = preempted {
                    self.revoke_slot(gateway, &choice.id, &preempted);
                }
                self.send_to_target(request, &choice);
            }
            Some(SearchStep::Ask { home, may_displace }) => self.ask(request, &home, may_displace),
            None => self.refuse(request),
        }
    }

    fn ask(&mut self, request: usize, home: &VmName, may_displace: bool) {
        let home = self.gateways.iter().position(|gateway| gateway.vm == *home);
        let home = home.unwrap_or_default();
        self.outcome.asks += 1;
        let state = &mut self.requests[request];
        state.slot_requests += 1;
        state.pending_request = state.slot_requests;
        let number = state.slot_requests;
        self.schedule
            .add(self.pattern.delay, SimEvent::SlotRequest { request, number, home, may_displace });
        self.schedule.add(SLOT_TIMEOUT, SimEvent::SlotTimeout { request, number, home });
    }

    pub(super) fn handle_slot_request(
        &mut self,
        request: usize,
        number: u32,
        home: usize,
        may_displace: bool,
    ) {
        let now = self.now();
        let state = &self.requests[request];
        let peer = self.gateways[state.gateway].vm.clone();
        let query = online_query(state, QueueLimit::Any);
        let grant = self.gateways[home].table.grant(&peer, &query, may_displace, now);
        if let Some(SlotGrant { id, preempted: Some(preempted) }) = &grant {
            self.revoke_slot(home, id, preempted);
        }
        let target = grant.map(|grant| grant.id);
        let table = &self.gateways[home].table;
        let offer = match &target {
            Some(_) => None,
            None => {
                table.shortest_queue(&online_query(&self.requests[request], QueueLimit::Any), now)
            }
        };
        let answer = SimEvent::SlotResponse { request, number, home, target, offer };
        self.schedule.add(self.pattern.delay, answer);
    }

    pub(super) fn handle_slot_response(
        &mut self,
        request: usize,
        number: u32,
        home: usize,
        target: Option<String>,
        offer: Option<QueueOffer>,
    ) {
        let from = self.requests[request].gateway;
        if self.requests[request].pending_request != number {
            if let Some(target) = target {
                let (work, change) = (WorkKind::Online, UseChange::End);
                let is_failure = None;
                let message = SimEvent::PeerUse { home, from, target, work, change, is_failure };
                self.schedule.add(self.pattern.delay, message);
            }
            return;
        }
        self.requests[request].pending_request = 0;
        let Some(target) = target else { return self.note_denied(request, home, offer) };
        let query = online_query(&self.requests[request], QueueLimit::Any);
        let granted = self.gateways[from].table.take_granted(&query, &target);
        match granted {
            Some(choice) => self.send_to_target(request, &choice),
            None => self.note_denied(request, home, None),
        }
    }

    pub(super) fn timeout(&mut self, request: usize, number: u32, home: usize) {
        if self.requests[request].pending_request != number {
            return;
        }
        let (now, vm) = (self.now(), self.gateways[home].vm.clone());
        let state = &mut self.requests[request];
        state.pending_request = 0;
        state.search.note_silent(&mut self.gateways[state.gateway].table, &vm, now);
        self.attempt(request);
    }

    fn note_denied(&mut self, request: usize, home: usize, offer: Option<QueueOffer>) {
        let (now, vm) = (self.now(), self.gateways[home].vm.clone());
        let state = &mut self.requests[request];
        state.search.note_denied(&mut self.gateways[state.gateway].table, &vm, offer, now);
        self.attempt(request);
    }

    fn send_to_target(&mut self, request: usize, choice: &TargetChoice) {
        let chosen = self.target_ids.iter().position(|id| *id == choice.id).unwrap_or_default();
        let is_free = |target: &TargetModel| target.free() > 0;
        let missed = !is_free(&self.targets[chosen]) && self.targets.iter().any(is_free);
        self.requests[request].missed_free_slot |= missed;
        let gateway = self.requests[request].gateway;
        let events = self.pattern.online_events;
        self.start(gateway, choice, RunWork::Online { request }, events);
    }

    /// Selects with full knowledge of all targets: a free slot if there is one, else an item's slot, else the
    /// shortest queue.
    fn attempt_as_oracle(&mut self, request: usize) {
        let is_sound = |target: &TargetModel| !target.is_failed() && target.failing_share() == 0.0;
        let alive = (0..self.targets.len()).filter(|n| is_sound(&self.targets[*n]));
        let best = alive.min_by_key(|n| {
            let target = &self.targets[*n];
            let waiting = target.waiting() + self.in_transit[*n];
            let is_full = self.free_slots(*n) == 0;
            // Targets of equal speed are ordered by their running requests alone.
            let load = target.slowdown() * (1.0 + target.running().len() as f64);
            let load = if self.pattern.slow_spells.is_some() {
                load
            } else {
                target.running().len() as f64
            };
            (is_full, self.item_at(*n).is_none(), waiting, (load * 1_000.0) as u64)
        });
        let Some(best) = best else {
            self.refuse(request);
            return;
        };
        if self.free_slots(best) == 0
            && let Some(item) = self.item_at(best)
        {
            self.preempt(item);
        }
        let gateway = self.requests[request].gateway;
        let query = online_query(&self.requests[request], QueueLimit::Any);
        let choice = self.gateways[gateway].table.take_granted(&query, &self.target_ids[best]);
        match choice {
            Some(choice) => self.send_to_target(request, &choice),
            None => self.refuse(request),
        }
    }

    /// Whether another attempt is allowed if the current one fails and may have run.
    pub(super) fn has_attempts(&self, work: RunWork) -> bool {
        let RunWork::Online { request } = work else { return false };
        let request = &self.requests[request];
        request.may_repeat && request.avoid.len() + 1 < MAX_ATTEMPTS
    }

    /// Ends an attempt whose first event did not arrive in time. Its target discards the request.
    pub(super) fn time_out_run(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).filter(|run| !run.has_first_event) else { return };
        self.release_slot(run.target, number);
        self.finish_run(number, RunOutcome::Failed(AttemptFailure::SilentBeforeAnswer));
    }

    pub(super) fn record_first_event(&mut self, number: RunNumber) {
        let Some(SimRun { work: RunWork::Online { request }, gateway, .. }) =
            self.runs.get(&number)
        else {
            return;
        };
        if self.requests[*request].is_retry {
            return;
        }
        let request = *request;
        let passed = self.now().max(self.gateways[*gateway].frozen_until) + self.pattern.delay;
        if passed.since(self.requests[request].arrived) <= self.pattern.objective {
            self.note_in_time(request);
        }
        let request = &self.requests[request];
        let counter = match () {
            () if passed.since(request.arrived) <= self.pattern.objective => {
                &mut self.outcome.in_time
            }
            () if request.has_failed => &mut self.outcome.late_target_failed,
            () if request.missed_free_slot => &mut self.outcome.late_place_free,
            () => &mut self.outcome.late_all_taken,
        };
        *counter += 1;
    }

    pub(super) fn finish_online(&mut self, request: usize, run: &SimRun, outcome: RunOutcome) {
        if outcome == RunOutcome::Completed {
            self.end_share(request);
            let took = self.now().since(run.began);
            let first = self.targets[run.target].first_event();
            let table = &mut self.gateways[run.gateway].table;
            return table.note_online_run(SERVICE, took, Some(first));
        }
        // A stream that had started is resumed elsewhere, which isn't simulated: only first events count.
        if run.has_first_event {
            self.end_share(request);
            return;
        }
        let failed = &mut self.requests[request];
        let has_run = match outcome {
            RunOutcome::Failed(failure) => failure.verdict() == RunVerdict::Unknown,
            RunOutcome::ErrorStatus => true,
            RunOutcome::Completed | RunOutcome::Preempted => false,
        };
        if has_run && !failed.may_repeat {
            self.end_share(request);
            self.outcome.lost += 1;
            return;
        }
        if self.policy.learns_performance() {
            failed.search = SlotSearch::default();
        }
        failed.has_failed = true;
        failed.avoid.push(self.target_ids[run.target].clone());
        if failed.avoid.len() >= MAX_ATTEMPTS {
            self.refuse(request);
        } else {
            self.attempt(request);
        }
    }
}
