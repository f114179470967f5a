//! Streams that clients take up at other gateways while targets are replaced by others with newer software.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::schedule::EventSchedule;

const SERVICE: &str = "llm";
/// One-way delay of messages between gateways.
const MESSAGE_DELAY: Duration = Duration::from_millis(3);
/// Longest delay of the news of a target.
const NEWS_DELAY_MS: u64 = 100;
/// Time from an attempt to its first event, and to its end.
const FIRST_EVENT: Duration = Duration::from_millis(50);
const STREAM_TIME: Duration = Duration::from_millis(600);
/// Time after which a client takes a broken stream up.
const TAKE_UP_DELAY: Duration = Duration::from_millis(100);
/// Time for which a killed gateway is down.
const DOWN_TIME: Duration = Duration::from_secs(1);
const RETENTION: Duration = Duration::from_secs(10);
/// Other gateways that remember a stream.
const KEEPERS: usize = 2;

/// Settings of the study.
#[derive(Debug, Clone)]
pub struct TakenUpStudy {
    /// Whether streams go on only at their version, as in production.
    pub keeps_versions: bool,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of targets.
    pub targets: usize,
    /// Length.
    pub length: Duration,
    /// New streams per second.
    pub rate: f64,
    /// Begin of the replacement of targets, and the time between two of them.
    pub release: (Duration, Duration),
    /// Time between two kills, and the number of gateways killed at once.
    pub kills: (Duration, usize),
}

impl Default for TakenUpStudy {
    fn default() -> Self {
        Self {
            keeps_versions: true,
            gateways: 4,
            targets: 18,
            length: Duration::from_secs(60),
            rate: 80.0,
            release: (Duration::from_secs(30), Duration::from_millis(600)),
            kills: (Duration::from_secs(3), 1),
        }
    }
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TakenUpOutcome {
    /// New streams.
    pub begun: usize,
    /// Streams that clients took up.
    pub taken_up: usize,
    /// Those of them that went on.
    pub continued: usize,
    /// Those that went on at another version than the one that began them.
    pub mixed: usize,
    /// Those refused because their version was not known.
    pub unknown: usize,
}

#[derive(Debug)]
enum TakeUpEvent {
    Arrival,
    FirstEvent { stream: usize },
    Kill,
    TakeUp { stream: usize },
    Release { target: usize },
    News { gateway: usize, change: TargetNews },
    Record { gateway: usize, stream: usize },
}

#[derive(Debug, Clone)]
enum TargetNews {
    Put(usize),
    Remove(usize),
}

#[derive(Debug)]
struct StudyStream {
    gateway: usize,
    version: Option<&'static str>,
    began: MonoTime,
    is_over: bool,
}

#[derive(Debug, Default)]
struct StudyGateway {
    origins: StreamOrigins,
    history: VersionHistory,
    /// Versions of the targets known here.
    known: FastMap<usize, &'static str>,
    up_from: MonoTime,
}

#[derive(Debug)]
struct TakeUps<'a> {
    study: &'a TakenUpStudy,
    random: SmallRng,
    schedule: EventSchedule<TakeUpEvent>,
    gateways: Vec<StudyGateway>,
    /// Version of each target; those from `study.targets` on are the newer ones.
    targets: FastMap<usize, &'static str>,
    streams: Vec<StudyStream>,
    outcome: TakenUpOutcome,
}

impl TakenUpStudy {
    /// Runs the study; a seed gives the same outcome each time.
    pub fn run(&self, seed: u64) -> TakenUpOutcome {
        let mut take_ups = TakeUps {
            study: self,
            random: SmallRng::seed_from_u64(seed),
            schedule: EventSchedule::default(),
            gateways: (0..self.gateways).map(|_| StudyGateway::default()).collect(),
            targets: (0..self.targets).map(|target| (target, "v1")).collect(),
            streams: Vec::new(),
            outcome: TakenUpOutcome::default(),
        };
        take_ups.play();
        take_ups.outcome
    }
}

impl TakeUps<'_> {
    fn play(&mut self) {
        for gateway in 0..self.gateways.len() {
            self.learn_all(gateway);
        }
        self.schedule.add(Duration::ZERO, TakeUpEvent::Arrival);
        self.schedule.add(self.study.kills.0, TakeUpEvent::Kill);
        let (begin, pause) = self.study.release;
        for target in 0..self.study.targets {
            self.schedule.add(begin + pause * target as u32, TakeUpEvent::Release { target });
        }
        let end = MonoTime::default() + self.study.length;
        while let Some(event) = self.schedule.next_event() {
            if self.schedule.now() > end {
                return;
            }
            match event {
                TakeUpEvent::Arrival => self.arrive(),
                TakeUpEvent::FirstEvent { stream } => self.note_first_event(stream),
                TakeUpEvent::Kill => self.kill(),
                TakeUpEvent::TakeUp { stream } => self.take_up(stream),
                TakeUpEvent::Release { target } => self.release(target),
                TakeUpEvent::News { gateway, change } => self.learn(gateway, &change),
                TakeUpEvent::Record { gateway, stream } => self.keep(gateway, stream),
            }
        }
    }

    fn is_up(&self, gateway: usize) -> bool {
        self.gateways[gateway].up_from <= self.schedule.now()
    }

    fn live_gateway(&mut self) -> Option<usize> {
        let live: Vec<usize> = (0..self.gateways.len()).filter(|g| self.is_up(*g)).collect();
        (!live.is_empty()).then(|| live[self.random.random_range(0..live.len())])
    }

    fn learn_all(&mut self, gateway: usize) {
        let targets: Vec<usize> = self.targets.keys().copied().collect();
        for target in targets {
            self.learn(gateway, &TargetNews::Put(target));
        }
    }

    fn learn(&mut self, gateway: usize, change: &TargetNews) {
        let now = self.schedule.now();
        let before = self.gateways[gateway].history.view(SERVICE, now);
        let StudyGateway { history, known, .. } = &mut self.gateways[gateway];
        match change {
            TargetNews::Put(target) => {
                let Some(version) = self.targets.get(target) else { return };
                if known.insert(*target, version).is_none() {
                    history.add(SERVICE, version, now);
                }
            }
            TargetNews::Remove(target) => {
                if let Some(version) = known.remove(target) {
                    history.remove(SERVICE, version, now);
                }
            }
        }
        let after = history.view(SERVICE, now);
        if before != VersionView::Several && after == VersionView::Several {
            self.publish(gateway);
        }
    }

    /// Replaces a target by one with newer software.
    fn release(&mut self, target: usize) {
        let newer = target + self.study.targets;
        self.targets.insert(newer, "v2");
        self.targets.remove(&target);
        for gateway in 0..self.gateways.len() {
            for change in [TargetNews::Put(newer), TargetNews::Remove(target)] {
                let delay = Duration::from_millis(self.random.random_range(1..NEWS_DELAY_MS));
                self.schedule.add(delay, TakeUpEvent::News { gateway, change });
            }
        }
    }

    fn arrive(&mut self) {
        let draw: f64 = self.random.random();
        let gap = Duration::from_secs_f64((-(1.0 - draw).ln() / self.study.rate).min(1.0));
        self.schedule.add(gap, TakeUpEvent::Arrival);
        let Some(gateway) = self.live_gateway() else { return };
        let (began, stream) = (self.schedule.now(), self.streams.len());
        self.streams.push(StudyStream { gateway, version: None, began, is_over: false });
        self.outcome.begun += 1;
        self.schedule.add(FIRST_EVENT, TakeUpEvent::FirstEvent { stream });
    }

    fn note_first_event(&mut self, stream: usize) {
        let gateway = self.streams[stream].gateway;
        if self.streams[stream].is_over || !self.is_up(gateway) {
            return;
        }
        let known: Vec<&'static str> = self.gateways[gateway].known.values().copied().collect();
        if known.is_empty() {
            return;
        }
        let version = known[self.random.random_range(0..known.len())];
        self.streams[stream].version = Some(version);
        self.keep(gateway, stream);
        let view = self.gateways[gateway].history.view(SERVICE, self.schedule.now());
        if !matches!(view, VersionView::Sole(_)) {
            self.send_record(gateway, stream);
        }
    }

    fn keep(&mut self, gateway: usize, stream: usize) {
        let now = self.schedule.now();
        let Some(version) = self.streams[stream].version.filter(|_| self.is_up(gateway)) else {
            return;
        };
        let (service, version) = (SERVICE.to_owned(), version.to_owned());
        let origin = StreamOrigin { service, version, target: String::new() };
        self.gateways[gateway].origins.note(&stream.to_string(), origin, RETENTION, now);
    }

    fn send_record(&mut self, from: usize, stream: usize) {
        let others = (1..self.gateways.len()).map(|offset| (stream + offset) % self.gateways.len());
        let live: Vec<usize> = others.filter(|g| *g != from && self.is_up(*g)).collect();
        for gateway in live.into_iter().take(KEEPERS) {
            self.schedule.add(MESSAGE_DELAY, TakeUpEvent::Record { gateway, stream });
        }
    }

    fn publish(&mut self, gateway: usize) {
        let now = self.schedule.now();
        let recent = self.gateways[gateway].origins.recent(SERVICE, now);
        let recent: Vec<usize> = recent.filter_map(|(name, ..)| name.parse().ok()).collect();
        for stream in recent {
            self.send_record(gateway, stream);
        }
    }

    /// Kills gateways; clients take the streams up that they had begun.
    fn kill(&mut self) {
        let (interval, count) = self.study.kills;
        self.schedule.add(interval, TakeUpEvent::Kill);
        let now = self.schedule.now();
        for _ in 0..count {
            let Some(gateway) = self.live_gateway() else { return };
            self.gateways[gateway] =
                StudyGateway { up_from: now + DOWN_TIME, ..StudyGateway::default() };
            self.learn_all(gateway);
            for stream in 0..self.streams.len() {
                let StudyStream { version, began, is_over, .. } = self.streams[stream];
                let is_hit = self.streams[stream].gateway == gateway
                    && !is_over
                    && now.since(began) < STREAM_TIME;
                if is_hit {
                    self.streams[stream].is_over = true;
                    if version.is_some() {
                        self.schedule.add(TAKE_UP_DELAY, TakeUpEvent::TakeUp { stream });
                    }
                }
            }
        }
    }

    fn take_up(&mut self, stream: usize) {
        let Some(gateway) = self.live_gateway() else { return };
        self.outcome.taken_up += 1;
        let known: Vec<&'static str> = self.gateways[gateway].known.values().copied().collect();
        let version = match self.study.keeps_versions {
            true => self.find(gateway, stream),
            false => Some(known[self.random.random_range(0..known.len())].to_owned()),
        };
        let Some(version) = version else {
            self.outcome.unknown += 1;
            return;
        };
        if known.iter().any(|known| *known == version) {
            self.outcome.continued += 1;
            self.outcome.mixed += usize::from(self.streams[stream].version != Some(&version));
        }
    }

    fn find(&mut self, own: usize, stream: usize) -> Option<String> {
        let (now, name) = (self.schedule.now(), stream.to_string());
        if let Some(origin) = self.gateways[own].origins.get(&name) {
            return Some(origin.version.clone());
        }
        let view = self.gateways[own].history.view(SERVICE, now);
        if let VersionView::Sole(version) = view {
            return Some(version);
        }
        let others: Vec<usize> =
            (0..self.gateways.len()).filter(|g| *g != own && self.is_up(*g)).collect();
        let origin = others.iter().find_map(|g| self.gateways[*g].origins.get(&name));
        if let Some(origin) = origin {
            return Some(origin.version.clone());
        }
        let views: Vec<VersionView> =
            others.iter().map(|g| self.gateways[*g].history.view(SERVICE, now)).collect();
        view.agreed(&views)
    }
}
