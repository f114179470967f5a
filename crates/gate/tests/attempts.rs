//! The attempt table: repeats, seals, resumes, lost links, other incarnations.

mod common;

use common::*;
use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

#[test]
fn an_offer_sent_again_starts_nothing_and_hears_where_things_are() {
    // Symptom: a slot is booked twice.
    // Sequence: the link goes silent after the offer; the gateway offers the same attempt again.
    // Cause: the second copy was taken for new work.
    let mut bench = Bench::new(still(), fixed(2));
    let once = AttemptOffer { idempotent: false, ..offer(1, 9_000) };
    bench.say(SidecarMessage::Offer(once.clone()));
    bench.feed(GateEvent::GatewayUp { gateway: gateway(1) });
    let again = bench.say(SidecarMessage::Offer(once.clone()));
    assert_eq!(bench.started(attempt(1)), 1);
    assert!(messages(&again).contains(&&GatewayMessage::Started { attempt: attempt(1) }));
    bench.end(attempt(1), RunEnd::Complete { status: 200 });
    let late = bench.say(SidecarMessage::Offer(once.clone()));
    assert_eq!(outcomes(&late), [(attempt(1), AttemptOutcome::Complete { status: 200 })]);
    bench.pass(120_000);
    let later = bench.say(SidecarMessage::Offer(once));
    assert_eq!(bench.started(attempt(1)), 1, "still known when its output is gone");
    assert_eq!(outcomes(&later).len(), 1);
}

#[rstest]
#[case::never_seen(false, false, SealVerdict::NeverStarted)]
#[case::waiting(true, false, SealVerdict::NeverStarted)]
#[case::running(true, true, SealVerdict::Running)]
fn a_seal_tells_the_truth_and_keeps_it(
    #[case] is_offered: bool,
    #[case] has_slot: bool,
    #[case] verdict: SealVerdict,
) {
    // Symptom: "not run" was said of a request that ran after all.
    // Sequence: the gateway seals a doubtful attempt; its offer arrives late.
    // Cause: the seal was not remembered.
    let mut bench = Bench::new(still(), fixed(1));
    if !has_slot {
        bench.say(SidecarMessage::Offer(offer(9, 9_000)));
    }
    if is_offered {
        bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    }
    let sealed = bench.say(SidecarMessage::Seal { attempt: attempt(1) });
    assert_eq!(seals(&sealed), [(attempt(1), verdict)]);
    bench.end(attempt(9), RunEnd::Complete { status: 200 });
    let late = bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    if verdict == SealVerdict::NeverStarted {
        assert_eq!(bench.started(attempt(1)), 0);
        assert_eq!(refusals(&late).len(), 1);
    } else {
        bench.end(attempt(1), RunEnd::Complete { status: 200 });
        let after = bench.say(SidecarMessage::Seal { attempt: attempt(1) });
        assert_eq!(seals(&after), [(attempt(1), SealVerdict::Finished)]);
    }
}

#[test]
fn a_restarted_sidecar_cannot_say_what_the_former_one_ran() {
    // Symptom: a request that ran is reported as not run, and is run again.
    // Sequence: the sidecar restarts in the midst; offer, seal and cancel of the old life arrive.
    // Cause: a new incarnation answered for what it couldn't know.
    let mut bench = Bench::new(still(), fixed(1));
    let foreign = AttemptId { incarnation: Incarnation(6), ..attempt(1) };
    let messages = [
        SidecarMessage::Offer(AttemptOffer { attempt: foreign, ..offer(1, 9_000) }),
        SidecarMessage::Seal { attempt: foreign },
        SidecarMessage::Cancel { attempt: foreign },
        SidecarMessage::Resume { attempt: foreign, offset: 0 },
    ];
    for message in messages {
        let effects = bench.say(message);
        assert_eq!(seals(&effects), [(foreign, SealVerdict::Unknown)]);
        assert!(starts(&effects).is_empty());
    }
}

#[test]
fn a_silent_link_is_replaced_and_the_stream_goes_on() {
    // Symptom: a long answer is cut because a firewall forgot the connection.
    // Sequence: the link goes down in mid-stream; the gateway comes back and resumes by offset.
    // Cause: the attempt was tied to its link.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::Offer(offer(1, 60_000)));
    bench.feed(GateEvent::GatewayDown { gateway: gateway(1) });
    bench.pass(2_000);
    bench.feed(GateEvent::GatewayUp { gateway: gateway(1) });
    let effects = bench.say(SidecarMessage::Resume { attempt: attempt(1), offset: 17 });
    let replay = GateEffect::Replay { run: attempt(1), gateway: gateway(1), offset: 17 };
    assert!(effects.contains(&replay));
    bench.pass(10_000);
    assert_eq!(bench.in_flight.get(&attempt(1)), Some(&false), "runs on");
    let ended = bench.end(attempt(1), RunEnd::Complete { status: 200 });
    assert_eq!(outcomes(&ended).len(), 1);
}

#[rstest]
#[case::repeatable(true)]
#[case::at_most_once(false)]
fn a_run_whose_gateway_stays_away_is_stopped_unless_it_may_not_run_again(#[case] idempotent: bool) {
    // Symptom: slots stay taken by answers that nobody reads; or a booking is cut half-way.
    // Sequence: the gateway dies for good.
    // Cause: nobody looked whether it came back.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::Offer(AttemptOffer { idempotent, ..offer(1, 60_000) }));
    bench.feed(GateEvent::GatewayDown { gateway: gateway(1) });
    bench.pass(6_000);
    assert_eq!(bench.in_flight.get(&attempt(1)), Some(&idempotent), "stopped if repeatable");
}

#[test]
fn an_expired_wait_is_answered_at_once_and_an_expired_run_is_stopped() {
    // Symptom: callers get their refusal only when a slot becomes free.
    // Sequence: the target is full; deadlines pass in the queue and at the target.
    // Cause: deadlines were looked at only when a slot became free.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::Offer(offer(1, 1_500)));
    bench.say(SidecarMessage::Offer(offer(2, 400)));
    let effects = bench.pass(400);
    assert_eq!(refusals(&effects), [(attempt(2), RefusalReason::DeadlinePassed)]);
    let effects = bench.pass(1_200);
    assert_eq!(stops(&effects), [attempt(1)]);
    let ended = bench.end(attempt(1), RunEnd::Stopped);
    assert_eq!(outcomes(&ended), [(attempt(1), AttemptOutcome::DeadlinePassed)]);
}

#[test]
fn kept_output_is_bounded() {
    // Symptom: a sidecar grows until it is killed.
    // Sequence: many large answers end within the retention.
    // Cause: ended answers were kept by time alone.
    let settings = GateSettings { output_bytes: 10, ..still() };
    let mut bench = Bench::new(settings, fixed(1));
    for number in 1..=3 {
        bench.say(SidecarMessage::Offer(offer(number, 9_000)));
        let run = attempt(number);
        let end = RunEnd::Complete { status: 200 };
        bench.feed(GateEvent::RunEnded { run, end, total: 6, output: None });
    }
    let forgotten: Vec<AttemptId> = bench
        .seen
        .iter()
        .filter_map(|effect| match effect {
            GateEffect::ForgetOutput { run } => Some(*run),
            _ => None,
        })
        .collect();
    assert_eq!(forgotten, [attempt(1), attempt(2)]);
    let effects = bench.say(SidecarMessage::Resume { attempt: attempt(1), offset: 2 });
    assert_eq!(seals(&effects), [(attempt(1), SealVerdict::Finished)], "it ran; output is gone");
}
