//! One test for each failure that online requests meet, and for pairs of them.

mod support;

use notch_messages::prelude::*;
use notch_routing::{settings::*, *};
use notch_types::prelude::*;
use rstest::rstest;
use support::*;

/// How a sidecar is told as leaving.
#[derive(Debug, Clone, Copy)]
enum LeaveSign {
    List,
    Word,
    Report,
    Refusal,
}

/// How an attempt comes to nothing.
#[derive(Debug, Clone, Copy)]
enum Death {
    Crashes,
    Fails,
    LosesLink,
    Restarts,
    IsGone,
    IsSilent,
    Refuses,
    Seals,
}

#[test]
fn a_plain_request_is_answered() {
    let mut driver = Driver::new(RouterSettings::default(), 4, 4);
    let (attempt, _) = driver.dispatch(plain(1));
    driver.feed(RouterEvent::AttemptStarted { attempt });
    assert!(answers(&driver.complete(attempt), attempt));
    assert_eq!((driver.router.unfinished(), driver.router.next_wake()), (0, None));
}

// Symptom: a reply never comes, or the caller sees a failure that another sidecar would mend.
// Sequence: a worker dies with the request in flight, in one of several ways.
// Cause: no retry, a retry at the same sidecar, or one that lacks time or budget.
#[rstest]
#[case::target_crashed(Death::Crashes, RetryReason::TargetCrashed)]
#[case::target_failed(Death::Fails, RetryReason::TargetFailed)]
#[case::link_lost(Death::LosesLink, RetryReason::TargetLost)]
#[case::sidecar_restarted(Death::Restarts, RetryReason::TargetLost)]
#[case::vm_gone(Death::IsGone, RetryReason::TargetLost)]
#[case::no_sign_at_all(Death::IsSilent, RetryReason::TargetLost)]
#[case::refused(Death::Refuses, RetryReason::Refused)]
#[case::sealed(Death::Seals, RetryReason::Refused)]
fn a_repeatable_request_goes_elsewhere(#[case] death: Death, #[case] reason: RetryReason) {
    let mut driver = Driver::new(eager(), 2, 4);
    let (first, name) = driver.dispatch(plain(1));
    match death {
        Death::Crashes => driver.end(first, AttemptOutcome::Crashed),
        Death::Fails => driver.end(first, AttemptOutcome::Failed { status: 503, retryable: true }),
        Death::LosesLink => driver.feed(RouterEvent::AttemptLost { attempt: first }),
        Death::Restarts => {
            driver.see(number_of(&name), Incarnation(9), 4);
            Vec::new()
        }
        Death::IsGone => driver.feed(RouterEvent::SidecarGone { vm: name }),
        Death::IsSilent => driver.advance(2_500),
        Death::Refuses => driver.refuse(first, RefusalReason::Overloaded),
        Death::Seals => {
            driver.advance(2_000);
            driver.seal(first, SealVerdict::NeverStarted)
        }
    };
    driver.advance(0);
    let dispatches = driver.dispatches();
    assert_eq!(dispatches.len(), 2, "one retry");
    assert_ne!(dispatches[1].incarnation, first.incarnation, "at another sidecar");
    let retried = |effect: &RouterEffect| matches!(effect, RouterEffect::Count(Counter::Retried(counted)) if *counted == reason);
    assert!(has(&driver.effects, retried), "counted by its reason");
    // Whatever the first attempt still says is late.
    driver.complete(first);
    assert!(ends(&driver.effects).is_empty());
    assert!(answers(&driver.complete(dispatches[1]), dispatches[1]));
}

// Symptom: a booking is lost with its sidecar, or "not run" is told of one that ran.
// Sequence (a pair): the link goes silent with the booking in flight, and behind the silence the
// target's VM restarts.
// Cause: the new incarnation can't say what the old one started.
#[rstest]
#[case::a_booking(false, RefusalReason::OutcomeUnknown)]
#[case::a_reading(true, RefusalReason::TargetLost)]
fn a_target_that_dies_while_its_link_is_silent(
    #[case] idempotent: bool,
    #[case] expected: RefusalReason,
) {
    let mut driver = Driver::new(eager(), 1, 4);
    let (attempt, name) =
        if idempotent { driver.dispatch(plain(1)) } else { driver.dispatch_booking(booking(1, 1)) };
    driver.feed(RouterEvent::SidecarSilent { vm: name.clone() });
    let effects = driver.advance(2_000);
    assert_eq!(sealed_vm(&effects), Some((attempt, name)), "asked as soon as it is in doubt");
    assert!(ends(&effects).is_empty());
    let mut driver_effects = Vec::new();
    driver.see(0, Incarnation(2_000), 4);
    driver_effects.extend(driver.refuse(attempt, RefusalReason::Overloaded));
    driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    assert_eq!(told(&driver.effects), (expected, Ran::Unknown));
    assert!(released(&driver.effects).is_empty() && released(&driver_effects).is_empty());
}

// Symptom: requests fail while a VM leaves under load.
// Sequence (a pair): a burst arrives; one of two sidecars is told as leaving in one of the ways.
// Cause: new work sent to it, or its running work given up.
#[rstest]
#[case::vm_list_or_entry(LeaveSign::List, false)]
#[case::its_own_word(LeaveSign::Word, true)]
#[case::its_own_report(LeaveSign::Report, true)]
#[case::its_refusal(LeaveSign::Refusal, true)]
fn a_drain_during_a_burst_loses_nothing(#[case] sign: LeaveSign, #[case] back_after: bool) {
    let mut driver = Driver::new(eager(), 2, 200);
    let mut running: Vec<AttemptId> =
        (0..40).map(|number| driver.dispatch(plain(number)).0).collect();
    match sign {
        LeaveSign::List => driver.feed(RouterEvent::SidecarLeaving { vm: vm(0) }),
        LeaveSign::Word => driver.feed(RouterEvent::SidecarDraining { vm: vm(0) }),
        LeaveSign::Report => {
            let report = LoadReport { leaving: true, ..report(incarnation(0), 2, 200) };
            driver.feed(RouterEvent::SidecarLoad { vm: vm(0), report })
        }
        LeaveSign::Refusal => {
            let place = running.iter().position(|attempt| attempt.incarnation == incarnation(0));
            let refused = running.remove(place.expect("one went there"));
            driver.refuse(refused, RefusalReason::Leaving);
            driver.advance(0)
        }
    };
    running.extend(driver.dispatches().split_off(40));
    for number in 40..80 {
        let (attempt, name) = driver.dispatch(plain(number));
        assert_eq!(name, vm(1), "nothing new goes to the leaving one");
        running.push(attempt);
    }
    for attempt in running {
        assert!(answers(&driver.complete(attempt), attempt));
    }
    assert_eq!(ends(&driver.effects).len(), 80);
    // Restarted in place it takes work again, unless the whole VM is leaving.
    driver.see(0, Incarnation(2_000), 200);
    let there = (100..120).map(|number| driver.dispatch(plain(number)).1).any(|name| name == vm(0));
    assert_eq!(there, back_after);
}

// Symptom: a stopping gateway loses calls, or takes new ones that it can't finish.
// Sequence: it is told to leave with one request running and one waiting for its retry.
// Cause: a stop that doesn't tell new work from work under way.
#[test]
fn a_leaving_gateway_finishes_what_it_has() {
    let mut driver = Driver::new(RouterSettings::default(), 2, 4);
    let (first, _) = driver.dispatch(plain(1));
    let (second, _) = driver.dispatch_booking(booking(2, 2));
    driver.refuse(first, RefusalReason::Overloaded);
    driver.feed(RouterEvent::Leave);
    assert_eq!(told(&driver.arrive(plain(3))), (RefusalReason::Leaving, Ran::No));
    assert!(dispatched(&driver.advance(25)).is_some(), "the retry still goes out");
    let retried = driver.dispatches()[2];
    driver.complete(retried);
    driver.complete(second);
    assert_eq!(driver.router.unfinished(), 1, "the record is still to come");
    driver.feed(RouterEvent::AnswerRecorded { request: second.request, ok: true });
    assert_eq!((driver.router.unfinished(), ends(&driver.effects).len()), (0, 3));
}

// Symptom: a caller sees the beginning of one answer and the end of another.
// Sequence: a stream has begun when its target is lost; another sidecar is idle.
// Cause: a retry after the first byte.
#[rstest]
#[case::known_from_the_first_byte(true)]
#[case::told_by_the_traffic_side(false)]
fn nothing_is_joined_to_a_begun_answer(#[case] streams: bool) {
    let mut driver = Driver::new(eager(), 2, 4);
    let (attempt, _) = driver.dispatch(OnlineRequest { stream: streams, ..plain(1) });
    let begun = RouterEvent::AnswerBegun { attempt, first_token: Default::default() };
    let effects = driver.feed(begun);
    let deliver = RouterEffect::Deliver { request: attempt.request, attempt };
    assert_eq!(effects.contains(&deliver), streams, "only a stream is passed on early");
    if !streams {
        driver.feed(RouterEvent::DeliveryBegun { request: attempt.request });
    }
    let effects = driver.feed(RouterEvent::AttemptLost { attempt });
    assert_eq!(told(&effects), (RefusalReason::TargetLost, Ran::Unknown));
    assert_eq!(driver.dispatches().len(), 1);
}

// Symptom: a request paused with its gateway runs long after its caller has left.
// Sequence: the gateway's process is paused during a backoff, or with an answer on the way.
// Cause: deadlines looked at only by timers that fire late.
#[test]
fn a_gateway_that_wakes_late_dispatches_nothing_expired() {
    let mut driver = Driver::new(RouterSettings::default(), 2, 4);
    let (first, _) = driver.dispatch(plain(1));
    let (second, _) = driver.dispatch(plain(2));
    driver.refuse(first, RefusalReason::Overloaded);
    driver.millis += 60_000;
    let effects = driver.complete(second);
    let refused = |end: &(ArrivalId, RequestEnd)| matches!(&end.1, RequestEnd::Refused(it) if it.reason == RefusalReason::DeadlinePassed);
    assert_eq!(ends(&effects).iter().filter(|end| refused(end)).count(), 2, "{effects:?}");
    assert_eq!(driver.dispatches().len(), 2);
    let near = Some(MonoTime::from_millis(driver.millis + 4));
    let late = OnlineRequest { deadline: near, ..plain(3) };
    assert_eq!(told(&driver.arrive(late)), (RefusalReason::DeadlinePassed, Ran::No));
}

// Symptom: one request crashes target after target, and its neighbours are blamed with it.
// Sequence: it and two neighbours are in flight at a crash; each is tried again.
// Cause: no suspicion, or one that doesn't tell the culprit from its neighbours.
#[test]
fn a_poison_request_is_found_and_its_neighbours_are_cleared() {
    let retry = RetrySettings { max_attempts: 9, ..eager().retry };
    let mut driver = Driver::new(RouterSettings { retry, ..eager() }, 1, 10);
    let first: Vec<AttemptId> = (0..3).map(|number| driver.dispatch(plain(number)).0).collect();
    for number in 1..4 {
        driver.see(number, incarnation(number), 10);
    }
    for attempt in &first {
        driver.end(*attempt, AttemptOutcome::Crashed);
    }
    driver.advance(0);
    let second = driver.dispatches().split_off(3);
    let alone =
        |effect: &&RouterEffect| matches!(effect, RouterEffect::Dispatch { alone: true, .. });
    assert_eq!(driver.effects.iter().filter(alone).count(), 3, "suspects run alone");
    let culprit = second[0];
    assert!(answers(&driver.complete(second[1]), second[1]));
    assert!(answers(&driver.complete(second[2]), second[2]));
    let effects = driver.end(culprit, AttemptOutcome::Crashed);
    assert_eq!(told(&effects), (RefusalReason::Quarantined, Ran::Unknown));
    assert!(has(&effects, |effect| matches!(effect, RouterEffect::Quarantine { .. })));
    let same = |number: u64, of: u64| OnlineRequest {
        fingerprint: Fingerprint(of.into()),
        ..plain(number)
    };
    let poison = u64::try_from(culprit.request.0 - (1 << 100)).expect("its number");
    assert_eq!(told(&driver.arrive(same(10, poison))), (RefusalReason::Quarantined, Ran::No));
    for neighbour in (0..3).filter(|number| *number != poison) {
        let effects = driver.arrive(same(20 + neighbour, neighbour));
        let free =
            |effect: &RouterEffect| matches!(effect, RouterEffect::Dispatch { alone: false, .. });
        assert!(has(&effects, free), "a neighbour is free again");
    }
    assert_eq!(
        driver.counted("circuits_opened"),
        1,
        "the first crash counts three times, alone none"
    );
}

// Symptom: an innocent request is refused as one that crashes targets.
// Sequence: it was near the culprit twice, on distinct VMs; or alone at two crashes of one VM.
// Cause: crashes counted without asking who else was there, or whether the VM is to blame.
#[rstest]
#[case::near_twice(vm(80), vm(81), false, false)]
#[case::alone_on_one_vm(vm(80), vm(80), true, false)]
#[case::near_once_and_alone_once(vm(80), vm(81), true, true)]
fn quarantine_takes_two_vms_and_a_crash_alone(
    #[case] first: VmName,
    #[case] second: VmName,
    #[case] alone: bool,
    #[case] quarantined: bool,
) {
    let mut driver = Driver::new(RouterSettings::default(), 4, 10);
    let target = TargetName::new(MODEL);
    for (vm, alone) in [(first, false), (second, alone)] {
        let fingerprints = vec![Fingerprint(5), Fingerprint(6)];
        driver.feed(RouterEvent::Suspects { vm, target: target.clone(), fingerprints, alone });
    }
    let effects = driver.arrive(plain(5));
    let alone =
        |effect: &RouterEffect| matches!(effect, RouterEffect::Dispatch { alone: true, .. });
    assert_eq!(has(&effects, alone), !quarantined);
    assert_eq!(driver.counted("fingerprints_quarantined") > 0, quarantined);
}

// Symptom: a suspect takes a second VM down while the first test of it still runs.
// Sequence: a suspect runs alone; its caller sends it again through the same gateway.
// Cause: nothing holds the second one back.
#[test]
fn a_suspect_is_at_one_vm_at_a_time_and_quarantine_comes_from_elsewhere_too() {
    let mut driver = Driver::new(RouterSettings::default(), 4, 10);
    let fingerprint = Fingerprint(5);
    let suspect = |number| OnlineRequest { fingerprint, ..plain(number) };
    let (vm_a, vm_b, target) = (vm(80), vm(81), TargetName::new(MODEL));
    let fingerprints = vec![fingerprint];
    driver.feed(RouterEvent::Suspects { vm: vm_a, target, fingerprints, alone: false });
    let (running, _) = driver.dispatch(suspect(1));
    let refused = refusal(&driver.arrive(suspect(2)));
    assert_eq!((refused.reason, refused.ran), (RefusalReason::Overloaded, Ran::No));
    driver.refuse(running, RefusalReason::Overloaded);
    // Another gateway saw it crash alone: the request that waits for its retry ends at once.
    let effects = driver.feed(RouterEvent::SuspectSeen { fingerprint, vm: vm_b, alone: true });
    assert_eq!(told(&effects), (RefusalReason::Quarantined, Ran::No));
    let (free, _) = driver.dispatch(plain(7));
    driver.feed(RouterEvent::QuarantineSeen(vec![Fingerprint(7)]));
    assert!(answers(&driver.complete(free), free), "what runs may end");
    assert_eq!(
        told(&driver.arrive(OnlineRequest { fingerprint: Fingerprint(7), ..plain(8) })).0,
        RefusalReason::Quarantined
    );
    driver.advance(24 * 3_600_000);
    driver.dispatch(suspect(9));
}

// Symptom: a caller waits until its deadline for a refusal that was certain long before.
// Sequence: its attempts are refused until it has had all of them, or the next one would start
// after the deadline.
// Cause: a request that is given up is kept.
#[rstest]
#[case::all_attempts_had(std::time::Duration::ZERO, 3)]
#[case::no_time_for_another(std::time::Duration::from_secs(3_600), 1)]
fn a_request_that_is_given_up_is_told_at_once(
    #[case] backoff_base: std::time::Duration,
    #[case] dispatches: usize,
) {
    let retry = RetrySettings { backoff_base, backoff_cap: backoff_base, ..eager().retry };
    let mut driver = Driver::new(RouterSettings { retry, ..eager() }, 5, 4);
    driver.dispatch(plain(1));
    for number in 0..dispatches {
        driver.refuse(driver.dispatches()[number], RefusalReason::Overloaded);
        driver.advance(0);
    }
    assert_eq!(told(&driver.effects), (RefusalReason::Overloaded, Ran::No));
    assert_eq!(driver.dispatches().len(), dispatches);
}

// Symptom: a sidecar gets a request that it can only throw away.
// Sequence: the gateway is paused during a backoff and wakes a moment before the deadline.
// Cause: the time left looked at when the retry was decided, not when it goes out.
#[test]
fn a_retry_that_wakes_too_late_is_not_dispatched() {
    let mut driver = Driver::new(RouterSettings::default(), 3, 4);
    let deadline = Some(MonoTime::from_millis(driver.millis + 60));
    let (attempt, _) = driver.dispatch(OnlineRequest { deadline, ..plain(1) });
    driver.refuse(attempt, RefusalReason::Overloaded);
    driver.millis += 57;
    let effects = driver.feed(RouterEvent::Tick);
    assert_eq!(told(&effects), (RefusalReason::DeadlinePassed, Ran::No));
    assert_eq!(driver.dispatches().len(), 1);
}

// Symptom: callers are told that a model in the catalogue does not exist, and stop asking.
// Sequence: the only copy is unloaded; a request on its way to that sidecar finds it gone.
// Cause: the sidecar's word for a target that it doesn't serve, passed on as the catalogue's.
#[test]
fn a_model_just_unloaded_is_not_called_unknown() {
    let mut driver = Driver::new(eager(), 1, 4);
    let (attempt, _) = driver.dispatch(plain(1));
    driver.refuse(attempt, RefusalReason::UnknownTarget);
    driver.advance(0);
    assert_eq!(told(&driver.effects), (RefusalReason::NoTarget, Ran::No));
    assert!(refusal(&driver.effects).retry_after_ms.is_some());
}
