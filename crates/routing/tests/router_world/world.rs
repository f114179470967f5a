//! Two routers, a ledger and three sidecars, and the naive truth about what ran.

use std::collections::{BTreeMap, BTreeSet};

use notch_messages::prelude::*;
use notch_routing::{settings::*, *};
use notch_types::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    steps::Step,
    support::{self, *},
};

pub(crate) const ROUTERS: usize = 2;
pub(crate) const VMS: usize = 3;

#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Work {
    Waiting { router: usize, deadline: u64 },
    Running { router: usize, deadline: u64 },
    Ended,
    Sealed,
}

#[derive(Debug, Clone)]
pub(crate) enum Message {
    ToRouter(usize, RouterEvent),
    Offer { router: usize, vm: usize, attempt: AttemptId, deadline: u64 },
    Seal { router: usize, vm: usize, attempt: AttemptId },
    Cancel { vm: usize, attempt: AttemptId },
    Start { vm: usize, attempt: AttemptId },
    End { vm: usize, attempt: AttemptId },
    Store { router: usize, effect: RouterEffect },
}

#[derive(Default)]
pub(crate) struct Row {
    pub(crate) holder: Option<AttemptId>,
    pub(crate) fingerprint: Option<Fingerprint>,
    pub(crate) answer: Option<StoredAnswer>,
}

pub(crate) struct Sidecar {
    pub(crate) incarnation: Incarnation,
    pub(crate) work: BTreeMap<AttemptId, Work>,
    pub(crate) silent_until: u64,
}

/// What one router told of a request since it took it in.
#[derive(Default)]
pub(crate) struct Course {
    pub(crate) delivered: Option<AttemptId>,
}

pub(crate) struct World {
    pub(crate) rng: SmallRng,
    pub(crate) millis: u64,
    pub(crate) routers: Vec<OnlineRouter>,
    pub(crate) sidecars: Vec<Sidecar>,
    pub(crate) rows: BTreeMap<RequestId, Row>,
    pub(crate) store_down_until: u64,
    pub(crate) mail: BTreeMap<(u64, u64), Message>,
    pub(crate) mailed: u64,
    pub(crate) arrivals: u64,
    pub(crate) open: BTreeSet<(usize, ArrivalId)>,
    pub(crate) finished: BTreeMap<ArrivalId, usize>,
    pub(crate) once: BTreeSet<RequestId>,
    /// The naive truth: which attempts ran, and how often each request did.
    pub(crate) ran: BTreeSet<AttemptId>,
    pub(crate) runs: BTreeMap<RequestId, usize>,
    pub(crate) whole: BTreeSet<AttemptId>,
    pub(crate) dispatched: Vec<(usize, AttemptId)>,
    /// Attempts that "not run" spoke of: none of them may run, before or after.
    pub(crate) sworn: BTreeSet<AttemptId>,
    pub(crate) answered: BTreeMap<RequestId, BTreeSet<AttemptId>>,
    pub(crate) courses: BTreeMap<(usize, RequestId), Course>,
    /// Whether "not run" also speaks of sends through the other router.
    pub(crate) strict: bool,
}

impl World {
    pub(crate) fn new(seed: u64, strict: bool) -> Self {
        let settings = RouterSettings {
            claim: ClaimSettings { doubt_other_gateways: strict, ..ClaimSettings::default() },
            ..eager()
        };
        let routers = (0..ROUTERS)
            .map(|number| OnlineRouter::new(settings.clone(), seed ^ (number as u64 + 1)))
            .collect();
        let sidecars = (0..VMS)
            .map(|number| Sidecar {
                incarnation: incarnation(number),
                work: BTreeMap::new(),
                silent_until: 0,
            })
            .collect();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(seed),
            millis: 1_000,
            routers,
            sidecars,
            rows: BTreeMap::new(),
            store_down_until: 0,
            mail: BTreeMap::new(),
            mailed: 0,
            arrivals: 0,
            open: BTreeSet::new(),
            finished: BTreeMap::new(),
            once: BTreeSet::new(),
            ran: BTreeSet::new(),
            runs: BTreeMap::new(),
            whole: BTreeSet::new(),
            dispatched: Vec::new(),
            sworn: BTreeSet::new(),
            answered: BTreeMap::new(),
            courses: BTreeMap::new(),
            strict,
        };
        for router in 0..ROUTERS {
            world.feed(router, RouterEvent::TargetsChanged(policies()));
            for number in 0..VMS {
                world.see(router, number);
            }
        }
        world
    }

    pub(crate) fn welcome(&self, number: usize) -> RouterEvent {
        let incarnation = self.sidecars[number].incarnation;
        RouterEvent::SidecarSeen {
            vm: vm(number),
            domain: DomainName::new("lahore-a"),
            incarnation,
            load: report(incarnation, 1, 4),
        }
    }

    pub(crate) fn see(&mut self, router: usize, number: usize) {
        let seen = self.welcome(number);
        self.feed(router, seen);
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Plain { router, stream, deadline } => {
                let request = plain(self.next_arrival());
                self.arrive(router, OnlineRequest { stream, ..request }, deadline);
            }
            Step::Keyed { router, key, body, stream, deadline } => {
                let request = booking(self.next_arrival(), key);
                let path = "/read".to_owned();
                let fingerprint = body_of(key, body);
                let request = OnlineRequest { path, stream, fingerprint, ..request };
                self.arrive(router, request, deadline);
            }
            Step::Booking { router, key, body, deadline } => {
                let request = booking(self.next_arrival(), key);
                self.once.insert(request.request);
                let fingerprint = body_of(key, body);
                self.arrive(router, OnlineRequest { fingerprint, ..request }, deadline);
            }
            Step::CallerGone { router } => {
                let open = self.open.iter().rev().find(|(at, _)| *at == router).copied();
                if let Some((_, arrival)) = open {
                    self.feed(router, RouterEvent::CallerGone { arrival });
                }
            }
            Step::Advance(millis) => self.advance(millis),
            Step::Crash { vm } => self.crash(vm),
            Step::Restart { vm } => self.restart(vm),
            Step::Silence { vm, millis } => {
                self.sidecars[vm].silent_until = self.millis + millis;
                self.tell_all(RouterEvent::SidecarSilent { vm: support::vm(vm) });
                for router in 0..ROUTERS {
                    let back = RouterEvent::SidecarBack { vm: support::vm(vm) };
                    self.post(millis, Message::ToRouter(router, back));
                }
            }
            Step::Lose { vm, router } => self.lose(vm, router),
            Step::Gone { vm, millis } => self.lose_sight(vm, millis),
            Step::Leaving { vm } => {
                self.tell_all(RouterEvent::SidecarLeaving { vm: support::vm(vm) });
                for router in 0..ROUTERS {
                    let stays = RouterEvent::SidecarStaying { vm: support::vm(vm) };
                    self.post(700, Message::ToRouter(router, stays));
                }
            }
            Step::StoreDown(millis) => self.store_down_until = self.millis + millis,
            Step::Leave { router } => self.feed(router, RouterEvent::Leave),
        }
    }

    pub(crate) fn next_arrival(&mut self) -> u64 {
        self.arrivals += 1;
        self.arrivals
    }

    pub(crate) fn arrive(&mut self, router: usize, request: OnlineRequest, deadline: u64) {
        self.open.insert((router, request.arrival));
        self.finished.insert(request.arrival, 0);
        let deadline = Some(MonoTime::from_millis(self.millis + deadline));
        self.feed(router, RouterEvent::Arrived(OnlineRequest { deadline, ..request }));
    }

    pub(crate) fn tell_all(&mut self, event: RouterEvent) {
        for router in 0..ROUTERS {
            self.feed(router, event.clone());
        }
    }

    pub(crate) fn crash(&mut self, number: usize) {
        let running: Vec<AttemptId> = self.sidecars[number]
            .work
            .iter()
            .filter(|(_, work)| matches!(work, Work::Running { .. }))
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in running {
            self.finish_work(number, attempt, AttemptOutcome::Crashed);
        }
    }

    pub(crate) fn restart(&mut self, number: usize) {
        let sidecar = &mut self.sidecars[number];
        sidecar.incarnation = Incarnation(sidecar.incarnation.0 + 100);
        sidecar.work.clear();
        for router in 0..ROUTERS {
            if self.rng.random_bool(0.5) {
                self.see(router, number);
            } else {
                let seen = self.welcome(number);
                self.post(300, Message::ToRouter(router, seen));
            }
        }
    }

    /// Told as gone though it runs on; seen again later.
    pub(crate) fn lose_sight(&mut self, number: usize, millis: u64) {
        self.sidecars[number].silent_until = self.millis + millis;
        self.tell_all(RouterEvent::SidecarGone { vm: vm(number) });
        for router in 0..ROUTERS {
            let seen = self.welcome(number);
            self.post(millis, Message::ToRouter(router, seen));
        }
    }

    pub(crate) fn lose(&mut self, number: usize, router: usize) {
        let incarnation = self.sidecars[number].incarnation;
        let there: Vec<AttemptId> = self
            .dispatched
            .iter()
            .filter(|(by, attempt)| *by == router && attempt.incarnation == incarnation)
            .map(|(_, attempt)| *attempt)
            .collect();
        for attempt in there {
            self.feed(router, RouterEvent::AttemptLost { attempt });
        }
    }

    pub(crate) fn post(&mut self, delay: u64, message: Message) {
        self.mailed += 1;
        self.mail.insert((self.millis + delay, self.mailed), message);
    }

    /// Through a link: late, out of order, lost while it is silent and now and then besides.
    pub(crate) fn post_link(&mut self, number: usize, message: Message) {
        let is_silent = self.sidecars[number].silent_until > self.millis;
        let delay = if self.rng.random_bool(0.05) { 3_000 } else { self.rng.random_range(0..60) };
        if !is_silent && !self.rng.random_bool(0.03) {
            self.post(delay, message);
        }
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.millis + millis;
        loop {
            let mail = self.mail.keys().next().map(|(at, _)| *at);
            let wake = self
                .routers
                .iter()
                .filter_map(OnlineRouter::next_wake)
                .min()
                .map(|at| at.0.div_ceil(1_000));
            let Some(next) = mail.into_iter().chain(wake).min().filter(|at| *at <= end) else {
                break;
            };
            self.millis = self.millis.max(next);
            if mail == Some(next) {
                let (_, message) = self.mail.pop_first().expect("mail");
                self.handle_mail(message);
            } else {
                self.tell_all(RouterEvent::Tick);
            }
        }
        self.millis = end;
    }

    pub(crate) fn handle_mail(&mut self, message: Message) {
        match message {
            Message::ToRouter(router, event) => self.feed(router, event),
            Message::Offer { router, vm, attempt, deadline } => {
                self.offer(router, vm, attempt, deadline);
            }
            Message::Seal { router, vm, attempt } => self.seal(router, vm, attempt),
            Message::Cancel { vm, attempt } => match self.sidecars[vm].work.get(&attempt) {
                Some(Work::Waiting { .. }) | None => {
                    self.sidecars[vm].work.insert(attempt, Work::Sealed);
                }
                Some(Work::Running { .. }) => {
                    self.finish_work(vm, attempt, AttemptOutcome::Cancelled);
                }
                Some(Work::Ended | Work::Sealed) => {}
            },
            Message::Start { vm, attempt } => self.start_work(vm, attempt),
            Message::End { vm, attempt } => {
                let outcome = match self.rng.random_range(0..20) {
                    0 => AttemptOutcome::Failed { status: 500, retryable: true },
                    1 => AttemptOutcome::Failed { status: 422, retryable: false },
                    2 => AttemptOutcome::Failed { status: 0, retryable: true },
                    3 => AttemptOutcome::DeadlinePassed,
                    _ => AttemptOutcome::Complete { status: 200 },
                };
                self.finish_work(vm, attempt, outcome);
            }
            Message::Store { router, effect } => self.store(router, effect),
        }
    }

    pub(crate) fn feed(&mut self, router: usize, event: RouterEvent) {
        let mut effects = Vec::new();
        self.routers[router].handle(Now::at_millis(self.millis), event, &mut effects);
        for effect in effects {
            self.apply(router, effect);
        }
    }

    pub(crate) fn apply(&mut self, router: usize, effect: RouterEffect) {
        match effect {
            RouterEffect::Dispatch { request, attempt, vm, deadline_left, .. } => {
                assert!(!deadline_left.is_zero(), "nothing expired is dispatched");
                let course = self.courses.entry((router, request)).or_default();
                assert_eq!(course.delivered, None, "no attempt is joined to a begun answer");
                let is_new = self.dispatched.iter().all(|(_, other)| *other != attempt);
                assert!(is_new, "attempt ids are never used twice");
                assert!(!self.sworn.contains(&attempt), "never dispatched after 'not run'");
                if self.once.contains(&request) {
                    assert_eq!(self.rows[&request].holder, Some(attempt), "claimed first");
                }
                self.dispatched.push((router, attempt));
                let number = vm_number(&vm);
                let deadline = self.millis + deadline_left.as_millis() as u64;
                self.post_link(number, Message::Offer { router, vm: number, attempt, deadline });
            }
            RouterEffect::Seal { vm, attempt } => {
                let number = vm_number(&vm);
                self.post_link(number, Message::Seal { router, vm: number, attempt });
            }
            RouterEffect::Cancel { vm, attempt } => {
                let number = vm_number(&vm);
                self.post_link(number, Message::Cancel { vm: number, attempt });
            }
            RouterEffect::Deliver { request, attempt } => {
                let course = self.courses.entry((router, request)).or_default();
                assert_eq!(course.delivered, None, "one attempt is delivered");
                course.delivered = Some(attempt);
            }
            RouterEffect::Forget { request } => {
                self.courses.remove(&(router, request));
            }
            RouterEffect::Finish { arrival, request, end } => {
                self.finish(router, arrival, request, end);
            }
            RouterEffect::Count(_) | RouterEffect::Note(_) => {}
            effect => {
                let delay = self.rng.random_range(0..40);
                self.post(delay, Message::Store { router, effect });
            }
        }
    }

    pub(crate) fn finish(
        &mut self,
        router: usize,
        arrival: ArrivalId,
        request: RequestId,
        end: RequestEnd,
    ) {
        assert!(self.open.remove(&(router, arrival)), "{arrival:?} ends once");
        *self.finished.get_mut(&arrival).expect("it arrived") += 1;
        match end {
            RequestEnd::Answered { attempt } => {
                assert!(self.whole.contains(&attempt), "only a whole answer is an answer");
                assert_eq!(attempt.request, request);
                let course = &self.courses[&(router, request)];
                assert_eq!(course.delivered, Some(attempt));
                self.answered.entry(request).or_default().insert(attempt);
            }
            RequestEnd::Stored(answer) => {
                assert_eq!(self.rows[&request].answer.as_ref(), Some(&answer));
            }
            // The body that was refused is not the one that the key's request ran.
            RequestEnd::Refused(refusal) if refusal.reason == RefusalReason::KeyReused => {}
            RequestEnd::Refused(refusal) if refusal.ran == Ran::No => {
                let spoken_of = self
                    .dispatched
                    .iter()
                    .filter(|(by, attempt)| {
                        attempt.request == request && (self.strict || *by == router)
                    })
                    .map(|(_, attempt)| *attempt);
                self.sworn.extend(spoken_of);
            }
            RequestEnd::Refused(_) => {}
        }
    }

    pub(crate) fn check(&self) {
        for (arrival, finishes) in &self.finished {
            assert_eq!(*finishes, 1, "{arrival:?} has one end");
        }
        for attempt in &self.sworn {
            assert!(!self.ran.contains(attempt), "{attempt} was told as not run, yet it ran");
        }
        for request in &self.once {
            let runs = self.runs.get(request).copied().unwrap_or_default();
            assert!(runs <= 1, "{request} must run at most once and ran {runs} times");
            let answers = self.answered.get(request).map_or(0, BTreeSet::len);
            assert!(answers <= 1, "{request} has one answer");
        }
        for router in &self.routers {
            assert_eq!(router.unfinished(), 0, "nothing is kept for ever");
        }
    }
}

fn vm_number(name: &VmName) -> usize {
    (0..VMS).find(|number| vm(*number) == *name).expect("a known VM")
}

/// Mostly the key's own body, now and then another one under the same key.
fn body_of(key: u64, body: u64) -> Fingerprint {
    Fingerprint(u128::from(key * 10 + u64::from(body == 0)))
}
