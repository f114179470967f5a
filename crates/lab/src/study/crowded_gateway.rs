//! A gateway that gets most new connections while the others have processor time to spare.

use std::{collections::VecDeque, time::Duration};

use notch_relay::prelude::*;
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde::Serialize;

use crate::schedule::EventSchedule;

/// Interval at which a gateway measures its lag.
const LAG_INTERVAL: Duration = Duration::from_millis(50);
/// Time until a client whose connection was closed unread tries another gateway.
const RETRY_TIME: Duration = Duration::from_millis(10);
/// Time after which a client gives up a connection that was not read.
const PATIENCE: Duration = Duration::from_secs(1);
/// Time after its arrival within which a request must begin to be served.
const OBJECTIVE: Duration = Duration::from_millis(300);
/// Processor time of a connection that is closed unread, as a share of that of a request.
const CLOSE_COST: f64 = 0.05;
/// Time from the begin of the crowd from which requests count.
const SETTLING: Duration = Duration::from_secs(3);

/// Settings of the study.
#[derive(Debug, Clone)]
pub struct CrowdedGatewayStudy {
    /// Whether gateways turn connections away, as they do in production.
    pub turns_away: bool,
    /// Number of gateways.
    pub gateways: usize,
    /// Requests per second, each on a new connection.
    pub rate: f64,
    /// Processor time of a request.
    pub cost: Duration,
    /// Share of the new connections that come to the first gateway in the crowd.
    pub share: f64,
    /// Factor of the rate in the crowd.
    pub growth: f64,
    /// Begin of the crowd and its length.
    pub crowd: (Duration, Duration),
}

impl Default for CrowdedGatewayStudy {
    fn default() -> Self {
        Self {
            turns_away: true,
            gateways: 4,
            rate: 100.0,
            cost: Duration::from_millis(15),
            share: 0.85,
            growth: 1.3,
            crowd: (Duration::from_secs(10), Duration::from_secs(15)),
        }
    }
}

/// Figures of one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct CrowdedGatewayOutcome {
    /// Requests before the crowd, and those of them that were served in time.
    pub before: (usize, usize),
    /// The same from 3 s after the begin of the crowd to its end.
    pub crowded: (usize, usize),
    /// Connections closed unread.
    pub turned_away: usize,
}

impl CrowdedGatewayOutcome {
    /// Share served in time in the crowd, as a part of the share served in time before.
    pub fn kept_share(&self) -> f64 {
        let share = |(all, served): (usize, usize)| served as f64 / all.max(1) as f64;
        share(self.crowded) / share(self.before).max(f64::MIN_POSITIVE)
    }
}

#[derive(Debug)]
enum CrowdEvent {
    Arrival,
    Connect { request: usize, gateway: usize },
    Done { gateway: usize },
    MeasureLag { gateway: usize },
}

/// What the processor of a gateway has to do next.
#[derive(Debug, Clone, Copy)]
enum CrowdWork {
    Serve { request: usize, since: MonoTime },
    Close,
    Measure { since: MonoTime },
}

#[derive(Debug, Default)]
struct CrowdGateway {
    gate: ConnectionGate,
    queue: VecDeque<CrowdWork>,
    is_busy: bool,
}

#[derive(Debug)]
struct CrowdRequest {
    arrived: MonoTime,
    has_retried: bool,
}

#[derive(Debug)]
struct Crowd<'a> {
    study: &'a CrowdedGatewayStudy,
    random: SmallRng,
    schedule: EventSchedule<CrowdEvent>,
    gateways: Vec<CrowdGateway>,
    requests: Vec<CrowdRequest>,
    outcome: CrowdedGatewayOutcome,
}

impl CrowdedGatewayStudy {
    /// Runs the study; a seed gives the same outcome each time.
    pub fn run(&self, seed: u64) -> CrowdedGatewayOutcome {
        let mut crowd = Crowd {
            study: self,
            random: SmallRng::seed_from_u64(seed),
            schedule: EventSchedule::default(),
            gateways: (0..self.gateways).map(|_| CrowdGateway::default()).collect(),
            requests: Vec::new(),
            outcome: CrowdedGatewayOutcome::default(),
        };
        crowd.play();
        crowd.outcome
    }
}

impl Crowd<'_> {
    fn play(&mut self) {
        self.schedule.add(Duration::ZERO, CrowdEvent::Arrival);
        for gateway in 0..self.gateways.len() {
            self.schedule.add(LAG_INTERVAL, CrowdEvent::MeasureLag { gateway });
        }
        let (begin, length) = self.study.crowd;
        let end = MonoTime::default() + begin + length + PATIENCE;
        while let Some(event) = self.schedule.next_event() {
            if self.schedule.now() > end {
                return;
            }
            match event {
                CrowdEvent::Arrival => self.arrive(),
                CrowdEvent::Connect { request, gateway } => self.connect(request, gateway),
                CrowdEvent::Done { gateway } => {
                    self.gateways[gateway].is_busy = false;
                    self.work(gateway);
                }
                CrowdEvent::MeasureLag { gateway } => {
                    let since = self.schedule.now();
                    self.gateways[gateway].queue.push_back(CrowdWork::Measure { since });
                    self.work(gateway);
                }
            }
        }
    }

    fn is_crowded(&self, at: MonoTime) -> bool {
        let (begin, length) = self.study.crowd;
        let begin = MonoTime::default() + begin;
        at >= begin && at < begin + length
    }

    /// The count that a request belongs to, by its arrival.
    fn count(&mut self, arrived: MonoTime) -> Option<&mut (usize, usize)> {
        let settled = MonoTime::default() + self.study.crowd.0 + SETTLING;
        match self.is_crowded(arrived) {
            true if arrived >= settled => Some(&mut self.outcome.crowded),
            true => None,
            false if arrived < settled => Some(&mut self.outcome.before),
            false => None,
        }
    }

    fn arrive(&mut self) {
        let now = self.schedule.now();
        let is_crowded = self.is_crowded(now);
        let rate = if is_crowded { self.study.rate * self.study.growth } else { self.study.rate };
        let draw: f64 = self.random.random();
        self.schedule.add(
            Duration::from_secs_f64((-(1.0 - draw).ln() / rate).min(1.0)),
            CrowdEvent::Arrival,
        );
        let is_first = is_crowded && self.random.random_bool(self.study.share);
        let gateway = if is_first { 0 } else { self.random.random_range(0..self.gateways.len()) };
        let request = self.requests.len();
        self.requests.push(CrowdRequest { arrived: now, has_retried: false });
        if let Some((all, _)) = self.count(now) {
            *all += 1;
        }
        self.connect(request, gateway);
    }

    fn connect(&mut self, request: usize, gateway: usize) {
        let (now, draw) = (self.schedule.now(), self.random.random());
        let open = self.gateways[gateway].queue.len();
        let is_taken = !self.study.turns_away || self.gateways[gateway].gate.admits(open, draw);
        if is_taken {
            self.gateways[gateway].queue.push_back(CrowdWork::Serve { request, since: now });
        } else {
            self.gateways[gateway].queue.push_back(CrowdWork::Close);
            self.outcome.turned_away += 1;
            self.retry(request, gateway, RETRY_TIME);
        }
        self.work(gateway);
    }

    /// Sends a request to another gateway, once.
    fn retry(&mut self, request: usize, gateway: usize, wait: Duration) {
        if std::mem::replace(&mut self.requests[request].has_retried, true) {
            return;
        }
        let other = self.random.random_range(1..self.gateways.len());
        let gateway = (gateway + other) % self.gateways.len();
        self.schedule.add(wait, CrowdEvent::Connect { request, gateway });
    }

    /// Has the processor of a gateway do the next work, if it is idle.
    fn work(&mut self, gateway: usize) {
        let now = self.schedule.now();
        while !self.gateways[gateway].is_busy {
            let Some(work) = self.gateways[gateway].queue.pop_front() else { return };
            let cost = match work {
                CrowdWork::Measure { since } => {
                    self.gateways[gateway].gate.note_lag(now.since(since));
                    self.schedule.add(LAG_INTERVAL, CrowdEvent::MeasureLag { gateway });
                    continue;
                }
                CrowdWork::Close => self.study.cost.mul_f64(CLOSE_COST),
                CrowdWork::Serve { request, since } => {
                    if now.since(since) > PATIENCE {
                        self.retry(request, gateway, Duration::ZERO);
                        continue;
                    }
                    let arrived = self.requests[request].arrived;
                    if now.since(arrived) <= OBJECTIVE
                        && let Some((_, served)) = self.count(arrived)
                    {
                        *served += 1;
                    }
                    self.study.cost
                }
            };
            self.gateways[gateway].is_busy = true;
            self.schedule.add(cost, CrowdEvent::Done { gateway });
        }
    }
}
