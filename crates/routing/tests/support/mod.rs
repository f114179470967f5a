//! Builders and a small driver shared by the router's tests.
#![allow(dead_code, missing_docs, unreachable_pub)]

use std::time::Duration;

use notch_messages::prelude::*;
use notch_routing::{settings::*, *};
use notch_types::prelude::*;

pub const MODEL: &str = "diary";
pub const SERVICE: &str = "booking";

pub fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}"))
}

/// The incarnation that `Driver` gives a sidecar at first.
pub fn incarnation(number: usize) -> Incarnation {
    Incarnation(1_000 + number as u64)
}

pub fn line(target: &str, limit: u32) -> TargetLoad {
    TargetLoad {
        target: TargetName::new(target),
        online_running: 0,
        online_waiting: 0,
        batch_running: 0,
        limit,
        first_token_us: 50_000,
        up: true,
    }
}

pub fn report(incarnation: Incarnation, sequence: u64, limit: u32) -> LoadReport {
    LoadReport {
        incarnation,
        sequence,
        targets: vec![line(MODEL, limit), line(SERVICE, limit)],
        warm_prefixes: Vec::new(),
        leaving: false,
    }
}

pub fn policies() -> Vec<TargetPolicy> {
    let model = TargetPolicy::engine(TargetName::new(MODEL), 1_000);
    let service = TargetPolicy {
        non_idempotent_paths: vec!["/book".to_owned()],
        ..TargetPolicy::engine(TargetName::new(SERVICE), 1_000)
    };
    vec![model, service]
}

/// An idempotent request without a key.
pub fn plain(number: u64) -> OnlineRequest {
    OnlineRequest {
        arrival: ArrivalId(number),
        request: RequestId(u128::from(number) + (1 << 100)),
        account: AccountName::new("rahbar"),
        target: TargetName::new(MODEL),
        path: String::new(),
        keyed: false,
        idempotent: None,
        fingerprint: Fingerprint(u128::from(number)),
        prefix: None,
        deadline: None,
        stream: false,
    }
}

/// A booking: non-idempotent, so keyed. Calls with one key are sends of one request.
pub fn booking(number: u64, key: u64) -> OnlineRequest {
    OnlineRequest {
        request: RequestId(u128::from(key)),
        target: TargetName::new(SERVICE),
        path: "/book/slot".to_owned(),
        keyed: true,
        fingerprint: Fingerprint(u128::from(key)),
        ..plain(number)
    }
}

/// A router with its clock and everything it said.
pub struct Driver {
    pub router: OnlineRouter,
    pub millis: u64,
    pub effects: Vec<RouterEffect>,
    /// Whether there is no other gateway to be told of a crash.
    pub is_lone: bool,
}

impl Driver {
    /// A router that knows both targets and `sidecars` idle sidecars, each with `limit` places.
    pub fn new(settings: RouterSettings, sidecars: usize, limit: u32) -> Self {
        Self { is_lone: true, ..Self::seeded(settings, sidecars, limit, 7) }
    }

    /// The same, one of several gateways.
    pub fn seeded(settings: RouterSettings, sidecars: usize, limit: u32, seed: u64) -> Self {
        let router = OnlineRouter::new(settings, seed);
        let mut driver = Self { router, millis: 1_000, effects: Vec::new(), is_lone: false };
        driver.feed(RouterEvent::TargetsChanged(policies()));
        for number in 0..sidecars {
            driver.see(number, incarnation(number), limit);
        }
        driver
    }

    pub fn see(&mut self, number: usize, incarnation: Incarnation, limit: u32) {
        self.feed(RouterEvent::SidecarSeen {
            vm: vm(number),
            domain: DomainName::new("lahore-a"),
            incarnation,
            load: report(incarnation, 1, limit),
        });
    }

    pub fn now(&self) -> Now {
        Now::at_millis(self.millis)
    }

    /// Feeds an event and returns what it brought about.
    pub fn feed(&mut self, event: RouterEvent) -> Vec<RouterEffect> {
        let mut effects = Vec::new();
        self.router.handle(self.now(), event, &mut effects);
        if self.is_lone {
            for fingerprint in untold(&effects) {
                let told = RouterEvent::SuspicionTold { fingerprint };
                self.router.handle(self.now(), told, &mut effects);
            }
        }
        self.effects.extend(effects.iter().cloned());
        effects
    }

    /// Lets time pass, ticking whenever the router asks for it.
    pub fn advance(&mut self, millis: u64) -> Vec<RouterEffect> {
        let end = self.millis + millis;
        let mut effects = Vec::new();
        while let Some(wake) = self.router.next_wake().filter(|at| at.0 <= end * 1_000) {
            self.millis = self.millis.max(wake.0.div_ceil(1_000));
            effects.extend(self.feed(RouterEvent::Tick));
        }
        self.millis = end;
        effects.extend(self.feed(RouterEvent::Tick));
        effects
    }

    pub fn arrive(&mut self, request: OnlineRequest) -> Vec<RouterEffect> {
        self.feed(RouterEvent::Arrived(request))
    }

    /// Arrives and returns the attempt that was dispatched for it.
    pub fn dispatch(&mut self, request: OnlineRequest) -> (AttemptId, VmName) {
        let effects = self.arrive(request);
        dispatched(&effects).expect("a dispatch")
    }

    /// Arrives, grants the claim, and returns the attempt that was dispatched.
    pub fn dispatch_booking(&mut self, request: OnlineRequest) -> (AttemptId, VmName) {
        let effects = self.arrive(request);
        let attempt = claimed(&effects).expect("a claim");
        let effects = self.answer_claim(attempt, ClaimVerdict::Granted);
        dispatched(&effects).expect("a dispatch")
    }

    pub fn answer_claim(&mut self, attempt: AttemptId, verdict: ClaimVerdict) -> Vec<RouterEffect> {
        let request = attempt.request;
        self.feed(RouterEvent::ClaimAnswered { request, attempt, result: Ok(verdict) })
    }

    pub fn end(&mut self, attempt: AttemptId, outcome: AttemptOutcome) -> Vec<RouterEffect> {
        self.feed(RouterEvent::AttemptEnded { attempt, outcome, first_token: None })
    }

    pub fn complete(&mut self, attempt: AttemptId) -> Vec<RouterEffect> {
        self.end(attempt, AttemptOutcome::Complete { status: 200 })
    }

    pub fn refuse(&mut self, attempt: AttemptId, reason: RefusalReason) -> Vec<RouterEffect> {
        let refusal = AttemptRefusal { attempt, reason, retry_after_ms: None };
        self.feed(RouterEvent::AttemptRefused(refusal))
    }

    pub fn seal(&mut self, attempt: AttemptId, verdict: SealVerdict) -> Vec<RouterEffect> {
        self.feed(RouterEvent::AttemptSealed { attempt, verdict })
    }

    /// Attempts dispatched so far, in order.
    pub fn dispatches(&self) -> Vec<AttemptId> {
        self.effects.iter().filter_map(dispatch_of).map(|(attempt, _)| attempt).collect()
    }

    /// How often an event of this name was counted.
    pub fn counted(&self, name: &str) -> usize {
        let is_it = |effect: &&RouterEffect| matches!(effect, RouterEffect::Count(Counter::Event(event)) if *event == name);
        self.effects.iter().filter(is_it).count()
    }
}

/// Suspects of which the other gateways are to be told.
pub fn untold(effects: &[RouterEffect]) -> Vec<Fingerprint> {
    let suspect = |effect: &RouterEffect| match effect {
        RouterEffect::TellSuspect { fingerprint, .. } => Some(*fingerprint),
        _ => None,
    };
    effects.iter().filter_map(suspect).collect()
}

fn dispatch_of(effect: &RouterEffect) -> Option<(AttemptId, VmName)> {
    match effect {
        RouterEffect::Dispatch { attempt, vm, .. } => Some((*attempt, vm.clone())),
        _ => None,
    }
}

pub fn dispatched(effects: &[RouterEffect]) -> Option<(AttemptId, VmName)> {
    effects.iter().find_map(dispatch_of)
}

pub fn claimed(effects: &[RouterEffect]) -> Option<AttemptId> {
    effects.iter().find_map(|effect| match effect {
        RouterEffect::Claim { attempt, .. } => Some(*attempt),
        _ => None,
    })
}

pub fn released(effects: &[RouterEffect]) -> Vec<AttemptId> {
    let release = |effect: &RouterEffect| match effect {
        RouterEffect::ReleaseClaim { attempt, .. } => Some(*attempt),
        _ => None,
    };
    effects.iter().filter_map(release).collect()
}

pub fn ends(effects: &[RouterEffect]) -> Vec<(ArrivalId, RequestEnd)> {
    let finish = |effect: &RouterEffect| match effect {
        RouterEffect::Finish { arrival, end, .. } => Some((*arrival, end.clone())),
        _ => None,
    };
    effects.iter().filter_map(finish).collect()
}

/// The one refusal among the effects.
pub fn refusal(effects: &[RouterEffect]) -> Refusal {
    match ends(effects).as_slice() {
        [(_, RequestEnd::Refused(refusal))] => refusal.clone(),
        other => panic!("expected one refusal, got {other:?}"),
    }
}

/// Whether the effects answer every ended call with the attempt.
pub fn answers(effects: &[RouterEffect], attempt: AttemptId) -> bool {
    let ends = ends(effects);
    !ends.is_empty() && ends.iter().all(|(_, end)| *end == RequestEnd::Answered { attempt })
}

/// Settings without waits between retries, for tests that aren't about them.
pub fn eager() -> RouterSettings {
    RouterSettings {
        retry: RetrySettings {
            backoff_base: Duration::ZERO,
            budget_floor_per_s: 50.0,
            ..RetrySettings::default()
        },
        ..RouterSettings::default()
    }
}

pub fn sealed_vm(effects: &[RouterEffect]) -> Option<(AttemptId, VmName)> {
    effects.iter().find_map(|effect| match effect {
        RouterEffect::Seal { vm, attempt } => Some((*attempt, vm.clone())),
        _ => None,
    })
}

pub fn has(effects: &[RouterEffect], is_it: impl Fn(&RouterEffect) -> bool) -> bool {
    effects.iter().any(is_it)
}

pub fn told(effects: &[RouterEffect]) -> (RefusalReason, Ran) {
    let refusal = refusal(effects);
    (refusal.reason, refusal.ran)
}

pub fn number_of(name: &VmName) -> usize {
    (0..100).find(|number| vm(*number) == *name).expect("a known VM")
}
