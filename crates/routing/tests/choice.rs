//! The choice of a sidecar against a naive one.

mod support;

use notch_routing::{
    settings::ChoiceSettings,
    sidecar_choice::{ChoiceCandidate, choose},
    *,
};
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{SeedableRng, rngs::SmallRng};
use rstest::rstest;
use support::*;

fn candidates() -> impl Strategy<Value = Vec<ChoiceCandidate>> {
    let candidate = (0..40_u32, any::<bool>(), prop::bool::weighted(0.2))
        .prop_map(|(load, near, warm)| (f64::from(load) / 20.0, near, warm));
    prop::collection::vec(candidate, 1..8).prop_map(|rows| {
        let row = |(sidecar, (score, near, warm))| ChoiceCandidate { sidecar, score, near, warm };
        rows.into_iter().enumerate().map(row).collect()
    })
}

/// How likely each candidate is picked: every pair of distinct draws and every warm draw is
/// tried out, and the lowest score after tilts wins; the earlier draw wins a tie.
fn naive_odds(candidates: &[ChoiceCandidate], settings: &ChoiceSettings) -> Vec<f64> {
    let cost = |place: usize| {
        let ChoiceCandidate { score, near, warm, .. } = candidates[place];
        let is_warm = warm && score < settings.warm_ceiling;
        score
            - if near { settings.near_tilt } else { 0.0 }
            - if is_warm { settings.warm_tilt } else { 0.0 }
    };
    let places: Vec<usize> = (0..candidates.len()).collect();
    let is_warm =
        |place: &usize| candidates[*place].warm && candidates[*place].score < settings.warm_ceiling;
    let warm: Vec<usize> = places.iter().copied().filter(is_warm).collect();
    let mut draws = Vec::new();
    for first in &places {
        for second in places.iter().filter(|second| candidates.len() == 1 || *second != first) {
            if warm.is_empty() {
                draws.push(vec![*first, *second]);
            }
            draws.extend(warm.iter().map(|warm| vec![*first, *second, *warm]));
        }
    }
    let mut odds = vec![0.0; candidates.len()];
    for draw in &draws {
        let best = draw.iter().copied().reduce(
            |best, next| {
                if cost(next) < cost(best) { next } else { best }
            },
        );
        odds[best.expect("a draw")] += 1.0 / draws.len() as f64;
    }
    odds
}

/// One sidecar as the naive filter sees it.
#[derive(Debug, Clone)]
struct Plain {
    load: u32,
    limit: u32,
    up: bool,
    silent: bool,
    told_leaving: bool,
    reports_leaving: bool,
    failures: u32,
}

impl Plain {
    fn is_candidate(&self) -> bool {
        let full = self.load >= self.limit * 3 / 2;
        self.up
            && !self.silent
            && !self.told_leaving
            && !self.reports_leaving
            && self.failures < 3
            && !full
    }
}

fn plain_sidecars() -> impl Strategy<Value = Vec<Plain>> {
    let rarely = || prop::bool::weighted(0.2);
    let sidecar = (
        (0..8_u32, 0..5_u32, prop::bool::weighted(0.8)),
        (rarely(), rarely(), rarely()),
        prop_oneof![3 => Just(0_u32), 1 => 0..5_u32],
    )
        .prop_map(|((load, limit, up), (silent, told_leaving, reports_leaving), failures)| Plain {
            load,
            limit,
            up,
            silent,
            told_leaving,
            reports_leaving,
            failures,
        });
    prop::collection::vec(sidecar, 0..6)
}

/// Brings a router to know the sidecars, failures first so that loads don't matter for them.
fn driver_for(sidecars: &[Plain]) -> Driver {
    let retry = settings::RetrySettings { max_attempts: 1, ..Default::default() };
    let mut driver = Driver::new(RouterSettings { retry, ..Default::default() }, 0, 0);
    for (number, sidecar) in sidecars.iter().enumerate() {
        driver.see(number, incarnation(number), 1);
        for failure in 0..sidecar.failures.min(3) {
            let number = 1_000_000 + (number as u64) * 10 + u64::from(failure);
            let (attempt, _) = driver.dispatch(plain(number));
            driver.end(attempt, AttemptOutcome::Failed { status: 500, retryable: true });
        }
        let mut report = report(incarnation(number), 2, sidecar.limit);
        report.leaving = sidecar.reports_leaving;
        for line in &mut report.targets {
            line.online_running = sidecar.load;
            line.up = sidecar.up;
        }
        driver.feed(RouterEvent::SidecarLoad { vm: vm(number), report });
        // Keeps it out of the way of the next one's failures.
        driver.feed(RouterEvent::SidecarSilent { vm: vm(number) });
    }
    for (number, sidecar) in sidecars.iter().enumerate() {
        if !sidecar.silent {
            driver.feed(RouterEvent::SidecarBack { vm: vm(number) });
        }
        if sidecar.told_leaving {
            driver.feed(RouterEvent::SidecarLeaving { vm: vm(number) });
        }
    }
    driver
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 60,
        rng_seed: RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn is_drawn_as_often_as_the_naive_odds_say(candidates in candidates(), seed in any::<u64>()) {
        let settings = ChoiceSettings::default();
        let mut rng = SmallRng::seed_from_u64(seed);
        let draws = 20_000;
        let mut drawn = vec![0.0; candidates.len()];
        for _ in 0..draws {
            let place = choose(&candidates, &settings, &mut rng).expect("there are candidates");
            drawn[place] += 1.0 / f64::from(draws);
        }
        for (drawn, odds) in drawn.iter().zip(naive_odds(&candidates, &settings)) {
            prop_assert!((drawn - odds).abs() < 0.02, "drawn {drawn}, odds {odds}");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(32),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn goes_only_where_a_naive_filter_would(sidecars in plain_sidecars()) {
        let mut driver = driver_for(&sidecars);
        let effects = driver.arrive(plain(1));
        let any = sidecars.iter().any(Plain::is_candidate);
        match dispatched(&effects) {
            Some((_, name)) => {
                let chosen = (0..sidecars.len()).find(|number| vm(*number) == name);
                prop_assert!(sidecars[chosen.expect("a known VM")].is_candidate());
            }
            None => {
                prop_assert!(!any, "a candidate was passed over: {:?}", ends(&effects));
                let refusal = refusal(&effects);
                prop_assert_eq!(refusal.ran, Ran::No);
                prop_assert!(refusal.retry_after_ms.is_some());
            }
        }
    }
}

// Symptom: one sidecar is overloaded while the others idle.
// Sequence: a burst of requests with one prompt head, which one sidecar's cache holds.
// Cause: cache hints followed without a bound.
#[test]
fn a_hot_prefix_does_not_overload_its_sidecar() {
    let mut driver = Driver::new(RouterSettings::default(), 16, 10);
    let mut warm = report(incarnation(3), 2, 10);
    warm.warm_prefixes = vec![77];
    driver.feed(RouterEvent::SidecarLoad { vm: vm(3), report: warm });
    let chosen: Vec<VmName> = (0..100)
        .map(|number| driver.dispatch(OnlineRequest { prefix: Some(77), ..plain(number) }).1)
        .collect();
    // A tilt of 0.3 is worth three of ten places over an idle sidecar.
    assert!(chosen[..3].iter().all(|name| *name == vm(3)), "the hint is followed: {chosen:?}");
    let count = chosen.iter().filter(|name| **name == vm(3)).count();
    assert!(count <= 10, "{count} of 100 went to the warm sidecar with a limit of 10");
}

// Symptom: replies cross failure domains though the own one has room; or the near sidecars drown
// while the far ones idle.
// Sequence: equal sidecars in two domains get a steady load.
// Cause: no preference, or one without a bound.
#[test]
fn the_near_domain_is_preferred_within_a_bound() {
    let settings = RouterSettings { domain: "near".to_owned(), ..RouterSettings::default() };
    let mut driver = Driver::new(settings, 0, 0);
    for number in 0..16 {
        let domain = DomainName::new(if number < 8 { "near" } else { "far" });
        let load = report(incarnation(number), 1, 10);
        let incarnation = incarnation(number);
        driver.feed(RouterEvent::SidecarSeen { vm: vm(number), domain, incarnation, load });
    }
    let near: Vec<VmName> = (0..8).map(vm).collect();
    let chosen: Vec<VmName> = (0..120).map(|number| driver.dispatch(plain(number)).1).collect();
    let count = chosen.iter().filter(|name| near.contains(name)).count();
    assert!((61..=75).contains(&count), "{count} of 120 stayed near");
}

// Symptom: callers wait though nobody can serve them, or come back all at once or too early.
// Sequence: every sidecar is full; service was measured at two seconds.
// Cause: a queue at the gateway, or a made-up time to come back.
#[rstest]
#[case::service_measured(40, 1_000..=4_000)]
#[case::nothing_measured(0, 50..=400)]
fn a_full_target_refuses_at_once_with_a_measured_time(
    #[case] measured: u64,
    #[case] expected: std::ops::RangeInclusive<u64>,
) {
    let mut driver = Driver::new(RouterSettings::default(), 2, 2);
    for number in 0..measured {
        let (attempt, _) = driver.dispatch(plain(1_000 + number));
        driver.feed(RouterEvent::AttemptStarted { attempt });
        driver.advance(2_000);
        driver.complete(attempt);
    }
    for number in 0..6 {
        driver.dispatch(plain(number));
    }
    let refused = refusal(&driver.arrive(plain(6)));
    assert_eq!((refused.reason, refused.ran), (RefusalReason::Overloaded, Ran::No));
    let wait = refused.retry_after_ms.expect("a time");
    assert!(expected.contains(&wait), "told to wait {wait} ms");
    // The other target's requests are not behind these: here only the services' slots count.
    driver.dispatch_booking(booking(7, 1));
}

// Symptom: a request is dispatched and ends at its deadline without ever having had a chance.
// Sequence: the queue at every sidecar is longer than the time that is left.
// Cause: the queue's length not weighed against the deadline.
#[test]
fn a_queue_longer_than_the_deadline_is_refused_at_once() {
    let mut driver = Driver::new(RouterSettings::default(), 1, 2);
    for number in 0..2 {
        driver.dispatch(plain(number));
    }
    let deadline = Some(MonoTime::from_millis(driver.millis + 90));
    let refused = refusal(&driver.arrive(OnlineRequest { deadline, ..plain(2) }));
    assert_eq!((refused.reason, refused.ran), (RefusalReason::Overloaded, Ran::No));
    let deadline = Some(MonoTime::from_millis(driver.millis + 150));
    driver.dispatch(OnlineRequest { deadline, ..plain(3) });
}

// Symptom: a sidecar that recovered stays unused, or one that fails gets requests all the time.
// Sequence: three failures open the circuit; time passes; one probe goes out, fails, and later
// another succeeds.
// Cause: a circuit that doesn't open, lets more than one probe through, or never closes.
#[test]
fn a_circuit_opens_probes_with_one_request_and_closes() {
    let retry = settings::RetrySettings { max_attempts: 1, ..Default::default() };
    let mut driver = Driver::new(RouterSettings { retry, ..Default::default() }, 1, 100);
    let failed = AttemptOutcome::Failed { status: 500, retryable: true };
    for number in 0..3 {
        let (attempt, _) = driver.dispatch(plain(number));
        driver.end(attempt, failed.clone());
    }
    let refused = refusal(&driver.arrive(plain(10)));
    assert_eq!((refused.reason, refused.ran), (RefusalReason::CircuitOpen, Ran::No));
    driver.advance(refused.retry_after_ms.expect("a time"));
    let (probe, _) = driver.dispatch(plain(11));
    let refused = refusal(&driver.arrive(plain(12)));
    assert_eq!(refused.reason, RefusalReason::CircuitOpen);
    driver.end(probe, failed);
    let refused = refusal(&driver.arrive(plain(13)));
    assert!(refused.retry_after_ms.expect("a time") >= 1_000, "it stays open for longer");
    driver.advance(refused.retry_after_ms.expect("a time"));
    let (probe, _) = driver.dispatch(plain(14));
    driver.complete(probe);
    driver.dispatch(plain(15));
    driver.dispatch(plain(16));
    assert_eq!((driver.counted("circuits_opened"), driver.counted("circuits_closed")), (2, 1));
}
