//! One play of a pattern: gateways, targets and what travels between them.

mod items;
mod online;

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    gateway::{GatewayModel, WaitingItem},
    outcome::PlayOutcome,
    pattern::LoadPattern,
    policy::SelectionPolicy,
    schedule::EventSchedule,
    target::{Admission, RunNumber, TargetModel},
};

/// How often gateways tell their use of targets.
const REPORT_EVERY: Duration = Duration::from_millis(100);
/// How often gateways look for places for items.
const ITEMS_EVERY: Duration = Duration::from_millis(40);
/// From a gateway's silence to the end of its links.
const SILENCE: Duration = Duration::from_secs(2);
/// From a target's loss to the end of its entry.
const ENTRY_LAPSE: Duration = Duration::from_secs(1);
/// After the last arrival, for items to become due.
const TAIL: Duration = Duration::from_secs(20);
/// Slowness of targets, by their number in turn.
const SLOWNESS: [f64; 3] = [1.0, 1.0, 1.3];
/// The only service.
const SERVICE: &str = "model";

/// What a run is for.
#[derive(Debug, Clone, Copy)]
enum RunWork {
    Online { request: usize },
    Item { due: MonoTime },
}

/// A request that was sent to a target.
#[derive(Debug, Clone)]
struct LabRun {
    work: RunWork,
    gateway: usize,
    target: usize,
    /// Who counts the place there, where it's another gateway.
    home: Option<usize>,
    events_left: u32,
    began: MonoTime,
    has_event: bool,
    /// It is being broken off.
    is_cut: bool,
}

/// An online request at its gateway.
#[derive(Debug, Default)]
struct LabRequest {
    gateway: usize,
    arrived: MonoTime,
    avoid: Vec<String>,
    search: PlaceSearch,
    /// Questions asked so far.
    asked: u32,
    /// Number of the question that it waits for; 0 for none.
    asking: u32,
    /// A place was free elsewhere when it was sent to a target without one.
    missed_place: bool,
    has_failed: bool,
}

#[derive(Debug)]
enum LabEvent {
    Arrive,
    JobArrives,
    Attempt {
        request: usize,
    },
    Ask {
        request: usize,
        number: u32,
        home: usize,
        may_displace: bool,
    },
    Answer {
        request: usize,
        number: u32,
        home: usize,
        target: Option<String>,
        offer: Option<QueueOffer>,
    },
    AskTimeout {
        request: usize,
        number: u32,
        home: usize,
    },
    Reach {
        run: RunNumber,
    },
    Event {
        run: RunNumber,
    },
    Cut {
        run: RunNumber,
    },
    Ended {
        run: RunNumber,
        outcome: RunOutcome,
    },
    Report {
        gateway: usize,
    },
    TakeReport {
        to: usize,
        from: usize,
        uses: Vec<(String, TargetUse)>,
    },
    PeerUse {
        home: usize,
        from: usize,
        target: String,
        work: WorkKind,
        change: UseChange,
    },
    Revoke {
        gateway: usize,
        target: String,
    },
    RunItems {
        gateway: usize,
    },
    LoseTargets {
        count: usize,
    },
    EntryGone {
        target: usize,
    },
    Freeze {
        count: usize,
        span: Duration,
    },
    ShareOut,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunOutcome {
    Whole,
    Failed(AttemptFailure),
    Cut,
}

/// One play.
#[derive(Debug)]
pub struct LabWorld {
    pattern: LoadPattern,
    policy: SelectionPolicy,
    random: SmallRng,
    schedule: EventSchedule<LabEvent>,
    gateways: Vec<GatewayModel>,
    targets: Vec<TargetModel>,
    /// Requests on their way to each target.
    coming: Vec<usize>,
    target_ids: Vec<String>,
    runs: FastMap<RunNumber, LabRun>,
    next_run: RunNumber,
    requests: Vec<LabRequest>,
    outcome: PlayOutcome,
}

impl LabWorld {
    /// Plays a pattern to its end.
    pub fn play(pattern: &LoadPattern, policy: SelectionPolicy, seed: u64) -> PlayOutcome {
        let mut world = Self::new(pattern, policy, seed);
        world.begin();
        while let Some(event) = world.schedule.next_event() {
            world.take(event);
        }
        world.outcome
    }

    fn new(pattern: &LoadPattern, policy: SelectionPolicy, seed: u64) -> Self {
        let domain = |number: usize| format!("fd-{}", number % pattern.domains);
        let gateways: Vec<GatewayModel> =
            (0..pattern.gateways).map(|n| GatewayModel::new(n, &domain(n))).collect();
        let model =
            |n: usize| TargetModel::new(pattern.slots, pattern.queue, SLOWNESS[n % SLOWNESS.len()]);
        let mut world = Self {
            policy,
            random: SmallRng::seed_from_u64(seed),
            schedule: EventSchedule::default(),
            gateways,
            targets: (0..pattern.targets).map(model).collect(),
            coming: vec![0; pattern.targets],
            target_ids: (0..pattern.targets).map(|n| format!("t-{n:04}")).collect(),
            runs: FastMap::default(),
            next_run: 1,
            requests: Vec::new(),
            outcome: PlayOutcome::default(),
            pattern: pattern.clone(),
        };
        for gateway in 0..world.gateways.len() {
            for target in 0..world.targets.len() {
                let entry = world.entry(target, &domain(target));
                world.gateways[gateway].table.put(entry, MonoTime::default());
            }
        }
        world
    }

    fn entry(&self, target: usize, domain: &str) -> TargetEntry {
        let id = self.target_ids[target].clone();
        TargetEntry {
            name: id.clone(),
            id,
            born: 0,
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            domain: domain.to_owned(),
            slots: self.pattern.slots,
            state: TargetState::Ready,
            cold_left: Duration::ZERO,
        }
    }

    fn begin(&mut self) {
        self.share_out();
        self.schedule.add(Duration::ZERO, LabEvent::Arrive);
        self.schedule.add(Duration::ZERO, LabEvent::JobArrives);
        for gateway in 0..self.gateways.len() {
            let offset = REPORT_EVERY.mul_f64(self.random.random());
            self.schedule.add(offset, LabEvent::Report { gateway });
            self.schedule.add(offset, LabEvent::RunItems { gateway });
        }
        for loss in self.pattern.losses.clone() {
            self.schedule.add(loss.at, LabEvent::LoseTargets { count: loss.count });
        }
        for freeze in self.pattern.freezes.clone() {
            let (count, span) = (freeze.count, freeze.span);
            self.schedule.add(freeze.at, LabEvent::Freeze { count, span });
            self.schedule.add(freeze.at + SILENCE, LabEvent::ShareOut);
            self.schedule.add(freeze.at + span + REPORT_EVERY, LabEvent::ShareOut);
        }
    }

    fn now(&self) -> MonoTime {
        self.schedule.now()
    }

    fn is_over(&self) -> bool {
        self.now() >= MonoTime::default() + self.pattern.span + TAIL
    }

    fn has_arrivals(&self) -> bool {
        self.now() < MonoTime::default() + self.pattern.span
    }

    fn take(&mut self, event: LabEvent) {
        if let Some(gateway) = self.gateway_of(&event) {
            let until = self.gateways[gateway].frozen_until;
            if self.now() < until {
                return self.schedule.add(until.since(self.now()), event);
            }
        }
        match event {
            LabEvent::Arrive => self.arrive(),
            LabEvent::JobArrives => self.job_arrives(),
            LabEvent::Attempt { request } => self.attempt(request),
            LabEvent::Ask { request, number, home, may_displace } => {
                self.take_ask(request, number, home, may_displace);
            }
            LabEvent::Answer { request, number, home, target, offer } => {
                self.take_answer(request, number, home, target, offer);
            }
            LabEvent::AskTimeout { request, number, home } => self.time_out(request, number, home),
            LabEvent::Reach { run } => self.reach(run),
            LabEvent::Event { run } => self.note_event(run),
            LabEvent::Cut { run } => self.cut(run),
            LabEvent::Ended { run, outcome } => self.end(run, outcome),
            LabEvent::Report { gateway } => self.report(gateway),
            LabEvent::TakeReport { to, from, uses } => {
                let (now, peer) = (self.now(), self.gateways[from].vm.clone());
                let table = &mut self.gateways[to].table;
                table.take_report(&peer, uses.into_iter().collect(), now);
                table.expire_reports(now);
            }
            LabEvent::PeerUse { home, from, target, work, change } => {
                let (now, peer) = (self.now(), self.gateways[from].vm.clone());
                self.gateways[home].table.note_peer_use(&peer, &target, work, change, now);
            }
            LabEvent::Revoke { gateway, target } => self.yield_place(gateway, &target),
            LabEvent::RunItems { gateway } => self.run_items(gateway),
            LabEvent::LoseTargets { count } => self.lose_targets(count),
            LabEvent::EntryGone { target } => {
                for gateway in &mut self.gateways {
                    gateway.table.remove(&self.target_ids[target]);
                }
            }
            LabEvent::Freeze { count, span } => {
                let until = self.now() + span;
                for gateway in self.gateways.iter_mut().take(count) {
                    gateway.frozen_until = until;
                }
            }
            LabEvent::ShareOut => self.share_out(),
        }
    }

    /// The gateway that an event needs to be awake.
    fn gateway_of(&self, event: &LabEvent) -> Option<usize> {
        match event {
            LabEvent::Attempt { request }
            | LabEvent::Answer { request, .. }
            | LabEvent::AskTimeout { request, .. } => Some(self.requests[*request].gateway),
            LabEvent::Ask { home, .. } | LabEvent::PeerUse { home, .. } => Some(*home),
            LabEvent::Ended { run, .. } => self.runs.get(run).map(|run| run.gateway),
            LabEvent::Report { gateway }
            | LabEvent::RunItems { gateway }
            | LabEvent::Revoke { gateway, .. } => Some(*gateway),
            LabEvent::TakeReport { to, .. } => Some(*to),
            _ => None,
        }
    }

    fn share_out(&mut self) {
        let now = self.now();
        let alive = self.gateways.iter().filter(|gateway| now >= gateway.frozen_until);
        let alive: Vec<(String, String)> =
            alive.map(|g| (g.vm.as_str().to_owned(), g.domain.clone())).collect();
        for gateway in &mut self.gateways {
            let own = gateway.vm.as_str().to_owned();
            gateway.table.share_out(&own, &alive);
        }
    }

    fn report(&mut self, from: usize) {
        if self.is_over() {
            return;
        }
        let uses = self.gateways[from].table.own_uses();
        let uses: Vec<(String, TargetUse)> = uses.map(|(id, used)| (id.to_owned(), used)).collect();
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            let uses = uses.clone();
            self.schedule.add(self.pattern.delay, LabEvent::TakeReport { to, from, uses });
        }
        self.schedule.add(REPORT_EVERY, LabEvent::Report { gateway: from });
    }

    fn lose_targets(&mut self, count: usize) {
        for target in 0..count.min(self.targets.len()) {
            for run in self.targets[target].lose() {
                let outcome = RunOutcome::Failed(AttemptFailure::ClosedBeforeAnswer);
                self.schedule.add(self.pattern.delay, LabEvent::Ended { run, outcome });
            }
            self.schedule.add(ENTRY_LAPSE, LabEvent::EntryGone { target });
        }
    }

    /// Sends a request to the target that was chosen for it.
    fn start(&mut self, gateway: usize, choice: &TargetChoice, work: RunWork, events: u32) {
        let target = self.target_ids.iter().position(|id| *id == choice.id).unwrap_or_default();
        let home = choice.home.as_ref().filter(|_| self.policy == SelectionPolicy::Homes);
        let home = home.and_then(|vm| self.gateways.iter().position(|g| g.vm == *vm));
        let (began, has_event, is_cut) = (self.now(), false, false);
        let events_left = events;
        let run = LabRun { work, gateway, target, home, events_left, began, has_event, is_cut };
        if !choice.is_granted {
            self.tell_home(&run, UseChange::Begin);
        }
        let number = self.next_run;
        self.next_run += 1;
        self.coming[target] += 1;
        self.runs.insert(number, run);
        self.schedule.add(self.pattern.delay, LabEvent::Reach { run: number });
    }

    fn tell_home(&mut self, run: &LabRun, change: UseChange) {
        let Some(home) = run.home else { return };
        let (from, target) = (run.gateway, self.target_ids[run.target].clone());
        let work = run.work.kind();
        let told = LabEvent::PeerUse { home, from, target, work, change };
        self.schedule.add(self.pattern.delay, told);
    }

    /// Places of a target that nothing has or is about to take.
    fn open_places(&self, target: usize) -> usize {
        self.targets[target].free().saturating_sub(self.coming[target])
    }

    fn reach(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number) else { return };
        self.coming[run.target] -= 1;
        match self.targets[run.target].admit(number) {
            Admission::Runs => self.begin_run(number),
            Admission::Waits => {}
            Admission::Refused => {
                let failure = match self.targets[run.target].is_lost() {
                    true => AttemptFailure::ConnectFailed,
                    false => AttemptFailure::RefusedNotRun,
                };
                let outcome = RunOutcome::Failed(failure);
                self.schedule.add(self.pattern.delay, LabEvent::Ended { run: number, outcome });
            }
        }
    }

    fn begin_run(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number) else { return };
        let wait = self.targets[run.target].first_event();
        self.schedule.add(wait, LabEvent::Event { run: number });
    }

    /// A run brings its next event.
    fn note_event(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get_mut(&number) else { return };
        let target = run.target;
        if !self.targets[target].running().contains(&number) {
            return;
        }
        run.events_left -= 1;
        let (is_first, left) = (!run.has_event, run.events_left);
        run.has_event = true;
        if is_first {
            self.note_first_event(number);
        }
        if left > 0 {
            let gap = self.targets[target].event_gap();
            return self.schedule.add(gap, LabEvent::Event { run: number });
        }
        self.leave_target(target, number);
        let outcome = RunOutcome::Whole;
        self.schedule.add(self.pattern.delay, LabEvent::Ended { run: number, outcome });
    }

    fn leave_target(&mut self, target: usize, number: RunNumber) {
        if let Some(next) = self.targets[target].release(number) {
            self.begin_run(next);
        }
    }

    /// The word that a run is broken off has reached its target.
    fn cut(&mut self, number: RunNumber) {
        let Some(run) = self.runs.get(&number).filter(|run| run.events_left > 0) else { return };
        let target = run.target;
        self.leave_target(target, number);
        let outcome = RunOutcome::Cut;
        self.schedule.add(Duration::ZERO, LabEvent::Ended { run: number, outcome });
    }

    fn end(&mut self, number: RunNumber, outcome: RunOutcome) {
        let Some(run) = self.runs.remove(&number) else { return };
        let now = self.now();
        let id = &self.target_ids[run.target];
        let told = match outcome {
            RunOutcome::Whole => Some(Ok(())),
            RunOutcome::Failed(failure) => Some(Err(failure)),
            RunOutcome::Cut => None,
        };
        self.gateways[run.gateway].table.finish(id, run.work.kind(), told, now);
        self.tell_home(&run, UseChange::End);
        match run.work {
            RunWork::Online { request } => self.end_online(request, &run, outcome),
            RunWork::Item { due } => {
                let item = WaitingItem { events_left: run.events_left, due };
                self.end_item(run.gateway, item, outcome);
            }
        }
    }
}

impl LabRun {
    /// Whether it's an item that may be broken off.
    fn yields(&self) -> bool {
        !self.is_cut && self.work.kind() == WorkKind::Batch
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
