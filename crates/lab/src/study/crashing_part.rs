//! Prompt parts and whole requests that crash targets, among sound requests and crashes of other causes.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::schedule::EventSchedule;

/// Part that all requests share.
const COMMON_PART: u64 = 1;
/// First of the parts of which each sound request has one.
const FIRST_SOUND_PART: u64 = 100;
const SOUND_PARTS: u64 = 24;
/// First of the parts that crash targets.
const FIRST_GUILTY_PART: u64 = 10;
/// First of the requests that crash targets by themselves, each with a prompt part that rare sound requests share.
const FIRST_GUILTY_REQUEST: u64 = 1_000_000;
const FIRST_RARE_PART: u64 = 200;
/// First of the requests that are not sent again.
const FIRST_OTHER_REQUEST: u64 = 2_000_000;
/// One-way delay of messages between gateways.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);
/// Time for which a target is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Duration of a whole answer.
const ANSWER_TIME: Duration = Duration::from_millis(600);
/// Latest first event of an attempt that begins in time.
const FIRST_EVENT: Duration = Duration::from_millis(60);
const MAX_ATTEMPTS: u32 = 2;
/// How often and how long a request waits for a probe.
const MAX_PROBE_WAITS: u32 = 3;
const PROBE_GRANT_WAIT: Duration = Duration::from_millis(30);
/// Targets tried for one attempt when those chosen first are down.
const MAX_TRIES: u32 = 5;
/// Crash after which a part, or a request, must be refused, and the time from it on that counts.
const PART_CRASHES_ALLOWED: usize = 5;
const REQUEST_CRASHES_ALLOWED: usize = 3;
const WINDOW: Duration = Duration::from_secs(3);

/// Settings of the study.
#[derive(Debug, Clone)]
pub struct CrashingPartStudy {
    /// Whether gateways refuse suspects, as they do in production.
    pub refuses_suspects: bool,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of targets.
    pub targets: usize,
    /// Length.
    pub length: Duration,
    /// Sound requests per second.
    pub sound_rate: f64,
    /// Requests with a guilty part per second, all parts together.
    pub guilty_rate: f64,
    /// Number of guilty parts.
    pub guilty_parts: u64,
    /// Number of requests that crash targets by themselves and come again and again.
    pub guilty_requests: u64,
    /// Time between two arrivals of the first of them; each further one comes a multiple of it.
    pub request_interval: Duration,
    /// Sound requests per second that share a part with one of them.
    pub rare_rate: f64,
    /// Probability that the answer of an attempt is lost though its target is sound.
    pub loss: f64,
    /// Time between two crashes of several targets at once for other reasons; zero for none.
    pub crash_interval: Duration,
}

impl Default for CrashingPartStudy {
    fn default() -> Self {
        Self {
            refuses_suspects: true,
            gateways: 4,
            targets: 18,
            length: Duration::from_secs(60),
            sound_rate: 80.0,
            guilty_rate: 12.0,
            guilty_parts: 1,
            guilty_requests: 0,
            request_interval: Duration::from_millis(500),
            rare_rate: 1.4,
            loss: 0.03,
            crash_interval: Duration::from_secs(12),
        }
    }
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct CrashingPartOutcome {
    /// Targets that crashed under a guilty part or request.
    pub crashes: usize,
    /// Runs with a guilty part later than 3 s after its fifth crash, of all parts together.
    pub late_sends: usize,
    /// Runs of a guilty request later than 3 s after its third crash, of all these requests together.
    pub late_request_sends: usize,
    /// Sound requests.
    pub sound: usize,
    /// Sound requests that began at their first attempt.
    pub sound_begun: usize,
    /// Sound requests later than 6 s after the fifth crash of any guilty part.
    pub sound_late: usize,
    /// Those of them that began at their first attempt.
    pub sound_late_begun: usize,
    /// Sound requests refused.
    pub sound_refused: usize,
    /// Sound requests that share a part with a guilty request, later than 6 s after the first crash of any such request.
    pub rare_late: usize,
    /// Those of them that began at their first attempt.
    pub rare_late_begun: usize,
}

#[derive(Debug, Clone)]
struct StudyRequest {
    gateway: usize,
    id: u64,
    parts: Vec<u64>,
    /// What of it crashes targets.
    guilty: Option<CrashSuspect>,
    is_rare: bool,
    attempts: u32,
    /// Number of probes that it has waited for.
    waits: u32,
}

impl StudyRequest {
    fn suspects(&self) -> RequestSuspects<'_> {
        RequestSuspects { request: self.id, parts: &self.parts }
    }
}

#[derive(Debug)]
enum StudyMessage {
    Crashed(CrashReport),
    Refused(SuspectRefusal),
    Cleared(CrashSuspect),
    ProbeAsk { refusal: SuspectRefusal, request: u64, asker: usize },
    ProbeGranted { suspect: CrashSuspect, request: u64 },
}

#[derive(Debug)]
enum StudyEvent {
    SoundArrival,
    GuiltyArrival,
    GuiltyRequest { index: u64 },
    RareArrival,
    Attempt { request: usize },
    End { run: usize },
    OtherCrashes,
    Message { to: usize, message: StudyMessage },
}

#[derive(Debug)]
struct StudyRun {
    request: usize,
    target: usize,
    since: MonoTime,
    is_over: bool,
    is_lost: bool,
    is_probe: bool,
}

#[derive(Debug, Clone, Default)]
struct StudyTarget {
    incarnation: u32,
    up_from: MonoTime,
    runs: Vec<usize>,
}

#[derive(Debug)]
struct Population<'a> {
    study: &'a CrashingPartStudy,
    random: SmallRng,
    schedule: EventSchedule<StudyEvent>,
    tables: Vec<SuspectTable>,
    targets: Vec<StudyTarget>,
    requests: Vec<StudyRequest>,
    runs: Vec<StudyRun>,
    /// Times of the crashes under each guilty part or request.
    crashes: FastMap<CrashSuspect, Vec<MonoTime>>,
    outcome: CrashingPartOutcome,
}

impl CrashingPartStudy {
    /// Runs the study; a seed gives the same outcome each time.
    pub fn run(&self, seed: u64) -> CrashingPartOutcome {
        let mut population = Population {
            study: self,
            random: SmallRng::seed_from_u64(seed),
            schedule: EventSchedule::default(),
            tables: (0..self.gateways).map(|_| SuspectTable::default()).collect(),
            targets: vec![StudyTarget::default(); self.targets],
            requests: Vec::new(),
            runs: Vec::new(),
            crashes: FastMap::default(),
            outcome: CrashingPartOutcome::default(),
        };
        population.play();
        population.outcome
    }
}

impl Population<'_> {
    fn play(&mut self) {
        // Sound requests come first, so that their parts are known.
        self.schedule.add(Duration::ZERO, StudyEvent::SoundArrival);
        if self.study.guilty_parts > 0 {
            self.schedule.add(Duration::from_secs(5), StudyEvent::GuiltyArrival);
        }
        for index in 0..self.study.guilty_requests {
            self.schedule.add(Duration::from_secs(5), StudyEvent::GuiltyRequest { index });
        }
        if self.study.guilty_requests > 0 {
            self.schedule.add(Duration::ZERO, StudyEvent::RareArrival);
        }
        if !self.study.crash_interval.is_zero() {
            self.schedule.add(self.study.crash_interval, StudyEvent::OtherCrashes);
        }
        let end = MonoTime::default() + self.study.length;
        while let Some(event) = self.schedule.next_event() {
            if self.schedule.now() > end {
                return;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: StudyEvent) {
        match event {
            StudyEvent::SoundArrival => {
                let gap = self.gap(self.study.sound_rate);
                self.schedule.add(gap, StudyEvent::SoundArrival);
                let part = FIRST_SOUND_PART + self.random.random_range(0..SOUND_PARTS);
                self.outcome.sound += 1;
                if self.counts_late() {
                    self.outcome.sound_late += 1;
                }
                let id = self.other_id();
                self.arrive(id, vec![COMMON_PART, part], None);
            }
            StudyEvent::GuiltyArrival => {
                let gap = self.gap(self.study.guilty_rate);
                self.schedule.add(gap, StudyEvent::GuiltyArrival);
                let part = FIRST_GUILTY_PART + self.random.random_range(0..self.study.guilty_parts);
                let id = self.other_id();
                self.arrive(id, vec![COMMON_PART, part], Some(CrashSuspect::Part(part)));
            }
            StudyEvent::GuiltyRequest { index } => {
                let gap = self.study.request_interval * (1 + 19 * index as u32);
                self.schedule.add(gap, StudyEvent::GuiltyRequest { index });
                let id = FIRST_GUILTY_REQUEST + index;
                let parts = vec![COMMON_PART, FIRST_RARE_PART + index];
                self.arrive(id, parts, Some(CrashSuspect::Request(id)));
            }
            StudyEvent::RareArrival => {
                let gap = self.gap(self.study.rare_rate);
                self.schedule.add(gap, StudyEvent::RareArrival);
                let part =
                    FIRST_RARE_PART + self.random.random_range(0..self.study.guilty_requests);
                self.outcome.rare_late += usize::from(self.counts_rare());
                let id = self.other_id();
                self.arrive(id, vec![COMMON_PART, part], None);
            }
            StudyEvent::Attempt { request } => self.attempt(request),
            StudyEvent::End { run } => self.end(run),
            StudyEvent::OtherCrashes => {
                self.schedule.add(self.study.crash_interval, StudyEvent::OtherCrashes);
                for _ in 0..self.study.targets / 5 {
                    let target = self.random.random_range(0..self.targets.len());
                    self.crash(target);
                }
            }
            StudyEvent::Message { to, message } => self.receive(to, message),
        }
    }

    fn gap(&mut self, rate: f64) -> Duration {
        let draw: f64 = self.random.random();
        Duration::from_secs_f64((-(1.0 - draw).ln() / rate).min(10.0))
    }

    /// Whether sound requests that arrive now count as late: after the fifth crash and twice the window.
    fn counts_late(&self) -> bool {
        let now = self.schedule.now();
        let fifth = |times: &Vec<MonoTime>| times.get(PART_CRASHES_ALLOWED - 1).copied();
        self.crashes.values().filter_map(fifth).any(|at| now.since(at) > 2 * WINDOW)
    }

    /// The same for sound requests that share a part with a guilty one: from its first crash on.
    fn counts_rare(&self) -> bool {
        let now = self.schedule.now();
        let mut firsts = self.crashes.values().filter_map(|times| times.first());
        firsts.any(|at| now.since(*at) > 2 * WINDOW)
    }

    /// Fingerprint of a request that is not sent again.
    fn other_id(&self) -> u64 {
        FIRST_OTHER_REQUEST + self.requests.len() as u64
    }

    fn arrive(&mut self, id: u64, parts: Vec<u64>, guilty: Option<CrashSuspect>) {
        let gateway = self.random.random_range(0..self.study.gateways);
        let request = self.requests.len();
        let is_rare = guilty.is_none() && parts.last().is_some_and(|part| *part >= FIRST_RARE_PART);
        self.requests.push(StudyRequest {
            gateway,
            id,
            parts,
            guilty,
            is_rare,
            attempts: 0,
            waits: 0,
        });
        self.schedule.add(Duration::ZERO, StudyEvent::Attempt { request });
    }

    fn attempt(&mut self, number: usize) {
        let now = self.schedule.now();
        let request = self.requests[number].clone();
        let mut is_probe = false;
        if self.study.refuses_suspects {
            match self.tables[request.gateway].admit(request.suspects(), false, now) {
                SuspectAdmission::Admitted => {}
                SuspectAdmission::Probe => is_probe = true,
                SuspectAdmission::Refused { suspect, asks_probe, .. } => {
                    if asks_probe {
                        self.ask_probe(request.gateway, suspect, request.id);
                        if request.waits < MAX_PROBE_WAITS {
                            self.requests[number].waits += 1;
                            let again = StudyEvent::Attempt { request: number };
                            return self.schedule.add(PROBE_GRANT_WAIT, again);
                        }
                    }
                    if request.guilty.is_none() {
                        self.outcome.sound_refused += 1;
                    }
                    return;
                }
            }
        }
        let target = (0..MAX_TRIES).find_map(|_| {
            let target = self.random.random_range(0..self.targets.len());
            (self.targets[target].up_from <= now).then_some(target)
        });
        let Some(target) = target else { return };
        if is_probe && !self.claim_probe(request.gateway, request.id) {
            return;
        }
        self.requests[number].attempts += 1;
        let is_lost = request.guilty.is_none() && self.random.random_bool(self.study.loss);
        let time = match (request.guilty.is_some(), is_lost) {
            (true, _) => Duration::from_millis(self.random.random_range(30..110)),
            (false, true) => Duration::from_millis(self.random.random_range(20..50)),
            (false, false) => ANSWER_TIME,
        };
        let run = self.runs.len();
        let (request, since, is_over) = (number, now, false);
        self.runs.push(StudyRun { request, target, since, is_over, is_lost, is_probe });
        self.targets[target].runs.push(run);
        self.schedule.add(time, StudyEvent::End { run });
        self.note_send(number);
    }

    fn note_send(&mut self, number: usize) {
        let now = self.schedule.now();
        let Some(suspect) = self.requests[number].guilty else { return };
        let (allowed, late) = match suspect {
            CrashSuspect::Part(_) => (PART_CRASHES_ALLOWED, &mut self.outcome.late_sends),
            CrashSuspect::Request(_) => {
                (REQUEST_CRASHES_ALLOWED, &mut self.outcome.late_request_sends)
            }
        };
        let last_allowed = self.crashes.get(&suspect).and_then(|times| times.get(allowed - 1));
        *late += usize::from(last_allowed.is_some_and(|at| now.since(*at) > WINDOW));
    }

    fn end(&mut self, number: usize) {
        if std::mem::replace(&mut self.runs[number].is_over, true) {
            return;
        }
        let now = self.schedule.now();
        let StudyRun { request, target, is_lost, .. } = self.runs[number];
        self.targets[target].runs.retain(|run| *run != number);
        let StudyRequest { gateway, guilty, is_rare, attempts, .. } = self.requests[request];
        if let Some(suspect) = guilty {
            self.crashes.entry(suspect).or_default().push(now);
            self.outcome.crashes += 1;
            let target_id = self.target_id(target);
            self.crash(target);
            self.interrupted(number, &target_id);
            return;
        }
        if is_lost {
            let target_id = self.target_id(target);
            return self.interrupted(number, &target_id);
        }
        let is_late = self.counts_late();
        self.outcome.sound_begun += usize::from(attempts == 1);
        self.outcome.sound_late_begun += usize::from(attempts == 1 && is_late);
        let is_rare_begun = is_rare && attempts == 1 && self.counts_rare();
        self.outcome.rare_late_begun += usize::from(is_rare_begun);
        let suspects = self.requests[request].suspects();
        let findings = self.tables[gateway].note_answer(suspects, now);
        for suspect in findings.cleared {
            self.broadcast(gateway, |_| StudyMessage::Cleared(suspect));
        }
        for suspect in findings.reported {
            let counting = self.counting(suspect);
            self.send(gateway, counting, StudyMessage::Cleared(suspect));
        }
    }

    fn target_id(&self, target: usize) -> String {
        format!("t{target}#{}", self.targets[target].incarnation)
    }

    /// Ends a target's incarnation and interrupts all its runs.
    fn crash(&mut self, target: usize) {
        let id = self.target_id(target);
        let runs = std::mem::take(&mut self.targets[target].runs);
        self.targets[target].incarnation += 1;
        self.targets[target].up_from = self.schedule.now() + DOWN_TIME;
        for run in runs {
            if !std::mem::replace(&mut self.runs[run].is_over, true) {
                self.interrupted(run, &id);
            }
        }
    }

    /// Reports an interrupted run, and makes the next attempt of its request.
    fn interrupted(&mut self, number: usize, target: &str) {
        let now = self.schedule.now();
        let StudyRun { request, since, is_probe, .. } = self.runs[number];
        let StudyRequest { gateway, guilty, is_rare, attempts, .. } = self.requests[request];
        let has_begun = guilty.is_none() && now.since(since) > FIRST_EVENT;
        if attempts == 1 && has_begun {
            self.outcome.sound_begun += 1;
            self.outcome.sound_late_begun += usize::from(self.counts_late());
            self.outcome.rare_late_begun += usize::from(is_rare && self.counts_rare());
        }
        let suspects = self.requests[request].suspects();
        let id = suspects.request;
        for suspect in self.tables[gateway].blamed(suspects, now) {
            self.tables[gateway].note_reported(suspect);
            let target = target.to_owned();
            let report = CrashReport { suspect, target, request: id, reached: None };
            let counting = self.counting(suspect);
            self.send(gateway, counting, StudyMessage::Crashed(report));
        }
        if attempts < MAX_ATTEMPTS && !has_begun && !is_probe {
            self.schedule.add(Duration::from_millis(1), StudyEvent::Attempt { request });
        }
    }

    fn counting(&self, suspect: CrashSuspect) -> usize {
        suspect.id() as usize % self.study.gateways
    }

    fn ask_probe(&mut self, asker: usize, suspect: CrashSuspect, request: u64) {
        let now = self.schedule.now();
        let Some(refusal) = self.tables[asker].refusal(suspect, now) else { return };
        let counting = self.counting(suspect);
        self.send(asker, counting, StudyMessage::ProbeAsk { refusal, request, asker });
    }

    /// Claims the probe of a request that is refused for itself. The store, which decides, is taken to answer at once.
    fn claim_probe(&mut self, own: usize, request: u64) -> bool {
        let now = self.schedule.now();
        let suspect = CrashSuspect::Request(request);
        let Some(refusal) = self.tables[own].refusal(suspect, now) else { return true };
        let age = self.tables[own].refusal_age(suspect, now);
        let Some(next) = refusal.after_probe(age, ProbeWork::Request) else { return false };
        self.tables[own].note_probe_started(next, now);
        self.broadcast(own, |_| StudyMessage::Refused(next));
        true
    }

    fn send(&mut self, from: usize, to: usize, message: StudyMessage) {
        let delay = if from == to { Duration::ZERO } else { MESSAGE_DELAY };
        self.schedule.add(delay, StudyEvent::Message { to, message });
    }

    fn broadcast(&mut self, from: usize, message: impl Fn(usize) -> StudyMessage) {
        for to in (0..self.study.gateways).filter(|to| *to != from) {
            self.send(from, to, message(to));
        }
    }

    fn receive(&mut self, own: usize, message: StudyMessage) {
        let now = self.schedule.now();
        match message {
            StudyMessage::Crashed(report) => {
                if let Some(refusal) = self.tables[own].note_crash(&report, now) {
                    self.broadcast(own, |_| StudyMessage::Refused(refusal));
                }
            }
            StudyMessage::Refused(refusal) => {
                if !self.tables[own].apply_refusal(refusal, now) {
                    self.broadcast(own, |_| StudyMessage::Cleared(refusal.suspect));
                }
            }
            StudyMessage::Cleared(suspect) => self.tables[own].clear(suspect),
            StudyMessage::ProbeAsk { refusal, request, asker } => {
                let suspect = refusal.suspect;
                let message = match self.tables[own].grant_probe(refusal, request, now) {
                    ProbeReply::Granted => StudyMessage::ProbeGranted { suspect, request },
                    ProbeReply::Sound => StudyMessage::Cleared(suspect),
                    ProbeReply::NotNow => return,
                };
                self.send(own, asker, message);
            }
            StudyMessage::ProbeGranted { suspect, request } => {
                self.tables[own].note_granted(suspect, request, now);
            }
        }
    }
}
