//! A request that crashes whatever runs it, through two gateways: how many targets it takes down.

mod support;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_messages::prelude::*;
use notch_routing::{settings::QuarantineSettings, *};
use notch_types::prelude::*;
use rstest::rstest;
use support::*;

const POISON: Fingerprint = Fingerprint(5);
/// Enough for every draw of two sidecars out of four.
const SEEDS: u64 = 32;

/// How the caller's send ends while its attempt goes on.
#[derive(Debug, Clone, Copy)]
enum GivenUp {
    /// Its caller hangs up.
    CallerGone,
    /// The sidecar shows no sign of it, and doesn't answer the call for a seal.
    SealLate,
    /// Its deadline passes at the gateway before it does at the sidecar.
    DeadlinePassed,
}

/// Two gateways, told of a crash of one target with the poison and a neighbour in flight. News
/// between gateways arrives at once; what sidecars say is held back.
struct Poisoned {
    gateways: Vec<Driver>,
    /// Where the poison may still start, by attempt.
    risks: BTreeMap<AttemptId, VmName>,
    crashed: BTreeSet<VmName>,
}

impl Poisoned {
    fn new(seed: u64) -> Self {
        let gateway = |number| Driver::seeded(eager(), 4, 10, 2 * seed + number);
        let gateways = (0..2).map(gateway).collect();
        let mut world = Self { gateways, risks: BTreeMap::new(), crashed: BTreeSet::new() };
        let (vm, target) = (vm(0), TargetName::new(MODEL));
        world.crashed.insert(vm.clone());
        for gateway in 0..2 {
            let fingerprints = vec![POISON, Fingerprint(6)];
            let (vm, target) = (vm.clone(), target.clone());
            let event = RouterEvent::Suspects { vm, target, fingerprints, alone: false };
            world.feed(gateway, event);
        }
        world
    }

    fn feed(&mut self, gateway: usize, event: RouterEvent) -> Vec<RouterEffect> {
        let effects = self.gateways[gateway].feed(event);
        self.carry(gateway, &effects);
        effects
    }

    fn send(&mut self, gateway: usize, number: u64) -> Vec<RouterEffect> {
        let deadline = self.gateways[gateway].millis + 20_000;
        let deadline = Some(MonoTime::from_millis(deadline));
        let request = OnlineRequest { fingerprint: POISON, deadline, ..plain(number) };
        self.feed(gateway, RouterEvent::Arrived(request))
    }

    fn advance(&mut self, millis: u64) {
        for gateway in 0..self.gateways.len() {
            let effects = self.gateways[gateway].advance(millis);
            self.carry(gateway, &effects);
        }
    }

    fn carry(&mut self, gateway: usize, effects: &[RouterEffect]) {
        for effect in effects {
            if let RouterEffect::Dispatch { attempt, vm, .. } = effect {
                self.risks.insert(*attempt, vm.clone());
            }
            if let Some(news) = news_of(effect) {
                let other = 1 - gateway;
                let effects = self.gateways[other].feed(news);
                self.carry(other, &effects);
            }
        }
        for fingerprint in untold(effects) {
            let effects = self.gateways[gateway].feed(RouterEvent::SuspicionTold { fingerprint });
            self.carry(gateway, &effects);
        }
    }

    fn give_up(&mut self, gateway: usize, number: u64, how: GivenUp) {
        match how {
            GivenUp::CallerGone => {
                let arrival = ArrivalId(number);
                self.feed(gateway, RouterEvent::CallerGone { arrival });
            }
            GivenUp::SealLate => self.advance(2_600),
            GivenUp::DeadlinePassed => {
                let attempt = *self.risks.keys().next().expect("one is out");
                self.feed(gateway, RouterEvent::AttemptStarted { attempt });
                self.advance(20_100);
            }
        }
    }

    /// Every target where the poison was sent runs it.
    fn run_all(&mut self) {
        self.crashed.extend(std::mem::take(&mut self.risks).into_values());
    }
}

/// What the other gateway is told.
fn news_of(effect: &RouterEffect) -> Option<RouterEvent> {
    match effect {
        RouterEffect::Suspected { fingerprint, vm, alone } => {
            let (fingerprint, vm, alone) = (*fingerprint, vm.clone(), *alone);
            Some(RouterEvent::SuspectSeen { fingerprint, vm, alone })
        }
        RouterEffect::Quarantine { fingerprint, .. } => {
            Some(RouterEvent::QuarantineSeen(vec![*fingerprint]))
        }
        RouterEffect::SuspectRun { fingerprint, attempt, left } => {
            let (fingerprint, attempt, left) = (*fingerprint, *attempt, *left);
            Some(RouterEvent::SuspectRunSeen { fingerprint, attempt, left })
        }
        _ => None,
    }
}

// Symptom: one request crashes three targets.
// Sequence: it is a suspect after a first crash and runs alone at a second target; its send is
// given up without a word of that attempt; its caller sends it again, through the same gateway or
// the other one; then both attempts run.
// Cause: an attempt counts as over when its send is given up, and the other gateway never hears
// that it is out.
#[rstest]
fn a_given_up_suspect_is_not_sent_beside_its_first_attempt(
    #[values(GivenUp::CallerGone, GivenUp::SealLate, GivenUp::DeadlinePassed)] how: GivenUp,
    #[values(0, 1)] second: usize,
) {
    // Which sidecars are drawn is up to the seed.
    for seed in 0..SEEDS {
        let mut world = Poisoned::new(seed);
        assert!(dispatched(&world.send(0, 1)).is_some(), "it runs alone");
        world.give_up(0, 1, how);
        world.send(second, 2);
        world.advance(100);
        world.run_all();
        assert!(world.crashed.len() <= 2, "seed {seed}: {:?} crashed", world.crashed);
    }
}

// Symptom: one request crashes three targets.
// Sequence: it is a suspect and runs alone through one gateway; another send of it comes to the
// other gateway meanwhile.
// Cause: the other gateway never hears that an attempt of it is out.
#[test]
fn a_suspect_runs_at_one_gateway_at_a_time() {
    let mut world = Poisoned::new(0);
    let (first, _) = dispatched(&world.send(0, 1)).expect("it runs alone");
    let refusal = refusal(&world.send(1, 2));
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::Overloaded, Ran::No));
    assert!(refusal.retry_after_ms.is_some(), "its caller is told when to come back");
    // It did no harm: nothing holds the next send back.
    let outcome = AttemptOutcome::Complete { status: 200 };
    world.feed(0, RouterEvent::AttemptEnded { attempt: first, outcome, first_token: None });
    assert!(dispatched(&world.send(1, 3)).is_some());
}

// Symptom: one request crashes three targets.
// Sequence: it is a suspect and runs alone; its send is given up; its target crashes, and the one
// word of that is the attempt's end, for its sidecar took the cut for a hang-up.
// Cause: the end of an attempt that was given up is late news, and dropped.
#[rstest]
fn a_crash_of_a_given_up_suspect_counts(
    #[values(GivenUp::CallerGone, GivenUp::SealLate, GivenUp::DeadlinePassed)] how: GivenUp,
    #[values(0, 1)] second: usize,
) {
    let mut world = Poisoned::new(0);
    let (attempt, place) = dispatched(&world.send(0, 1)).expect("it runs alone");
    assert_ne!(place, vm(0), "at a second target");
    world.give_up(0, 1, how);
    let outcome = AttemptOutcome::Crashed;
    world.feed(0, RouterEvent::AttemptEnded { attempt, outcome, first_token: None });
    assert_eq!(told(&world.send(second, 2)).0, RefusalReason::Quarantined);
}

// Symptom: a booking that crashes whatever runs it takes down two targets at once.
// Sequence: two sends of it under two keys ask for their claims; both claims are granted.
// Cause: the second one was looked at before the first went out, and not again.
#[test]
fn a_suspect_whose_claim_comes_second_is_not_sent() {
    let mut world = Poisoned::new(0);
    let mut claims = Vec::new();
    for number in [1, 2] {
        let request = OnlineRequest { fingerprint: POISON, ..booking(number, number) };
        let effects = world.feed(0, RouterEvent::Arrived(request));
        claims.push(claimed(&effects).expect("the ledger is asked"));
    }
    let grant = |attempt: AttemptId| {
        let (request, result) = (attempt.request, Ok(ClaimVerdict::Granted));
        RouterEvent::ClaimAnswered { request, attempt, result }
    };
    assert!(dispatched(&world.feed(0, grant(claims[0]))).is_some());
    let effects = world.feed(0, grant(claims[1]));
    assert_eq!(told(&effects), (RefusalReason::Overloaded, Ran::No));
    assert_eq!(released(&effects), [claims[1]], "its claim is free again");
}

// Symptom: an innocent request is refused for minutes after its caller hung up once.
// Sequence: a suspect's send is given up; the sidecar says how its attempt ended, or that it never
// started, or nobody ever says; its caller sends it again.
// Cause: an attempt that was given up is held against the request for ever.
#[rstest]
#[case::stopped(Some(true))]
#[case::never_started(Some(false))]
#[case::nothing_heard(None)]
fn a_given_up_suspect_may_run_again_once_its_attempt_is_over(
    #[case] started: Option<bool>,
    #[values(0, 1)] second: usize,
) {
    let mut world = Poisoned::new(0);
    let (attempt, _) = dispatched(&world.send(0, 1)).expect("it runs alone");
    world.give_up(0, 1, GivenUp::CallerGone);
    match started {
        Some(true) => {
            let outcome = AttemptOutcome::Cancelled;
            world.feed(0, RouterEvent::AttemptEnded { attempt, outcome, first_token: None });
        }
        Some(false) => {
            let reason = RefusalReason::Cancelled;
            let refusal = AttemptRefusal { attempt, reason, retry_after_ms: None };
            world.feed(0, RouterEvent::AttemptRefused(refusal));
        }
        None => world.advance(Duration::from_secs(26).as_millis() as u64),
    }
    assert!(dispatched(&world.send(second, 2)).is_some());
}

/// Two gateways that know of no crash. News between them, and what sidecars tell both, is slower than
/// a caller that was told how its send ended.
struct SlowNews {
    gateways: Vec<Driver>,
    /// What a gateway hasn't heard yet.
    news: Vec<Vec<RouterEvent>>,
    crashed: BTreeSet<VmName>,
}

impl SlowNews {
    /// Longer than any gateway holds an end back for the others.
    const LONG: u64 = 2_000;

    fn new(seed: u64) -> Self {
        let gateway = |number| Driver::seeded(eager(), 4, 10, 2 * seed + number);
        let gateways = (0..2).map(gateway).collect();
        Self { gateways, news: vec![Vec::new(), Vec::new()], crashed: BTreeSet::new() }
    }

    /// Sends the poison through a gateway, as a stream whose first bytes reach its caller; its target
    /// crashes, beside a neighbour unless it runs alone. Gives how the send ended.
    fn send(&mut self, gateway: usize, number: u64) -> Refusal {
        let request = OnlineRequest { fingerprint: POISON, stream: true, ..plain(number) };
        let mut effects = self.gateways[gateway].arrive(request);
        if let Some((attempt, vm)) = dispatched(&effects) {
            let is_alone = has(&effects, |effect| {
                matches!(effect, RouterEffect::Dispatch { alone: true, .. })
            });
            effects.extend(self.crash(gateway, attempt, vm, is_alone));
        }
        self.note_news(gateway, &effects);
        if ends(&effects).is_empty() {
            self.hear_all();
            effects.extend(self.gateways[gateway].advance(Self::LONG));
        }
        refusal(&effects)
    }

    fn crash(
        &mut self,
        gateway: usize,
        attempt: AttemptId,
        vm: VmName,
        alone: bool,
    ) -> Vec<RouterEffect> {
        self.crashed.insert(vm.clone());
        let mut fingerprints = vec![POISON];
        if !alone {
            // Another neighbour beside each gateway's send.
            fingerprints.push(Fingerprint(100 + gateway as u128));
        }
        let named =
            RouterEvent::Suspects { vm, target: TargetName::new(MODEL), fingerprints, alone };
        self.news[1 - gateway].push(named.clone());
        let gateway = &mut self.gateways[gateway];
        let first_token = Duration::from_millis(5);
        let mut effects = gateway.feed(RouterEvent::AnswerBegun { attempt, first_token });
        effects.extend(gateway.feed(named));
        effects.extend(gateway.end(attempt, AttemptOutcome::Crashed));
        effects
    }

    fn note_news(&mut self, gateway: usize, effects: &[RouterEffect]) {
        self.news[1 - gateway].extend(effects.iter().filter_map(news_of));
    }

    /// Everything told so far arrives.
    fn hear_all(&mut self) {
        for gateway in 0..2 {
            for event in std::mem::take(&mut self.news[gateway]) {
                let effects = self.gateways[gateway].feed(event);
                assert!(ends(&effects).is_empty(), "nobody waits there");
            }
        }
    }
}

// Symptom: one request crashes three targets.
// Sequence: it crashes a target beside a neighbour, and its caller is told; the caller sends it again at
// once through the other gateway, which sends it out beside a neighbour of its own, to a second target;
// two crashes with company name nobody, so a third one, alone, is needed.
// Cause: the end of a send overtakes the word of the crash that ended it. With the word held back for as long as
// the caller took, the two gateways' `suspects_named` lines both have two names, and a third has one.
#[test]
fn a_caller_hears_of_a_crash_after_the_other_gateway() {
    for seed in 0..SEEDS {
        let mut world = SlowNews::new(seed);
        let mut sends = 0;
        loop {
            sends += 1;
            let told = world.send(sends as usize % 2, sends);
            if told.reason == RefusalReason::Quarantined {
                break;
            }
            assert!(sends < 10, "seed {seed}: never quarantined");
        }
        assert!(world.crashed.len() <= 2, "seed {seed}: {:?} crashed", world.crashed);
    }
}

/// A send whose stream has begun and whose target has crashed, beside a neighbour; its gateway has others to tell.
fn crashed_send(gateway: &mut Driver) -> Vec<RouterEffect> {
    let request = OnlineRequest { fingerprint: POISON, stream: true, ..plain(1) };
    let (attempt, _) = gateway.dispatch(request);
    gateway.feed(RouterEvent::AnswerBegun { attempt, first_token: Duration::from_millis(5) });
    gateway.end(attempt, AttemptOutcome::Crashed)
}

#[test]
fn an_end_is_told_once_the_other_gateways_have_answered() {
    let mut gateway = Driver::seeded(eager(), 4, 10, 1);
    let effects = crashed_send(&mut gateway);
    assert_eq!(untold(&effects), [POISON]);
    assert!(ends(&effects).is_empty(), "its caller waits");
    assert_eq!(gateway.router.unfinished(), 1, "a stop waits for it");
    let told = gateway.feed(RouterEvent::SuspicionTold { fingerprint: POISON });
    assert_eq!(refusal(&told).reason, RefusalReason::TargetFailed);
    assert_eq!(gateway.router.unfinished(), 0);
}

// Symptom: a caller waits for its deadline after a crash.
// Sequence: a target crashes while another gateway's link stands but nobody answers on it.
// Cause: the end waits for that gateway for as long as it takes.
#[test]
fn a_silent_gateway_holds_an_end_back_for_a_moment_only() {
    let mut gateway = Driver::seeded(eager(), 4, 10, 1);
    crashed_send(&mut gateway);
    let wait = QuarantineSettings::default().tell_wait.as_millis() as u64;
    assert!(ends(&gateway.advance(wait - 1)).is_empty());
    assert_eq!(refusal(&gateway.advance(1)).reason, RefusalReason::TargetFailed);
}

// Symptom: a caller is told that its booking has not run, and it has.
// Sequence: a send of a suspect is refused as not run while the other gateways are being told of its crash; the same
// request comes again and runs; then the first caller is told.
// Cause: an end that was kept back is told after a later send has run.
#[test]
fn not_run_is_told_before_the_same_request_is_sent_again() {
    let mut gateway = Driver::seeded(eager(), 4, 10, 1);
    crashed_send(&mut gateway);
    let suspect = OnlineRequest { fingerprint: POISON, keyed: true, ..booking(2, 2) };
    let deadline = Some(gateway.now().mono);
    let effects = gateway.arrive(OnlineRequest { deadline, ..suspect.clone() });
    assert!(ends(&effects).is_empty(), "it waits with the others");
    let effects = gateway.arrive(OnlineRequest { arrival: ArrivalId(3), ..suspect });
    let first = effects
        .iter()
        .position(|effect| matches!(effect, RouterEffect::Finish { arrival: ArrivalId(2), .. }));
    let second = effects.iter().position(|effect| matches!(effect, RouterEffect::Claim { .. }));
    assert!(first.is_some() && first < second, "{effects:?}");
}
