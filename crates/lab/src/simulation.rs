//! Simulation of one load pattern: gateways, targets and the messages between them.

mod fairness;
mod faults;
mod items;
mod offers;
mod online;

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    gateway::{GatewayModel, WaitingItem},
    outcome::SimOutcome,
    pattern::LoadPattern,
    policy::SelectionPolicy,
    schedule::EventSchedule,
    target::{Admission, RunNumber, TargetModel},
};

/// How often gateways report their use of targets to each other.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// How often gateways announce ejections of targets.
const EJECTION_TICK: Duration = Duration::from_millis(100);
/// How often gateways try to start waiting items.
const ITEM_START_INTERVAL: Duration = Duration::from_millis(40);
/// Time after which the links of a silent gateway are closed and its targets get new home gateways.
const LINK_SILENCE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time from a target's failure to the removal of its entry.
const ENTRY_EXPIRY: Duration = Duration::from_secs(1);
/// Time that the simulation goes on after arrivals stop, so that the remaining items reach their deadlines.
const DRAIN_TIME: Duration = Duration::from_secs(20);
/// Time in which a waiting item is reported and offered a slot: one report and one pass.
const OFFER_TIME: Duration = Duration::from_millis(150);
/// How often free slots are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// The only service in the simulation.
const SERVICE: &str = "model";

/// The work that a run does.
#[derive(Debug, Clone, Copy)]
enum RunWork {
    Online { request: usize },
    Item { due: MonoTime },
}

/// One execution of an online request or an item at a target.
#[derive(Debug, Clone)]
struct SimRun {
    work: RunWork,
    gateway: usize,
    target: usize,
    /// The target's home gateway, if it is another gateway that has to be told of the run.
    home: Option<usize>,
    events_left: u32,
    /// Whether it generates the whole answer of an item.
    is_whole: bool,
    began: MonoTime,
    has_first_event: bool,
    /// Preemption has been requested.
    is_preempted: bool,
    /// Its target had a free slot when it was chosen, as far as its gateway knew.
    had_free_slot: bool,
    /// It is a probe of an ejected target.
    is_probe: bool,
    /// Measures its pace from its first event on, with the time of its last event.
    pace: Option<(PaceMeter, MonoTime)>,
}

/// State of an online request at its gateway.
#[derive(Debug, Default)]
struct SimRequest {
    gateway: usize,
    arrived: MonoTime,
    avoid: Vec<String>,
    search: SlotSearch,
    /// Slot requests sent so far.
    slot_requests: u32,
    /// Number of the slot request that awaits a response; 0 for none.
    pending_request: u32,
    /// It was sent to a full target while another target had a free slot.
    missed_free_slot: bool,
    has_failed: bool,
    may_repeat: bool,
    /// Number of the account that sent it.
    account: usize,
    /// Its client was refused before.
    is_retry: bool,
    /// It counts as use of its account.
    is_counted: bool,
}

#[derive(Debug)]
enum SimEvent {
    OnlineArrival,
    FloodArrival,
    SampleAccounts,
    JobArrival,
    Attempt {
        request: usize,
    },
    SlotRequest {
        request: usize,
        number: u32,
        home: usize,
        may_displace: bool,
    },
    SlotResponse {
        request: usize,
        number: u32,
        home: usize,
        target: Option<String>,
        offer: Option<QueueOffer>,
    },
    SlotTimeout {
        request: usize,
        number: u32,
        home: usize,
    },
    TargetReached {
        run: RunNumber,
    },
    AnswerEvent {
        run: RunNumber,
    },
    FirstByteTimeout {
        run: RunNumber,
    },
    FailRun {
        run: RunNumber,
    },
    Preempt {
        run: RunNumber,
    },
    RunEnded {
        run: RunNumber,
        outcome: RunOutcome,
    },
    SendReport {
        gateway: usize,
    },
    ReceiveReport {
        to: usize,
        from: usize,
        uses: Vec<(String, TargetUse)>,
        waiting: Vec<WaitingReport>,
        paces: Vec<(String, Duration)>,
        shares: Vec<ShareUse>,
    },
    ReceiveOffer {
        to: usize,
        home: usize,
        targets: Vec<String>,
    },
    SampleSlots,
    PeerUse {
        home: usize,
        from: usize,
        target: String,
        work: WorkKind,
        change: UseChange,
        is_failure: Option<bool>,
    },
    ReceiveEjection {
        to: usize,
        from: usize,
        target: String,
        is_ejected: bool,
        failure_permille: u16,
    },
    AnnounceEjections {
        gateway: usize,
    },
    ChangeSpells,
    SetFault {
        share: f64,
    },
    RevokeSlot {
        gateway: usize,
        target: String,
    },
    StartItems {
        gateway: usize,
    },
    ReturnItem {
        gateway: usize,
        item: WaitingItem,
    },
    FailTargets {
        count: usize,
    },
    RemoveEntry {
        target: usize,
    },
    FreezeGateways {
        count: usize,
        span: Duration,
    },
    AssignHomes,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunOutcome {
    Completed,
    Failed(AttemptFailure),
    /// The target answered with an error status.
    ErrorStatus,
    Preempted,
}

/// State of one simulation run.
#[derive(Debug)]
pub struct Simulation {
    pattern: LoadPattern,
    policy: SelectionPolicy,
    random: SmallRng,
    schedule: EventSchedule<SimEvent>,
    gateways: Vec<GatewayModel>,
    targets: Vec<TargetModel>,
    /// Requests in transit to each target.
    in_transit: Vec<usize>,
    target_ids: Vec<String>,
    runs: FastMap<RunNumber, SimRun>,
    next_run: RunNumber,
    requests: Vec<SimRequest>,
    /// Failures of each target of the fault, with the time of the second one.
    fault_failures: Vec<(u32, MonoTime)>,
    outcome: SimOutcome,
}

impl Simulation {
    /// Simulates a pattern to its end.
    pub fn run(pattern: &LoadPattern, policy: SelectionPolicy, seed: u64) -> SimOutcome {
        let mut simulation = Self::new(pattern, policy, seed);
        simulation.schedule_initial_events();
        while let Some(event) = simulation.schedule.next_event() {
            simulation.handle(event);
        }
        simulation.outcome
    }

    fn new(pattern: &LoadPattern, policy: SelectionPolicy, seed: u64) -> Self {
        let domain = |number: usize| format!("fd-{}", number % pattern.domains);
        let gateways: Vec<GatewayModel> =
            (0..pattern.gateways).map(|n| GatewayModel::new(n, &domain(n))).collect();
        let slowdown = |n: usize| pattern.slowdowns[n % pattern.slowdowns.len()];
        let model = |n: usize| TargetModel::new(pattern.slots, pattern.queue, slowdown(n));
        let mut simulation = Self {
            policy,
            random: SmallRng::seed_from_u64(seed),
            schedule: EventSchedule::default(),
            gateways,
            targets: (0..pattern.targets).map(model).collect(),
            in_transit: vec![0; pattern.targets],
            target_ids: (0..pattern.targets).map(|n| format!("t-{n:04}")).collect(),
            runs: FastMap::default(),
            next_run: 1,
            requests: Vec::new(),
            fault_failures: vec![(0, MonoTime::default()); pattern.targets],
            outcome: SimOutcome::default(),
            pattern: pattern.clone(),
        };
        for gateway in 0..simulation.gateways.len() {
            simulation.gateways[gateway].table.set_offers_items(policy.offers_items());
            for target in 0..simulation.targets.len() {
                let entry = simulation.entry(target, &domain(target));
                simulation.gateways[gateway].table.put(entry, MonoTime::default());
            }
            if policy.learns_performance() {
                simulation.gateways[gateway].table.learn_performance();
            }
        }
        simulation
    }

    fn entry(&self, target: usize, domain: &str) -> TargetEntry {
        let id = self.target_ids[target].clone();
        TargetEntry {
            name: id.clone(),
            id,
            born: 0,
            software_version: "v1".to_owned(),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain.to_owned(),
            slots: self.pattern.slots,
            state: TargetState::Ready,
            cold_left: Duration::ZERO,
        }
    }

    fn schedule_initial_events(&mut self) {
        self.assign_homes();
        self.schedule.add(Duration::ZERO, SimEvent::OnlineArrival);
        self.schedule.add(Duration::ZERO, SimEvent::JobArrival);
        self.schedule.add(SAMPLE_INTERVAL, SimEvent::SampleSlots);
        for gateway in 0..self.gateways.len() {
            let offset = REPORT_INTERVAL.mul_f64(self.random.random());
            self.schedule.add(offset, SimEvent::SendReport { gateway });
            self.schedule.add(offset, SimEvent::StartItems { gateway });
        }
        self.schedule_faults();
        self.schedule_flood();
        for loss in self.pattern.losses.clone() {
            self.schedule.add(loss.at, SimEvent::FailTargets { count: loss.count });
        }
        for freeze in self.pattern.freezes.clone() {
            let (count, span) = (freeze.count, freeze.span);
            self.schedule.add(freeze.at, SimEvent::FreezeGateways { count, span });
            self.schedule.add(freeze.at + LINK_SILENCE_TIMEOUT, SimEvent::AssignHomes);
            self.schedule.add(freeze.at + span + REPORT_INTERVAL, SimEvent::AssignHomes);
        }
    }

    fn now(&self) -> MonoTime {
        self.schedule.now()
    }

    fn is_over(&self) -> bool {
        self.now() >= MonoTime::default() + self.pattern.span + DRAIN_TIME
    }

    fn has_arrivals(&self) -> bool {
        self.now() < MonoTime::default() + self.pattern.span
    }

    fn handle(&mut self, event: SimEvent) {
        if let Some(gateway) = self.gateway_of(&event) {
            let until = self.gateways[gateway].frozen_until;
            if self.now() < until {
                return self.schedule.add(until.since(self.now()), event);
            }
        }
        match event {
            SimEvent::OnlineArrival => self.handle_arrival(),
            SimEvent::FloodArrival => self.handle_flood_arrival(),
            SimEvent::SampleAccounts => self.sample_accounts(),
            SimEvent::JobArrival => self.handle_job_arrival(),
            SimEvent::Attempt { request } => self.attempt(request),
            SimEvent::SlotRequest { request, number, home, may_displace } => {
                self.handle_slot_request(request, number, home, may_displace);
            }
            SimEvent::SlotResponse { request, number, home, target, offer } => {
                self.handle_slot_response(request, number, home, target, offer);
            }
            SimEvent::SlotTimeout { request, number, home } => self.timeout(request, number, home),
            SimEvent::TargetReached { run } => self.admit_run(run),
            SimEvent::AnswerEvent { run } => self.handle_answer_event(run),
            SimEvent::FirstByteTimeout { run } => self.time_out_run(run),
            SimEvent::Preempt { run } => self.handle_preempt(run),
            SimEvent::RunEnded { run, outcome } => self.finish_run(run, outcome),
            SimEvent::SendReport { gateway } => self.send_report(gateway),
            SimEvent::ReceiveReport { to, from, uses, waiting, paces, shares } => {
                let (now, peer) = (self.now(), self.gateways[from].vm.clone());
                let table = &mut self.gateways[to].table;
                table.take_report(&peer, uses.into_iter().collect(), now);
                table.expire_reports(now);
                for (id, gap) in paces {
                    table.note_reported_pace(&id, gap, now);
                }
                if self.policy == SelectionPolicy::FairShares {
                    let table = &mut self.gateways[to].shares;
                    table.note_report(&peer, shares, now);
                    table.expire(now);
                }
                if self.policy.offers_items() {
                    let draw = self.random.random();
                    self.gateways[to].slots.take_report(&peer, waiting, draw, now);
                }
            }
            SimEvent::ReceiveOffer { to, home, targets } => self.receive_offer(to, home, targets),
            SimEvent::SampleSlots => self.sample_slots(),
            SimEvent::PeerUse { home, from, target, work, change, is_failure } => {
                let (now, peer) = (self.now(), self.gateways[from].vm.clone());
                let table = &mut self.gateways[home].table;
                table.note_peer_use(&peer, &target, work, change, now);
                if let Some(is_failure) = is_failure {
                    table.note_peer_outcome(&target, is_failure, now);
                }
            }
            SimEvent::FailRun { run } => self.fail_run(run),
            SimEvent::AnnounceEjections { gateway } => self.announce_ejections(gateway),
            SimEvent::ReceiveEjection { to, from, target, is_ejected, failure_permille } => {
                let (now, peer) = (self.now(), self.gateways[from].vm.clone());
                self.gateways[to].table.apply_ejection(
                    &peer,
                    &target,
                    is_ejected,
                    failure_permille,
                    now,
                );
            }
            SimEvent::ChangeSpells => self.change_spells(),
            SimEvent::SetFault { share } => self.set_fault(share),
            SimEvent::RevokeSlot { gateway, target } => self.preempt_own_item(gateway, &target),
            SimEvent::StartItems { gateway } => self.start_items(gateway),
            SimEvent::ReturnItem { gateway, mut item } => {
                item.since = self.now();
                self.gateways[gateway].put_item(item);
            }
            SimEvent::FailTargets { count } => self.fail_targets(count),
            SimEvent::RemoveEntry { target } => {
                let now = self.now();
                for gateway in &mut self.gateways {
                    gateway.table.remove(&self.target_ids[target], now);
                }
            }
            SimEvent::FreezeGateways { count, span } => {
                let until = self.now() + span;
                for gateway in self.gateways.iter_mut().take(count) {
                    gateway.frozen_until = until;
                }
            }
            SimEvent::AssignHomes => self.assign_homes(),
        }
    }

    /// Counts free slots while an item waits.
    fn sample_slots(&mut self) {
        if !self.has_arrivals() {
            return;
        }
        let old = self.now() - OFFER_TIME;
        let waits = |gateway: &GatewayModel| gateway.items.iter().any(|item| item.since < old);
        if self.gateways.iter().any(waits) {
            self.outcome.sampled_slots += self.targets.len() as u64 * u64::from(self.pattern.slots);
            let free = (0..self.targets.len()).map(|target| self.free_slots(target) as u64);
            self.outcome.sampled_free += free.sum::<u64>();
        }
        self.schedule.add(SAMPLE_INTERVAL, SimEvent::SampleSlots);
    }

    /// The gateway that handles an event, which waits while that gateway is frozen.
    fn gateway_of(&self, event: &SimEvent) -> Option<usize> {
        match event {
            SimEvent::Attempt { request }
            | SimEvent::SlotResponse { request, .. }
            | SimEvent::SlotTimeout { request, .. } => Some(self.requests[*request].gateway),
            SimEvent::SlotRequest { home, .. } | SimEvent::PeerUse { home, .. } => Some(*home),
            SimEvent::RunEnded { run, .. } | SimEvent::FirstByteTimeout { run } => {
                self.runs.get(run).map(|run| run.gateway)
            }
            SimEvent::SendReport { gateway }
            | SimEvent::StartItems { gateway }
            | SimEvent::AnnounceEjections { gateway }
            | SimEvent::RevokeSlot { gateway, .. } => Some(*gateway),
            SimEvent::ReceiveReport { to, .. }
            | SimEvent::ReceiveOffer { to, .. }
            | SimEvent::ReceiveEjection { to, .. } => Some(*to),
            _ => None,
        }
    }

    fn assign_homes(&mut self) {
        let now = self.now();
        let alive = self.gateways.iter().filter(|gateway| now >= gateway.frozen_until);
        let alive: Vec<(String, String)> =
            alive.map(|g| (g.vm.as_str().to_owned(), g.domain.clone())).collect();
        for gateway in &mut self.gateways {
            let own = gateway.vm.as_str().to_owned();
            gateway.table.assign_homes(&own, &alive);
        }
    }

    fn send_report(&mut self, from: usize) {
        if self.is_over() {
            return;
        }
        let uses = self.gateways[from].table.own_uses();
        let uses: Vec<(String, TargetUse)> = uses.map(|(id, used)| (id.to_owned(), used)).collect();
        let waiting = self.gateways[from].slots.own_waiting();
        let (now, state) = (self.now(), &mut self.gateways[from]);
        state.slots.note_online(SERVICE, state.table.online_load(SERVICE), now);
        let paces = state.table.take_paces(now);
        let shares = state.shares.own_shares(now);
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            let (uses, waiting, paces) = (uses.clone(), waiting.clone(), paces.clone());
            let shares = shares.clone();
            let message = SimEvent::ReceiveReport { to, from, uses, waiting, paces, shares };
            self.schedule.add(self.pattern.delay, message);
        }
        self.schedule.add(REPORT_INTERVAL, SimEvent::SendReport { gateway: from });
    }

    fn fail_targets(&mut self, count: usize) {
        for target in 0..count.min(self.targets.len()) {
            for run in self.targets[target].fail() {
                let outcome = RunOutcome::Failed(AttemptFailure::ClosedBeforeAnswer);
                self.schedule.add(self.pattern.delay, SimEvent::RunEnded { run, outcome });
            }
            self.schedule.add(ENTRY_EXPIRY, SimEvent::RemoveEntry { target });
        }
    }

    /// Sends a request to the selected target.
    fn start(&mut self, gateway: usize, choice: &TargetChoice, work: RunWork, events: u32) {
        let target = self.target_ids.iter().position(|id| *id == choice.id).unwrap_or_default();
        let home = choice.home.as_ref().filter(|_| self.policy.has_homes());
        let home = home.and_then(|vm| self.gateways.iter().position(|g| g.vm == *vm));
        let (began, has_first_event, is_preempted) = (self.now(), false, false);
        let events_left = events;
        let is_whole = events == self.pattern.item_events;
        let run = SimRun {
            work,
            gateway,
            target,
            home,
            events_left,
            is_whole,
            began,
            has_first_event,
            is_preempted,
            had_free_slot: choice.has_free_slot,
            is_probe: choice.is_probe,
            pace: None,
        };
        self.note_fault_traffic(&run);
        if !choice.is_granted {
            self.notify_home(&run, UseChange::Begin, None);
        }
        let number = self.next_run;
        self.next_run += 1;
        self.in_transit[target] += 1;
        self.runs.insert(number, run);
        self.schedule.add(self.pattern.delay, SimEvent::TargetReached { run: number });
        if self.pattern.has_first_byte_timeout && self.has_attempts(work) {
            let wait = first_byte_timeout(self.pattern.objective, choice.has_free_slot);
            self.schedule.add(wait, SimEvent::FirstByteTimeout { run: number });
        }
    }

    fn notify_home(&mut self, run: &SimRun, change: UseChange, is_failure: Option<bool>) {
        let Some(home) = run.home else { return };
        let (from, target) = (run.gateway, self.target_ids[run.target].clone());
        let work = run.work.kind();
        let message = SimEvent::PeerUse { home, from, target, work, change, is_failure };
        self.schedule.add(self.pattern.delay, message);
    }

    /// Free slots of a target, less the requests in transit to it.
    fn free_slots(&self, target: usize) -> usize {
        self.targets[target].free().saturating_sub(self.in_transit[target])
    }

    fn admit_run(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number) else { return };
        self.in_transit[run.target] -= 1;
        match self.targets[run.target].admit(number) {
            Admission::Runs => self.begin_run(number),
            Admission::Waits => {}
            Admission::Refused => {
                let failure = match self.targets[run.target].is_failed() {
                    true => AttemptFailure::ConnectFailed,
                    false => AttemptFailure::RefusedNotRun,
                };
                let outcome = RunOutcome::Failed(failure);
                self.schedule.add(self.pattern.delay, SimEvent::RunEnded { run: number, outcome });
            }
        }
    }

    fn begin_run(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number) else { return };
        let target = &self.targets[run.target];
        let (wait, share) = (target.first_event(), target.failing_share());
        let is_failing = share > 0.0 && self.random.random::<f64>() < share;
        let event = match is_failing {
            true => SimEvent::FailRun { run: number },
            false => SimEvent::AnswerEvent { run: number },
        };
        self.schedule.add(wait, event);
    }

    /// A target generates the next event of a run.
    fn handle_answer_event(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        let target = run.target;
        if !self.targets[target].running().contains(&number) {
            return;
        }
        run.events_left -= 1;
        let (is_first, left) = (!run.has_first_event, run.events_left);
        run.has_first_event = true;
        self.note_pace(number);
        if is_first {
            self.record_first_event(number);
        }
        if left > 0 {
            let gap = self.targets[target].event_gap();
            return self.schedule.add(gap, SimEvent::AnswerEvent { run: number });
        }
        self.release_slot(target, number);
        let outcome = RunOutcome::Completed;
        self.schedule.add(self.pattern.delay, SimEvent::RunEnded { run: number, outcome });
    }

    fn release_slot(&mut self, target: usize, number: RunNumber) {
        if let Some(next) = self.targets[target].release(number) {
            self.begin_run(next);
        }
    }

    /// The preemption of a run reaches its target.
    fn handle_preempt(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).filter(|run| run.events_left > 0) else { return };
        let target = run.target;
        self.release_slot(target, number);
        let outcome = RunOutcome::Preempted;
        self.schedule.add(Duration::ZERO, SimEvent::RunEnded { run: number, outcome });
    }

    fn finish_run(&mut self, number: RunNumber, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(&number) else { return };
        let now = self.now();
        let id = &self.target_ids[run.target];
        let result = match outcome {
            RunOutcome::Completed => Some(Ok(())),
            RunOutcome::Failed(failure) => Some(Err(failure)),
            // A gateway relays it as the answer where it must not try again.
            RunOutcome::ErrorStatus => Some(Ok(())),
            RunOutcome::Preempted => None,
        };
        let table = &mut self.gateways[run.gateway].table;
        let stage = table.attempt_stage(id, run.had_free_slot, run.has_first_event);
        let attempt = outcome.attempt_result();
        let report = AttemptReport {
            fingerprint: number,
            outcome: attempt.and_then(|attempt| TargetOutcome::of_attempt(attempt, stage)),
            is_probe: run.is_probe,
        };
        table.finish(id, run.work.kind(), result, now);
        let is_failure = table.note_outcome(id, report, now);
        self.notify_home(&run, UseChange::End, is_failure);
        match run.work {
            RunWork::Online { request } => self.finish_online(request, &run, outcome),
            RunWork::Item { due } => {
                if outcome == RunOutcome::Completed && run.is_whole {
                    let took = now.since(run.began);
                    self.gateways[run.gateway].run_time.note(took, self.pattern.item_events);
                }
                let item = WaitingItem { events_left: run.events_left, due, since: now };
                self.finish_item(run.gateway, item, outcome);
            }
        }
    }
}

impl SimRun {
    /// Whether this is an item that may still be preempted.
    fn is_preemptible(&self) -> bool {
        !self.is_preempted && self.work.kind() == WorkKind::Batch
    }
}

impl RunOutcome {
    fn attempt_result(self) -> Option<AttemptResult> {
        match self {
            Self::Completed => Some(AttemptResult::Status(200)),
            Self::Failed(failure) => Some(AttemptResult::Broken(failure)),
            Self::ErrorStatus => Some(AttemptResult::Status(500)),
            Self::Preempted => None,
        }
    }
}

impl RunWork {
    fn kind(self) -> WorkKind {
        match self {
            Self::Online { .. } => WorkKind::Online,
            Self::Item { .. } => WorkKind::Batch,
        }
    }
}
