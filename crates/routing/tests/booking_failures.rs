//! Failures that bookings meet: what must run at most once, the ledger, and resends.

mod support;

use notch_messages::prelude::*;
use notch_routing::{settings::*, *};
use notch_types::prelude::*;
use rstest::rstest;
use support::*;

// Symptom: two learners get one slot.
// Sequence: a VM acknowledges a booking and is lost; the caller sends again.
// Cause: the acknowledgement promised something that nobody will deliver, and the booking was
// run again though it may have run.
#[rstest]
fn a_booking_on_a_lost_vm_is_never_run_again(
    #[values(true, false)] started: bool,
    #[values(true, false)] restarted: bool,
) {
    let mut driver = Driver::new(eager(), 3, 4);
    let (attempt, name) = driver.dispatch_booking(booking(1, 1));
    if started {
        driver.feed(RouterEvent::AttemptStarted { attempt });
    }
    if restarted {
        driver.see(number_of(&name), Incarnation(9), 4);
        driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    } else {
        driver.feed(RouterEvent::SidecarGone { vm: name });
    }
    // A VM out of sight may still run it: only a new incarnation makes the end unknowable.
    let is_recorded = |effect: &RouterEffect| matches!(effect, RouterEffect::RecordUnknown { .. });
    assert_eq!(has(&driver.effects, is_recorded), restarted);
    assert_eq!(told(&driver.effects), (RefusalReason::OutcomeUnknown, Ran::Unknown));
    let claim = claimed(&driver.arrive(booking(2, 1))).expect("the ledger is asked");
    let verdict = if restarted {
        ClaimVerdict::Ended(StoredAnswer::Unknown)
    } else {
        ClaimVerdict::HeldBy(attempt)
    };
    let mut effects = driver.answer_claim(claim, verdict);
    effects.extend(driver.advance(31_000));
    assert_eq!(told(&effects), (RefusalReason::OutcomeUnknown, Ran::Unknown));
    assert_eq!(driver.dispatches().len(), 1);
}

// Symptom: a booking whose link was lost for a moment is told as unknown though its sidecar knows.
// Sequence: the link is lost; the sidecar, of the same incarnation, is asked for a seal.
// Cause: a lost link taken for a lost sidecar, or a seal's verdict taken for more than it proves.
#[rstest]
#[case::runs_on(SealVerdict::Running)]
#[case::has_ended(SealVerdict::Finished)]
fn a_booking_survives_a_lost_link(#[case] verdict: SealVerdict) {
    let mut driver = Driver::new(eager(), 2, 4);
    let (attempt, name) = driver.dispatch_booking(booking(1, 1));
    let effects = driver.feed(RouterEvent::AttemptLost { attempt });
    assert_eq!(sealed_vm(&effects), Some((attempt, name)));
    driver.seal(attempt, verdict);
    driver.complete(attempt);
    let effects = driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    assert!(answers(&effects, attempt));
}

#[test]
fn a_booking_that_was_sealed_unstarted_is_claimed_anew_and_run() {
    let mut driver = Driver::new(eager(), 2, 4);
    let (first, _) = driver.dispatch_booking(booking(1, 1));
    driver.feed(RouterEvent::AttemptLost { attempt: first });
    let mut effects = driver.seal(first, SealVerdict::NeverStarted);
    assert_eq!(released(&effects), vec![first]);
    effects.extend(driver.advance(0));
    let second = claimed(&effects).expect("a new claim");
    // The release was lost: the ledger still names the first attempt.
    let effects = driver.answer_claim(second, ClaimVerdict::HeldBy(first));
    assert_eq!(released(&effects), vec![first]);
    driver.advance(100);
    let effects = driver.answer_claim(second, ClaimVerdict::Granted);
    assert_eq!(dispatched(&effects).expect("a dispatch").0, second);
}

// Symptom: a job or request that the caller believed lost runs twice.
// Sequence: the caller sends again while the first send runs, here or at another gateway.
// Cause: the resend taken for a new request.
#[test]
fn a_resend_joins_the_running_request() {
    let mut driver = Driver::new(eager(), 2, 4);
    let (attempt, _) = driver.dispatch_booking(booking(1, 1));
    driver.feed(RouterEvent::CallerGone { arrival: ArrivalId(1) });
    assert_eq!(
        driver.arrive(booking(2, 1)),
        vec![RouterEffect::Count(Counter::Event("resends_joined"))]
    );
    let other = OnlineRequest { fingerprint: Fingerprint(99), ..booking(3, 1) };
    assert_eq!(told(&driver.arrive(other)), (RefusalReason::KeyReused, Ran::No));
    driver.complete(attempt);
    let effects = driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    assert_eq!(ends(&effects), vec![(ArrivalId(2), RequestEnd::Answered { attempt })]);
    assert_eq!(driver.dispatches().len(), 1);
}

#[test]
fn a_resend_through_another_gateway_gets_the_stored_answer() {
    let stored = StoredAnswer::Answered { status: 200, body: Payload::from("booked") };
    let mut driver = Driver::new(eager(), 2, 4);
    let claim = claimed(&driver.arrive(booking(1, 1))).expect("a claim");
    let holder = AttemptId { number: 5, incarnation: Incarnation(77), ..claim };
    driver.answer_claim(claim, ClaimVerdict::HeldBy(holder));
    assert_eq!(claimed(&driver.advance(100)), Some(claim), "asked again");
    let effects = driver.answer_claim(claim, ClaimVerdict::Ended(stored.clone()));
    assert_eq!(ends(&effects), vec![(ArrivalId(1), RequestEnd::Stored(stored))]);
    assert!(driver.dispatches().is_empty());
}

// Symptom: a booking is stuck for ever once its gateway died between claim and dispatch; or it
// runs twice because another gateway guessed.
// Sequence: a gateway dies holding the claim; the caller sends again through this one.
// Cause: only the sidecar named by the claim knows whether it started.
#[rstest]
#[case::never_started(SealVerdict::NeverStarted, true)]
#[case::running(SealVerdict::Running, false)]
#[case::forgotten(SealVerdict::Unknown, false)]
fn a_claim_of_a_dead_gateway_is_settled_by_the_sidecar(
    #[case] verdict: SealVerdict,
    #[case] runs: bool,
) {
    let mut driver = Driver::new(eager(), 2, 4);
    let claim = claimed(&driver.arrive(booking(1, 1))).expect("a claim");
    let holder = AttemptId { number: 5, incarnation: incarnation(1), ..claim };
    let mut seal = None;
    for _ in 0..6 {
        driver.answer_claim(claim, ClaimVerdict::HeldBy(holder));
        seal = seal.or(sealed_vm(&driver.advance(450)));
    }
    assert_eq!(seal, Some((holder, vm(1))));
    let effects = driver.seal(holder, verdict);
    assert_eq!(released(&effects) == vec![holder], runs);
    if runs {
        assert_eq!(claimed(&driver.advance(500)), Some(claim));
        let effects = driver.answer_claim(claim, ClaimVerdict::Granted);
        assert!(dispatched(&effects).is_some());
        return;
    }
    for _ in 0..30 {
        driver.answer_claim(claim, ClaimVerdict::HeldBy(holder));
        driver.advance(1_000);
    }
    assert!(driver.dispatches().is_empty());
    assert_eq!(told(&driver.effects), (RefusalReason::OutcomeUnknown, Ran::Unknown));
}

// Symptom: callers hang or get untrue refusals while the platform's store is down.
// Sequence: the store refuses, or stays silent, while bookings and readings arrive.
// Cause: what needs the ledger first waits without a bound; what doesn't is dragged along.
#[rstest]
#[case::refuses(true)]
#[case::silent(false)]
fn a_store_outage_refuses_bookings_and_spares_the_rest(#[case] refuses: bool) {
    let mut driver = Driver::new(eager(), 2, 4);
    let attempt = claimed(&driver.arrive(booking(1, 1))).expect("a claim");
    let effects = if refuses {
        let down = Refusal::not_run(RefusalReason::StoreUnavailable, "the store is down");
        let request = attempt.request;
        driver.feed(RouterEvent::ClaimAnswered { request, attempt, result: Err(down) })
    } else {
        driver.advance(3_000)
    };
    assert_eq!(told(&effects), (RefusalReason::StoreUnavailable, Ran::No));
    driver.dispatch(plain(2));
    // A keyed reading asks the ledger, and goes on without it.
    let reading = OnlineRequest { path: "/read".to_owned(), ..booking(3, 3) };
    assert!(dispatched(&driver.arrive(reading)).is_none());
    assert!(dispatched(&driver.advance(100)).is_some());
}

// Symptom: an answer that exists is kept from its caller, or memory grows, in a store outage.
// Sequence: a booking ends while its record can't be made.
// Cause: waiting for the record without a bound.
#[test]
fn an_answer_is_told_though_its_record_is_late() {
    let claim = ClaimSettings { max_recording: 1, ..ClaimSettings::default() };
    let mut driver = Driver::new(RouterSettings { claim, ..eager() }, 2, 8);
    let (first, _) = driver.dispatch_booking(booking(1, 1));
    let (second, _) = driver.dispatch_booking(booking(2, 2));
    driver.complete(first);
    assert!(ends(&driver.effects).is_empty());
    assert!(answers(&driver.advance(2_000), first));
    // A resend gets it without the ledger while it is kept.
    let again = |effects: &[RouterEffect]| answers(effects, first);
    assert!(again(&driver.arrive(booking(3, 1))));
    // Over the bound nothing more is kept.
    assert!(answers(&driver.complete(second), second));
    assert_eq!((driver.counted("records_given_up"), driver.router.unfinished()), (1, 1));
    driver.advance(70_000);
    assert_eq!((driver.counted("records_given_up"), driver.router.unfinished()), (2, 0));
}

// Symptom: a claim that nobody holds blocks a request for ever.
// Sequence: the claim takes effect, its answer is lost until the gateway has refused the request.
// Cause: the late answer ignored.
#[test]
fn a_claim_granted_too_late_is_released() {
    let mut driver = Driver::new(eager(), 2, 4);
    let attempt = claimed(&driver.arrive(booking(1, 1))).expect("a claim");
    let effects = driver.advance(3_000);
    assert_eq!(told(&effects), (RefusalReason::StoreUnavailable, Ran::No));
    assert_eq!(released(&effects), vec![attempt]);
    assert_eq!(released(&driver.answer_claim(attempt, ClaimVerdict::Granted)), vec![attempt]);
    assert!(driver.dispatches().is_empty());
}

// Symptom: a booking runs twice, or is refused though the ledger granted it.
// Sequence (a pair): the claim's answer is lost, and the caller sends again meanwhile.
// Cause: the resend, or the repeated ask, claims under another attempt.
#[test]
fn a_resend_while_the_claims_answer_is_lost_runs_once() {
    let mut driver = Driver::new(eager(), 2, 4);
    let attempt = claimed(&driver.arrive(booking(1, 1))).expect("a claim");
    driver.feed(RouterEvent::CallerGone { arrival: ArrivalId(1) });
    assert_eq!(claimed(&driver.arrive(booking(2, 1))), None, "the resend joins");
    assert_eq!(claimed(&driver.advance(500)), Some(attempt), "the same claim is asked again");
    driver.answer_claim(attempt, ClaimVerdict::Granted);
    driver.answer_claim(attempt, ClaimVerdict::Granted);
    assert_eq!(driver.dispatches(), vec![attempt]);
    driver.complete(attempt);
    let effects = driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    assert_eq!(ends(&effects), vec![(ArrivalId(2), RequestEnd::Answered { attempt })]);
}

// Symptom: "not run" is told of a request that ran.
// Sequence: a sidecar says that an attempt started and then refuses or seals it, by a fault.
// Cause: the later message believed.
#[rstest]
#[case::refused(true)]
#[case::sealed(false)]
fn a_refusal_after_a_start_proves_nothing(#[case] refused: bool) {
    let mut driver = Driver::new(eager(), 2, 4);
    let (attempt, _) = driver.dispatch_booking(booking(1, 1));
    driver.feed(RouterEvent::AttemptStarted { attempt });
    let mut effects = if refused {
        driver.refuse(attempt, RefusalReason::Overloaded)
    } else {
        driver.seal(attempt, SealVerdict::NeverStarted)
    };
    assert!(released(&effects).is_empty());
    effects.extend(driver.advance(31_000));
    assert_eq!(told(&effects), (RefusalReason::OutcomeUnknown, Ran::Unknown));
    assert_eq!(driver.dispatches().len(), 1);
}

// Symptom: a caller that sends again is told "not run", books elsewhere, and has two slots.
// Sequence: the first send's outcome is unknown; the second is refused for another reason.
// Cause: the refusal speaks of the second send only.
#[rstest]
#[case::this_gateway_remembers(false, true, Ran::Unknown)]
#[case::a_first_send(false, false, Ran::No)]
#[case::other_gateways_are_doubted(true, false, Ran::Unknown)]
fn a_refused_resend_is_not_told_as_not_run(
    #[case] doubt_other_gateways: bool,
    #[case] sent_before: bool,
    #[case] expected: Ran,
) {
    let claim = ClaimSettings { doubt_other_gateways, ..ClaimSettings::default() };
    let mut driver = Driver::new(RouterSettings { claim, ..eager() }, 2, 4);
    if sent_before {
        let (attempt, _) = driver.dispatch_booking(booking(1, 1));
        driver.end(attempt, AttemptOutcome::Crashed);
        driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    }
    driver.feed(RouterEvent::Leave);
    assert_eq!(told(&driver.arrive(booking(2, 1))), (RefusalReason::Leaving, expected));
}

#[test]
fn what_must_not_be_repeated_needs_a_key() {
    let mut driver = Driver::new(eager(), 2, 4);
    let request = OnlineRequest { keyed: false, idempotent: Some(true), ..booking(1, 1) };
    assert_eq!(told(&driver.arrive(request)), (RefusalReason::KeyRequired, Ran::No));
    let unknown = OnlineRequest { target: TargetName::new("nobody"), ..plain(2) };
    assert_eq!(told(&driver.arrive(unknown)), (RefusalReason::UnknownTarget, Ran::No));
}

// Symptom: "not run" is told of a booking that ran through another gateway.
// Sequence: this gateway's claim is granted; a resend elsewhere has the attempt sealed, frees the
// claim and runs the booking; this gateway learns of the seal, and the deadline passes.
// Cause: a claim once granted taken as a proof for later. Found by the model test.
#[test]
fn a_claim_that_was_granted_once_proves_nothing_later() {
    let claim = ClaimSettings { doubt_other_gateways: true, ..ClaimSettings::default() };
    let mut driver = Driver::new(RouterSettings { claim, ..eager() }, 2, 4);
    let (attempt, _) = driver.dispatch_booking(booking(1, 1));
    driver.seal(attempt, SealVerdict::NeverStarted);
    let effects = driver.advance(31_000);
    assert_eq!(told(&effects).1, Ran::Unknown);
}

// Symptom: the caller has a booking's answer that a resend can't read.
// Sequence: the booking is asked for as a stream; its first byte comes, and its gateway dies.
// Cause: the answer passed on before it was recorded.
#[test]
fn a_streamed_booking_is_held_until_it_is_recorded() {
    let mut driver = Driver::new(eager(), 2, 4);
    let (attempt, _) = driver.dispatch_booking(OnlineRequest { stream: true, ..booking(1, 1) });
    let begun = RouterEvent::AnswerBegun { attempt, first_token: Default::default() };
    let is_deliver = |effect: &RouterEffect| matches!(effect, RouterEffect::Deliver { .. });
    assert!(!has(&driver.feed(begun), is_deliver));
    assert!(!has(&driver.complete(attempt), is_deliver));
    let effects = driver.feed(RouterEvent::AnswerRecorded { request: attempt.request, ok: true });
    assert!(has(&effects, is_deliver) && answers(&effects, attempt));
}
