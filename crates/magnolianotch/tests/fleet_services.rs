//! Calls that run at most once: resends, lost gateways, lost answers, refusals that must be true.

mod support;

use std::time::Duration;

use async_std::task;
use magnolianotch::load::ReplyEnd;
use notch_standins::{FaultSettings, expected_answer};
use rstest::rstest;

use support::{
    caller::{CallEnd, FleetCaller},
    find,
    services::{BOOKING, BookingService},
    small_fleet, until, with_fleet,
};

const PATH: &str = "booking/slots";

/// Resends through every gateway until the call is answered or refused with a final word.
async fn settled(caller: &FleetCaller, key: &str, body: &str) -> CallEnd {
    let mut turn = 0;
    find("the call is settled", || {
        turn += 1;
        async move {
            match caller.call(turn, PATH, key, body).await {
                CallEnd::Lost => None,
                CallEnd::Refused(ReplyEnd::Refused { code, .. })
                    if code != "outcome_unknown" && code != "quarantined" =>
                {
                    None
                }
                end => Some(end),
            }
        }
    })
    .await
}

// Symptom: a learner's booking is made twice.
// Sequence: the same key is sent to both gateways at the same time, five times each.
// Cause: each gateway believes that the call is its own to run.
#[test]
fn resends_to_all_gateways_at_once_run_at_most_once() {
    with_fleet(small_fleet(), |mut fleet| async move {
        let service = BookingService::start(&mut fleet, 2, Duration::from_millis(100)).await;
        let caller = FleetCaller::new(fleet.callers());
        let sends = (0..10).map(|turn| caller.call(turn, PATH, "same", "slot 1"));
        let ends = futures_util::future::join_all(sends).await;
        let last = settled(&caller, "same", "slot 1").await;
        assert_eq!(last, CallEnd::Answered(expected_answer("slots", b"slot 1")), "{ends:?}");
        assert_eq!(service.total_started(), 1, "{ends:?}");
        fleet
    });
}

// Symptom: a payment is booked twice after its gateway was lost.
// Sequence: a call is claimed in the ledger and runs; its gateway is killed; the caller resends to
// the other one. The service's answer comes to nobody.
// Cause: the second gateway can't tell a claim that ran from one that didn't.
#[rstest]
#[case::while_it_runs(true)]
#[case::at_once(false)]
fn a_gateway_lost_after_the_claim_lets_nothing_run_again(#[case] started: bool) {
    with_fleet(small_fleet(), |mut fleet| async move {
        let service = BookingService::start(&mut fleet, 2, Duration::from_millis(300)).await;
        let caller = FleetCaller::new(fleet.callers());
        let first = {
            let caller = caller.clone();
            task::spawn(async move { caller.call(0, PATH, "claimed", "post 7").await })
        };
        if started {
            until("the call runs", || service.total_started() > 0).await;
        }
        fleet.kill_gateway(0).await;
        let first = first.await;
        let last = settled(&caller, "claimed", "post 7").await;
        let runs = service.total_started();
        assert!(runs <= 1, "{runs} runs, {first:?}, {last:?}");
        if let CallEnd::Answered(text) = &last {
            assert_eq!(*text, expected_answer("slots", b"post 7"));
            assert_eq!(runs, 1);
        }
        fleet
    });
}

// Symptom: a call whose answer was lost is run a second time, or is said not to have run.
// Sequence: the service crashes, or its sidecar does, while the call runs; the caller resends.
// Cause: no answer is taken for no run.
#[rstest]
#[case::the_service_crashes(true)]
#[case::the_sidecar_is_killed(false)]
fn a_lost_answer_is_never_followed_by_a_second_run(#[case] service_crashes: bool) {
    with_fleet(small_fleet(), |mut fleet| async move {
        let service = BookingService::start(&mut fleet, 2, Duration::from_millis(500)).await;
        let caller = FleetCaller::new(fleet.callers());
        let first = {
            let caller = caller.clone();
            task::spawn(async move { caller.call(0, PATH, "answer lost", "slot 2").await })
        };
        until("the call runs", || service.total_started() > 0).await;
        let runs_at = service.instances.iter().position(|one| !one.runs().all().is_empty());
        let instance = runs_at.expect("it runs somewhere");
        if service_crashes {
            service.instances[instance].crash(Duration::from_millis(200));
        } else {
            service.kill_sidecar(&mut fleet, instance);
        }
        let first = first.await;
        assert!(!first.is_not_run(), "it ran: {first:?}");
        let last = settled(&caller, "answer lost", "slot 2").await;
        assert!(!last.is_not_run(), "it ran: {last:?}");
        assert_eq!(service.total_started(), 1, "{first:?}, {last:?}");
        fleet
    });
}

// Symptom: a refusal says "not run", and the booking is there all the same.
// Sequence: many calls with one key each, sent once, while the store is in turn down, flapping, and
// losing answers before and after the effect.
// Cause: a claim whose write was answered by nobody is taken for one that failed.
#[rstest]
#[case::down(FaultSettings::down())]
#[case::flapping(FaultSettings::flapping(3))]
#[case::lost_before(FaultSettings { lost_before_per_mille: 300, ..FaultSettings::default() })]
#[case::lost_after(FaultSettings { lost_after_per_mille: 300, ..FaultSettings::default() })]
fn a_refusal_as_not_run_is_true_whatever_the_store_does(#[case] fault: FaultSettings) {
    with_fleet(small_fleet(), |mut fleet| async move {
        let service = BookingService::start(&mut fleet, 2, Duration::from_millis(5)).await;
        let caller = FleetCaller::new(fleet.callers());
        fleet.platform.objects().faults().set(fault);
        let sends = (0..16).map(|number| {
            let caller = caller.clone();
            async move {
                let body = format!("only once {number}");
                let key = format!("refused {number}");
                (caller.call(number, PATH, &key, &body).await, body)
            }
        });
        let ends = futures_util::future::join_all(sends).await;
        fleet.platform.objects().faults().clear();
        let started = service.started();
        assert!(started.values().all(|runs| *runs <= 1), "{started:?}");
        let not_run = ends.iter().filter(|(end, _)| end.is_not_run()).count();
        let total = service.total_started() as usize;
        assert!(total + not_run <= ends.len(), "{total} ran, {not_run} said not run: {ends:?}");
        for (end, body) in &ends {
            if let CallEnd::Answered(text) = end {
                assert_eq!(*text, expected_answer("slots", body.as_bytes()));
            }
        }
        for (number, (_, body)) in ends.iter().enumerate() {
            settled(&caller, &format!("refused {number}"), body).await;
        }
        let started = service.started();
        assert!(started.values().all(|runs| *runs <= 1), "{BOOKING} after resends: {started:?}");
        fleet
    });
}
