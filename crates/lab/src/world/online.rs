//! Online requests: how a target is chosen, asked for and failed.

use std::{sync::LazyLock, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::RngExt;

use crate::{
    policy::PlacePolicy,
    target::RunNumber,
    world::{LabEvent, LabRequest, LabRun, LabWorld, RunOutcome, RunWork, SERVICE},
};

/// Asks for a place for one choice, at most.
const PLACE_ASKS: u32 = 8;
/// The same before an own item yields its place.
const FREE_ASKS: u32 = 2;
/// Longest wait for a home's answer.
const ANSWER_WAIT: Duration = Duration::from_millis(30);
/// A home without a place isn't asked again for so long.
const FULL_PAUSE: Duration = Duration::from_millis(50);
/// The same for one that doesn't answer.
const SILENT_PAUSE: Duration = Duration::from_millis(500);
/// Attempts at targets, at most.
const ATTEMPTS: usize = 3;

fn online_query(request: &LabRequest, queue: QueueLimit) -> TargetQuery<'_> {
    static NO_PROMPT: LazyLock<PromptHeads> = LazyLock::new(PromptHeads::default);
    let (work, avoid) = (WorkKind::Online, request.avoid.as_slice());
    TargetQuery { service: SERVICE, work, avoid, queue, prompt: &NO_PROMPT }
}

impl LabWorld {
    pub(super) fn arrive(&mut self) {
        if !self.has_arrivals() {
            return;
        }
        let rate = self.pattern.online_rate(Duration::from_micros(self.now().0));
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate.max(f64::MIN_POSITIVE);
        self.schedule.add(Duration::from_secs_f64(gap.min(1.0)), LabEvent::Arrive);
        let gateway = self.random.random_range(0..self.gateways.len());
        let request = self.requests.len();
        let arrived = self.now();
        self.requests.push(LabRequest { gateway, arrived, ..LabRequest::default() });
        self.outcome.online += 1;
        self.schedule.add(Duration::ZERO, LabEvent::Attempt { request });
    }

    pub(super) fn attempt(&mut self, request: usize) {
        if self.policy == PlacePolicy::AllKnowing {
            return self.attempt_knowing(request);
        }
        if self.policy == PlacePolicy::Homes && self.attempt_place(request) {
            return;
        }
        match self.pick_offered(request).or_else(|| self.pick(request)) {
            Some(pick) => self.send(request, pick),
            None => self.outcome.refused += 1,
        }
    }

    fn pick_offered(&self, request: usize) -> Option<TargetChoice> {
        let asking = &self.requests[request];
        let query = online_query(asking, QueueLimit::Within(self.pattern.objective));
        let table = &self.gateways[asking.gateway].table;
        table.pick_offered(&query, asking.offer.as_ref()?, self.now())
    }

    /// Sends a request to a place that is free, or asks for one; false when there is none to be had.
    fn attempt_place(&mut self, request: usize) -> bool {
        let now = self.now();
        let asking = &self.requests[request];
        let query = online_query(asking, QueueLimit::Any);
        let random = &mut self.random;
        let gateway = asking.gateway;
        let table = &mut self.gateways[gateway].table;
        let mut home =
            |may_displace| table.home_to_ask(&query, may_displace, now, || random.random());
        let free_home = if asking.asks < FREE_ASKS { home(false) } else { None };
        let yielding_home = if asking.asks < PLACE_ASKS { home(true) } else { None };
        if let Some(own) = table.pick_own(&query, now, || self.random.random()) {
            self.send(request, own);
        } else if let Some(home) = free_home {
            self.ask(request, &home, false);
        } else if let Some((own, yields)) = table.pick_yielding(&query, now) {
            self.revoke(gateway, &own.id, &yields);
            let own = TargetChoice { place_free: true, ..own };
            self.send(request, own);
        } else if let Some(home) = yielding_home {
            self.ask(request, &home, true);
        } else {
            return false;
        }
        true
    }

    fn pick(&mut self, request: usize) -> Option<TargetChoice> {
        let (now, queue) = (self.now(), QueueLimit::Within(self.pattern.objective));
        let asking = &self.requests[request];
        let query = online_query(asking, queue);
        let random = &mut self.random;
        self.gateways[asking.gateway].table.pick(&query, now, || random.random())
    }

    fn ask(&mut self, request: usize, home: &VmName, may_displace: bool) {
        let home = self.gateways.iter().position(|gateway| gateway.vm == *home);
        let home = home.unwrap_or_default();
        self.outcome.asks += 1;
        let asking = &mut self.requests[request];
        asking.asks += 1;
        asking.asking = asking.asks;
        let number = asking.asks;
        self.schedule
            .add(self.pattern.delay, LabEvent::Ask { request, number, home, may_displace });
        self.schedule.add(ANSWER_WAIT, LabEvent::AskTimeout { request, number, home });
    }

    pub(super) fn take_ask(
        &mut self,
        request: usize,
        number: u32,
        home: usize,
        may_displace: bool,
    ) {
        let now = self.now();
        let asking = &self.requests[request];
        let peer = self.gateways[asking.gateway].vm.clone();
        let query = online_query(asking, QueueLimit::Any);
        let grant = self.gateways[home].table.grant(&peer, &query, may_displace, now);
        if let Some(PlaceGrant { id, yields: Some(yields) }) = &grant {
            self.revoke(home, id, yields);
        }
        let target = grant.map(|grant| grant.id);
        let table = &self.gateways[home].table;
        let offer = match &target {
            Some(_) => None,
            None => {
                table.shortest_queue(&online_query(&self.requests[request], QueueLimit::Any), now)
            }
        };
        let answer = LabEvent::Answer { request, number, home, target, offer };
        self.schedule.add(self.pattern.delay, answer);
    }

    pub(super) fn take_answer(
        &mut self,
        request: usize,
        number: u32,
        home: usize,
        target: Option<String>,
        offer: Option<QueueOffer>,
    ) {
        let from = self.requests[request].gateway;
        if self.requests[request].asking != number {
            if let Some(target) = target {
                let (work, change) = (WorkKind::Online, UseChange::End);
                let told = LabEvent::PeerUse { home, from, target, work, change };
                self.schedule.add(self.pattern.delay, told);
            }
            return;
        }
        let asking = &mut self.requests[request];
        asking.asking = 0;
        let known = asking.offer.iter().chain(&offer).min_by_key(|offer| offer.waiting);
        asking.offer = known.cloned();
        let Some(target) = target else { return self.note_denied(request, home, FULL_PAUSE) };
        let query = online_query(&self.requests[request], QueueLimit::Any);
        let granted = self.gateways[from].table.take_granted(&query, &target);
        match granted {
            Some(choice) => self.send_taken(request, &choice),
            None => self.note_denied(request, home, FULL_PAUSE),
        }
    }

    pub(super) fn time_out(&mut self, request: usize, number: u32, home: usize) {
        if self.requests[request].asking == number {
            self.requests[request].asking = 0;
            self.note_denied(request, home, SILENT_PAUSE);
        }
    }

    fn note_denied(&mut self, request: usize, home: usize, pause: Duration) {
        let until = self.now() + pause;
        let vm = self.gateways[home].vm.clone();
        self.gateways[self.requests[request].gateway].table.note_denied(&vm, until);
        self.attempt(request);
    }

    fn send(&mut self, request: usize, pick: TargetChoice) {
        let asking = &self.requests[request];
        let (gateway, query) = (asking.gateway, online_query(asking, QueueLimit::Any));
        let Some(choice) = self.gateways[gateway].table.take(&query, pick) else { return };
        if !choice.place_free {
            self.yield_place(gateway, &choice.id);
        }
        self.send_taken(request, &choice);
    }

    fn send_taken(&mut self, request: usize, choice: &TargetChoice) {
        let chosen = self.target_ids.iter().position(|id| *id == choice.id).unwrap_or_default();
        let is_free = |target: &crate::target::TargetModel| target.free() > 0;
        let missed = !is_free(&self.targets[chosen]) && self.targets.iter().any(is_free);
        self.requests[request].missed_place |= missed;
        let gateway = self.requests[request].gateway;
        let events = self.pattern.online_events;
        self.start(gateway, choice, RunWork::Online { request }, events);
    }

    /// Sees every target as it is: a free place if there is one, else an item's, else the shortest queue.
    fn attempt_knowing(&mut self, request: usize) {
        let alive = (0..self.targets.len()).filter(|n| !self.targets[*n].is_lost());
        let best = alive.min_by_key(|n| {
            let target = &self.targets[*n];
            let waiting = target.waiting() + self.coming[*n];
            let is_full = self.open_places(*n) == 0;
            (is_full, self.item_at(*n).is_none(), waiting, target.running().len())
        });
        let Some(best) = best else {
            self.outcome.refused += 1;
            return;
        };
        if self.open_places(best) == 0
            && let Some(item) = self.item_at(best)
        {
            self.break_off(item);
        }
        let gateway = self.requests[request].gateway;
        let query = online_query(&self.requests[request], QueueLimit::Any);
        let choice = self.gateways[gateway].table.take_granted(&query, &self.target_ids[best]);
        match choice {
            Some(choice) => self.send_taken(request, &choice),
            None => self.outcome.refused += 1,
        }
    }

    pub(super) fn note_first_event(&mut self, number: RunNumber) {
        let Some(LabRun { work: RunWork::Online { request }, gateway, .. }) =
            self.runs.get(&number)
        else {
            return;
        };
        let request = &self.requests[*request];
        let passed = self.now().max(self.gateways[*gateway].frozen_until) + self.pattern.delay;
        let counter = match () {
            () if passed.since(request.arrived) <= self.pattern.objective => {
                &mut self.outcome.in_time
            }
            () if request.has_failed => &mut self.outcome.late_target_failed,
            () if request.missed_place => &mut self.outcome.late_place_free,
            () => &mut self.outcome.late_all_taken,
        };
        *counter += 1;
    }

    pub(super) fn end_online(&mut self, request: usize, run: &LabRun, outcome: RunOutcome) {
        if outcome == RunOutcome::Whole {
            let took = self.now().since(run.began);
            let first = self.targets[run.target].first_event();
            let table = &mut self.gateways[run.gateway].table;
            return table.note_online_run(SERVICE, took, Some(first));
        }
        // A stream that had begun goes on elsewhere; the laboratory counts first events only.
        if run.has_event {
            return;
        }
        let failed = &mut self.requests[request];
        failed.has_failed = true;
        failed.avoid.push(self.target_ids[run.target].clone());
        if failed.avoid.len() >= ATTEMPTS {
            self.outcome.refused += 1;
        } else {
            self.attempt(request);
        }
    }
}
