//! A router by itself, fed the whole course of many requests: for measuring what one costs. No
//! links, no sockets, virtual time.

use std::{collections::VecDeque, time::Duration};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    AccountLimit, OnlineRequest, OnlineRouter, RouterEffect, RouterEvent, RouterSettings,
    TargetPolicy, event::ArrivalId,
};

/// Models, one a sidecar.
const TARGETS: usize = 5;
/// Requests in flight.
const WIDTH: usize = 64;
/// Time between arrivals: 100 a second, many times what one of 370 gateways sees.
const GAP: Duration = Duration::from_millis(10);

/// One router, with requests that start, answer and end.
pub struct RouterProbe {
    router: OnlineRouter,
    now: MonoTime,
    effects: Vec<RouterEffect>,
    running: VecDeque<AttemptId>,
    targets: Vec<TargetName>,
    accounts: Vec<AccountName>,
    sidecars: usize,
    reports: u64,
    /// Attempts sent so far.
    pub dispatched: u64,
}

impl RouterProbe {
    /// A router that knows `sidecars` sidecars and `accounts` accounts.
    pub fn new(sidecars: usize, accounts: usize, seed: u64) -> Self {
        let targets = (0..TARGETS).map(|number| TargetName::new(&format!("model-{number}")));
        let accounts = (0..accounts).map(|number| AccountName::new(&format!("account-{number}")));
        let mut bench = Self {
            router: OnlineRouter::new(RouterSettings::default(), seed),
            now: MonoTime(1_000_000),
            effects: Vec::new(),
            running: VecDeque::new(),
            targets: targets.collect(),
            accounts: accounts.collect(),
            sidecars,
            reports: 0,
            dispatched: 0,
        };
        bench.fill();
        bench
    }

    fn fill(&mut self) {
        let engine = |target: &TargetName| TargetPolicy::engine(target.clone(), 32);
        let policies = self.targets.iter().map(engine).collect();
        self.feed(RouterEvent::TargetsChanged(policies));
        let limit = |account: &AccountName| AccountLimit {
            account: account.clone(),
            requests_per_s: 20.0,
            burst: 40.0,
            concurrency: 100,
        };
        let limits = self.accounts.iter().map(limit).collect();
        self.feed(RouterEvent::AccountsChanged(limits));
        self.feed(RouterEvent::GatewayCount(370));
        for number in 0..self.sidecars {
            let event = RouterEvent::SidecarSeen {
                vm: vm(number),
                domain: DomainName::new("a"),
                incarnation: Incarnation(number as u64),
                load: self.report(number),
            };
            self.feed(event);
        }
    }

    /// One target a sidecar, as with one model on a server's accelerators.
    fn report(&mut self, number: usize) -> LoadReport {
        self.reports += 1;
        LoadReport {
            incarnation: Incarnation(number as u64),
            sequence: self.reports,
            targets: vec![TargetLoad {
                target: self.targets[number % TARGETS].clone(),
                online_running: 3,
                online_waiting: 0,
                batch_running: 10,
                limit: 32,
                first_token_us: 200_000,
                up: true,
            }],
            warm_prefixes: (0..64).map(|prefix| prefix * 7 + number as u64).collect(),
            leaving: false,
        }
    }

    fn feed(&mut self, event: RouterEvent) {
        let now = Now { mono: self.now, wall: WallTime(self.now.0 / 1_000) };
        self.effects.clear();
        self.router.handle(now, event, &mut self.effects);
        for effect in &self.effects {
            if let RouterEffect::Dispatch { attempt, .. } = effect {
                self.running.push_back(*attempt);
                self.dispatched += 1;
            }
        }
    }

    /// The whole course of the request of this number: arrival, start, first byte, the end of an
    /// earlier one, and a load report for every fourth.
    pub fn request(&mut self, number: u64) {
        self.now = self.now + GAP;
        let request = OnlineRequest {
            arrival: ArrivalId(number),
            request: RequestId(u128::from(number)),
            account: self.accounts[(number as usize * 7) % self.accounts.len()].clone(),
            target: self.targets[number as usize % TARGETS].clone(),
            path: String::new(),
            keyed: false,
            idempotent: None,
            fingerprint: Fingerprint(u128::from(number)),
            prefix: Some(number % 500),
            deadline: None,
            stream: true,
        };
        self.feed(RouterEvent::Arrived(request));
        if let Some(attempt) = self.running.back().copied() {
            self.feed(RouterEvent::AttemptStarted { attempt });
            let first_token = Duration::from_millis(200);
            self.feed(RouterEvent::AnswerBegun { attempt, first_token });
        }
        if self.running.len() > WIDTH
            && let Some(attempt) = self.running.pop_front()
        {
            let outcome = AttemptOutcome::Complete { status: 200 };
            self.feed(RouterEvent::AttemptEnded { attempt, outcome, first_token: None });
        }
        if number.is_multiple_of(4) {
            let place = (number / 4) as usize % self.sidecars;
            let report = self.report(place);
            self.feed(RouterEvent::SidecarLoad { vm: vm(place), report });
        }
    }
}

fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}"))
}
