//! Targets that crash, freeze or hang up, and the requests that make them.

mod common;

use std::time::Duration;

use common::*;
use notch_gate::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;

fn down(bench: &mut Bench, cause: DownCause) -> Vec<GateEffect> {
    bench.feed(GateEvent::TargetDown { target: target(), cause })
}

fn up(bench: &mut Bench) -> Vec<GateEffect> {
    bench.feed(GateEvent::TargetUp { target: target(), instance: None })
}

fn suspects(effects: &[GateEffect]) -> Option<(Vec<Fingerprint>, bool)> {
    messages(effects).into_iter().find_map(|message| match message {
        GatewayMessage::Suspects { fingerprints, alone, .. } => {
            Some((fingerprints.clone(), *alone))
        }
        _ => None,
    })
}

#[test]
fn a_crash_ends_online_returns_items_and_names_suspects() {
    // Symptom: callers hang and a lot never ends after an engine died.
    // Sequence: one online attempt and one item run, one attempt waits; the process is gone.
    // Cause: whatever was in flight got no end of its own from a dead target.
    let mut bench = Bench::new(still(), fixed(2));
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    bench.say(SidecarMessage::Lot(lot(1, &[item(1, 0)])));
    let first = down(&mut bench, DownCause::Crashed);
    let (mut fingerprints, alone) = suspects(&first).expect("suspects are named");
    fingerprints.sort();
    assert_eq!(fingerprints, [fingerprint(1), fingerprint(1_000_000)]);
    assert!(!alone, "two were in flight");
    let run = item_run(item(1, 0));
    let mut after = bench.end(attempt(1), RunEnd::Cut);
    after.extend(bench.feed(GateEvent::RunEnded {
        run,
        end: RunEnd::Cut,
        total: 4,
        output: Some(Payload::from("text")),
    }));
    assert_eq!(outcomes(&after), [(attempt(1), AttemptOutcome::Crashed)]);
    let back = returns(&after);
    assert_eq!(back.len(), 1);
    assert_eq!(back[0].reason, ReturnReason::TargetCrashed);
    assert_eq!(back[0].progress, Some(Payload::from("text")), "progress goes back with it");
    assert!(back[0].started);
    let refused = bench.say(SidecarMessage::Offer(offer(2, 9_000)));
    assert_eq!(refusals(&refused), [(attempt(2), RefusalReason::NoTarget)]);
    up(&mut bench);
    let next = bench.say(SidecarMessage::Offer(offer(3, 9_000)));
    assert_eq!(starts(&next), [attempt(3)], "the restarted target is used again");
}

#[test]
fn streams_cut_before_the_probe_are_suspects_too() {
    // Symptom: the request that crashes targets is never named.
    // Sequence: its stream is cut first, the others a moment later, then the probe is refused.
    // Cause: what was cut had already been taken as ended when the crash was seen.
    let mut bench = Bench::new(still(), fixed(4));
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    bench.say(SidecarMessage::Offer(offer(2, 9_000)));
    let cut = bench.end(attempt(1), RunEnd::Cut);
    assert!(cut.contains(&GateEffect::Probe { target: target() }));
    assert!(outcomes(&cut).is_empty(), "its end waits for the probe");
    let meanwhile = bench.say(SidecarMessage::Offer(offer(3, 9_000)));
    assert!(starts(&meanwhile).is_empty(), "nothing is sent to a target that may be dying");
    let crash = down(&mut bench, DownCause::Crashed);
    let (mut named, _) = suspects(&crash).expect("named");
    named.sort();
    assert_eq!(named, [fingerprint(1), fingerprint(2)]);
    assert_eq!(outcomes(&crash), [(attempt(1), AttemptOutcome::Crashed)]);
    assert_eq!(refusals(&crash), [(attempt(3), RefusalReason::NoTarget)]);
}

#[rstest]
#[case::beside_another(false)]
#[case::alone(true)]
fn what_its_gateway_hears_of_a_crash_all_gateways_hear_first(#[case] alone: bool) {
    // Symptom: one request crashes three targets, two of them beside others.
    // Sequence: a dying target cuts it and still answers the probe, so it seems hung up on; its
    // gateway takes its end for a crash; its caller sends it again through another gateway.
    // Cause: only the one gateway was told, and its rumour comes after the caller.
    let mut bench = Bench::new(still(), fixed(4));
    bench.feed(GateEvent::GatewayUp { gateway: gateway(2) });
    if !alone {
        bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    }
    bench.say(SidecarMessage::Offer(AttemptOffer { alone, ..offer(2, 9_000) }));
    bench.end(attempt(2), RunEnd::Cut);
    let effects = up(&mut bench);
    let sent = effects.iter().filter_map(|effect| match effect {
        GateEffect::Send { gateway, message } => Some((gateway.clone(), message.clone())),
        _ => None,
    });
    let sent: Vec<(VmName, GatewayMessage)> = sent.collect();
    let fingerprints = vec![fingerprint(2)];
    let named = GatewayMessage::Suspects { target: target(), fingerprints, alone };
    let place = |to: u8, is_it: &dyn Fn(&GatewayMessage) -> bool| {
        sent.iter().position(|(name, message)| *name == gateway(to) && is_it(message))
    };
    let ended = |message: &GatewayMessage| {
        matches!(message, GatewayMessage::Ended { outcome: AttemptOutcome::Crashed, .. })
    };
    let is_named = |message: &GatewayMessage| *message == named;
    let end = place(1, &ended).expect("its gateway hears of its end");
    for number in [1, 2] {
        assert!(place(number, &is_named).is_some_and(|at| at < end), "{number} of {sent:?}");
    }
}

/// Guards against an item whose first crash is not counted, because the dying target answers one more probe.
#[test]
fn an_item_cut_by_a_dying_target_counts_as_a_crash() {
    let mut bench = Bench::new(still(), fixed(2));
    bench.say(SidecarMessage::Lot(lot(1, &[item(1, 0)])));
    let run = item_run(item(1, 0));
    bench.end(run, RunEnd::Cut);
    let answered = up(&mut bench);
    assert!(returns(&answered).is_empty() && results(&answered).is_empty(), "{answered:?}");
    let crash = down(&mut bench, DownCause::Crashed);
    assert_eq!(suspects(&crash), Some((vec![fingerprint(1_000_000)], true)));
    let back = returns(&crash);
    assert_eq!(
        back.iter().map(|item| item.reason).collect::<Vec<_>>(),
        [ReturnReason::TargetCrashed]
    );
}

/// Guards against an item that waits for good after its target hung up on it, and one that counts as a crash then.
#[test]
fn an_item_hung_up_on_by_a_living_target_ends_with_the_second_answer() {
    let mut bench = Bench::new(still(), fixed(2));
    bench.say(SidecarMessage::Lot(lot(1, &[item(1, 0)])));
    bench.end(item_run(item(1, 0)), RunEnd::Cut);
    up(&mut bench);
    let mut effects = bench.pass(100);
    assert!(effects.contains(&GateEffect::Probe { target: target() }), "{effects:?}");
    effects.extend(up(&mut bench));
    assert_eq!(results(&effects).len(), 1, "{effects:?}");
    assert!(suspects(&effects).is_none() && returns(&effects).is_empty(), "{effects:?}");
}

#[test]
fn the_next_suspect_is_not_blamed_for_a_target_that_was_dying() {
    // Symptom: an innocent request is quarantined.
    // Sequence: a culprit crashes its target alone; the dying target still answers the probe; a
    // suspect that waited is sent there, is cut too, and then the probe is refused.
    // Cause: one answered probe was taken for a target that lives.
    let mut bench = Bench::new(still(), fixed(4));
    bench.say(SidecarMessage::Offer(AttemptOffer { alone: true, ..offer(1, 9_000) }));
    bench.say(SidecarMessage::Offer(AttemptOffer { alone: true, ..offer(2, 9_000) }));
    bench.end(attempt(1), RunEnd::Cut);
    let mut effects = up(&mut bench);
    effects.extend(bench.pass(40));
    if starts(&effects).contains(&attempt(2)) {
        effects.extend(bench.end(attempt(2), RunEnd::Cut));
    }
    effects.extend(down(&mut bench, DownCause::Crashed));
    let blames_it = |message: &GatewayMessage| {
        matches!(message, GatewayMessage::Suspects { fingerprints, alone: true, .. }
            if fingerprints.contains(&fingerprint(2)))
    };
    assert!(!messages(&effects).into_iter().any(blames_it), "{effects:?}");
}

#[test]
fn a_hang_up_on_one_request_blames_nobody_else() {
    // Symptom: healthy requests are isolated though the target never crashed.
    // Sequence: one connection is cut; the probe finds the target well.
    // Cause: a cut connection was taken for a crash of all that was in flight.
    let mut bench = Bench::new(still(), fixed(4));
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    bench.say(SidecarMessage::Offer(offer(2, 9_000)));
    bench.end(attempt(1), RunEnd::Cut);
    let well = up(&mut bench);
    assert_eq!(outcomes(&well), [(attempt(1), AttemptOutcome::Crashed)]);
    assert_eq!(suspects(&well), Some((vec![fingerprint(1)], false)), "itself only");
    assert!(bench.in_flight.contains_key(&attempt(2)), "its neighbour runs on");
}

#[test]
fn a_restart_seen_only_by_its_number_is_a_crash() {
    // Symptom: after a fast restart the culprit is never named.
    // Sequence: the engine dies and is back before the probe; only its start number changed.
    // Cause: the probe saw a target that answers.
    let mut bench = Bench::new(still(), fixed(4));
    bench.feed(GateEvent::TargetUp { target: target(), instance: Some(1) });
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    bench.end(attempt(1), RunEnd::Cut);
    let effects = bench.feed(GateEvent::TargetUp { target: target(), instance: Some(2) });
    assert_eq!(suspects(&effects), Some((vec![fingerprint(1)], true)));
    assert!(bench.load().up);
}

#[test]
fn a_frozen_target_ends_its_runs_and_names_nobody() {
    // Symptom: a paused VM puts twenty innocent requests into isolation.
    // Sequence: the target takes connections and says nothing; stops are never confirmed.
    // Cause: a freeze was treated like a crash.
    let mut bench = Bench::new(still(), fixed(2));
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    let effects = down(&mut bench, DownCause::Frozen);
    assert_eq!(stops(&effects), [attempt(1)]);
    assert_eq!(suspects(&effects), None);
    let ended = bench.end(attempt(1), RunEnd::Stopped);
    assert_eq!(outcomes(&ended), [(attempt(1), AttemptOutcome::Crashed)]);
}

#[test]
fn a_stop_that_is_never_confirmed_gives_its_slot_back() {
    // Symptom: online work waits for ever behind a batch run that was told to go.
    // Sequence: all slots hold batch; online comes; the target never confirms the stop.
    // Cause: the slot was only given back on the target's word.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::Lot(lot(1, &[item(1, 0)])));
    let effects = bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    assert_eq!(stops(&effects), [item_run(item(1, 0))]);
    assert!(starts(&effects).is_empty());
    let effects = bench.pass(300);
    assert_eq!(starts(&effects), [attempt(1)]);
}

#[test]
fn a_poison_request_runs_alone_and_its_neighbours_are_cleared() {
    // Symptom: a request that crashes targets takes ever more neighbours with it.
    // Sequence: it is suspected elsewhere, comes here with others running, and crashes this one.
    // Cause: suspects ran beside others, so that every crash blamed all of them.
    let mut bench = Bench::new(still(), fixed(4));
    bench.say(SidecarMessage::Suspected(vec![fingerprint(2), fingerprint(3)]));
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    let held = bench.say(SidecarMessage::Offer(offer(2, 9_000)));
    assert!(starts(&held).is_empty(), "waits until the target is empty");
    let others = bench.say(SidecarMessage::Offer(offer(4, 9_000)));
    assert_eq!(refusals(&others), [(attempt(4), RefusalReason::Overloaded)], "sent on at once");
    let alone = bench.end(attempt(1), RunEnd::Complete { status: 200 });
    assert_eq!(starts(&alone), [attempt(2)]);
    bench.end(attempt(2), RunEnd::Complete { status: 200 });
    assert_eq!(bench.in_flight.len(), 0);
    // The innocent one is cleared: next time it runs beside others.
    bench.pass(10_000);
    bench.say(SidecarMessage::Offer(offer(5, 9_000)));
    let again = AttemptOffer { fingerprint: fingerprint(2), ..offer(6, 9_000) };
    assert_eq!(starts(&bench.say(SidecarMessage::Offer(again))), [attempt(6)]);
    // The culprit crashes its target alone, and is named alone.
    bench.end(attempt(5), RunEnd::Complete { status: 200 });
    bench.end(attempt(6), RunEnd::Complete { status: 200 });
    let culprit = bench.say(SidecarMessage::Offer(offer(3, 9_000)));
    assert_eq!(starts(&culprit), [attempt(3)]);
    let crash = down(&mut bench, DownCause::Crashed);
    assert_eq!(suspects(&crash), Some((vec![fingerprint(3)], true)));
}

#[test]
fn a_suspect_that_finds_no_empty_target_is_refused_in_time() {
    // Symptom: a busy target stops serving for as long as a suspect waits.
    // Sequence: an endless stream holds the target; a suspect waits for it to be empty.
    // Cause: the wait for isolation had no bound.
    let settings = GateSettings { isolation_wait: Duration::from_millis(500), ..still() };
    let mut bench = Bench::new(settings, fixed(4));
    bench.say(SidecarMessage::Offer(offer(1, 60_000)));
    bench.say(SidecarMessage::Offer(AttemptOffer { alone: true, ..offer(2, 60_000) }));
    let effects = bench.pass(600);
    assert_eq!(refusals(&effects), [(attempt(2), RefusalReason::Overloaded)]);
    assert_eq!(starts(&bench.say(SidecarMessage::Offer(offer(3, 9_000)))), [attempt(3)]);
    let again = AttemptOffer { alone: true, ..offer(4, 60_000) };
    bench.say(SidecarMessage::Offer(again));
    let beside = bench.say(SidecarMessage::Offer(offer(5, 9_000)));
    assert_eq!(starts(&beside), [attempt(5)], "the target isn't drained again at once");
}

#[test]
fn quarantined_work_is_refused_with_its_reason() {
    // Symptom: a known culprit goes on crashing targets.
    // Sequence: it is quarantined fleet-wide; its caller sends it again, and a lot carries it.
    // Cause: the gate took it in all the same.
    let mut bench = Bench::new(still(), fixed(4));
    bench.say(SidecarMessage::Quarantined(vec![fingerprint(1), fingerprint(1_000_000)]));
    let effects = bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    assert_eq!(refusals(&effects), [(attempt(1), RefusalReason::Quarantined)]);
    let effects = bench.say(SidecarMessage::Lot(lot(1, &[item(1, 0), item(1, 1)])));
    let failed = results(&effects);
    assert_eq!(failed.len(), 1);
    assert!(matches!(
        failed[0].outcome,
        ItemOutcome::Failed {
            reason: RefusalReason::Quarantined,
            retryable: false,
            ran: Ran::No,
            ..
        }
    ));
    assert_eq!(starts(&effects), [item_run(item(1, 1))], "the rest of its job goes on");
}

#[rstest]
#[case::for_an_empty_target(true)]
#[case::for_a_slot(false)]
fn waiting_work_that_is_quarantined_never_starts(#[case] alone: bool) {
    // Symptom: a request that is quarantined fleet-wide crashes one more target.
    // Sequence: it waits here, as a suspect for an empty target or for a slot, and as an item of a
    // lot; it is quarantined for its crashes elsewhere; then the target is free for it.
    // Cause: only new offers and lots were looked at for quarantine.
    let mut bench = Bench::new(still(), fixed(1));
    bench.say(SidecarMessage::Offer(offer(1, 9_000)));
    bench.say(SidecarMessage::Offer(AttemptOffer { alone, ..offer(2, 9_000) }));
    bench.say(SidecarMessage::Lot(lot(1, &[item(1, 0), item(1, 1)])));
    let culprits = vec![fingerprint(2), fingerprint(1_000_000)];
    let mut effects = bench.say(SidecarMessage::Quarantined(culprits));
    effects.extend(bench.end(attempt(1), RunEnd::Complete { status: 200 }));
    assert_eq!(refusals(&effects), [(attempt(2), RefusalReason::Quarantined)]);
    assert_eq!(results(&effects).len(), 1, "the item has its result");
    assert_eq!(starts(&effects), [item_run(item(1, 1))], "what isn't quarantined runs");
}

#[test]
fn items_that_ran_beside_a_culprit_follow_each_other_quickly() {
    // Symptom: a job with one item that crashes its target ends late, or not within a minute.
    // Sequence: the items that ran beside the culprit are suspects; each runs alone here, ends
    // within 100 ms, and the next one waits.
    // Cause: a pause of five seconds followed each of them, however short its run was.
    let mut bench = Bench::new(still(), fixed(4));
    let items: Vec<ItemKey> = (0..4).map(|number| item(1, number)).collect();
    let marks = (0..4).map(|number| fingerprint(1_000_000 + number)).collect();
    bench.say(SidecarMessage::Suspected(marks));
    let mut started = starts(&bench.say(SidecarMessage::Lot(lot(1, &items))));
    for _ in 0..items.len() {
        assert_eq!(started.len(), 1, "one at a time, and none is kept waiting for long");
        bench.pass(100);
        bench.end(started[0], RunEnd::Complete { status: 200 });
        started = starts(&bench.pass(150));
    }
    assert!(started.is_empty(), "all have run");
}
