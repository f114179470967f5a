//! Detection of requests and prompt parts that crash the targets running them.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// A request with these prompt parts.
fn request(request: u64, parts: &[u64]) -> RequestSuspects<'_> {
    RequestSuspects { request, parts }
}

/// Counts a crash of a target against everything in a request that may have caused it. Returns whether a suspect is refused
/// from now on, or for longer.
fn crash(
    table: &mut SuspectTable,
    suspects: RequestSuspects<'_>,
    target: &str,
    now: MonoTime,
) -> bool {
    crash_after(table, suspects, (target, None), now)
}

/// The same for a run that had reached an event.
fn crash_after(
    table: &mut SuspectTable,
    suspects: RequestSuspects<'_>,
    (target, reached): (&str, Option<u64>),
    now: MonoTime,
) -> bool {
    let blamed = table.blamed(suspects, now);
    let report = |suspect| {
        let (target, request) = (target.to_owned(), suspects.request);
        CrashReport { suspect, target, request, reached }
    };
    let refusals = blamed.into_iter().map(|suspect| table.note_crash(&report(suspect), now));
    refusals.fold(false, |any, refusal| any | refusal.is_some())
}

fn is_refused(table: &mut SuspectTable, suspects: RequestSuspects<'_>, now: MonoTime) -> bool {
    matches!(table.admit(suspects, false, now), SuspectAdmission::Refused { .. })
}

/// Whether a request is refused and may ask the gateway that counts for a probe.
fn asks_probe(table: &mut SuspectTable, suspects: RequestSuspects<'_>, now: MonoTime) -> bool {
    let admission = table.admit(suspects, false, now);
    matches!(admission, SuspectAdmission::Refused { asks_probe: true, .. })
}

fn ask(table: &mut SuspectTable, suspect: CrashSuspect, request: u64, now: MonoTime) -> ProbeReply {
    let refusal = table.refusal(suspect, now).expect("a refused suspect");
    table.grant_probe(refusal, request, now)
}

/// Guards against a request that takes down target after target: it crashes each target that begins
/// to run it, and its client sends it again.
#[test]
fn a_request_is_refused_after_its_third_target() {
    let mut table = SuspectTable::default();
    let culprit = request(CrashSuspect::request_id("/p/1", b"bad"), &[]);
    let other = request(CrashSuspect::request_id("/p/1", b"good"), &[]);
    assert!(!crash(&mut table, culprit, "t1", at(0)));
    assert!(!crash(&mut table, culprit, "t2", at(100)));
    assert!(!is_refused(&mut table, culprit, at(100)));
    assert!(crash(&mut table, culprit, "t3", at(200)));
    assert!(is_refused(&mut table, culprit, at(300)));
    assert!(!is_refused(&mut table, other, at(300)));
    assert!(is_refused(&mut table, culprit, at(60_300)), "it needs a probe, however late");
}

/// Guards against refusing a good request because one failing target interrupts each of its runs,
/// or because interruptions still count after the request has run elsewhere.
#[test]
fn a_failing_target_does_not_get_requests_refused() {
    let mut table = SuspectTable::default();
    let good = request(CrashSuspect::request_id("/p/1", b"good"), &[]);
    for now in 0..10 {
        assert!(!crash(&mut table, good, "t1", at(now)));
    }
    assert!(!crash(&mut table, good, "t2", at(20)));
    table.note_answer(good, at(25));
    assert!(!crash(&mut table, good, "t3", at(30)));
    assert!(!crash(&mut table, good, "t4", at(2_030)), "its count begins anew");
    assert!(!crash(&mut table, good, "t5", at(2_040)));
}

/// Guards against unbounded memory use when many requests are interrupted once each.
#[test]
fn the_number_of_records_is_bounded() {
    let mut table = SuspectTable::default();
    crash(&mut table, request(1, &[]), "t1", at(0));
    crash(&mut table, request(1, &[]), "t2", at(0));
    for other in 0..5_000 {
        crash(&mut table, request(other + 10, &[]), "t1", at(1));
    }
    assert!(crash(&mut table, request(1, &[]), "t3", at(2)), "it has the most crashes");
    crash(&mut table, request(2, &[]), "t1", at(0));
    crash(&mut table, request(2, &[]), "t2", at(0));
    for other in 0..5_000 {
        crash(&mut table, request(other + 10_000, &[]), "t2", at(3));
        crash(&mut table, request(other + 10_000, &[]), "t3", at(3));
    }
    assert!(!crash(&mut table, request(2, &[]), "t3", at(4)), "the oldest record was evicted");
}

/// Guards against evidence against a part that many interrupted requests displace.
#[test]
fn records_of_requests_do_not_displace_those_of_parts() {
    let mut table = SuspectTable::default();
    for (number, now) in [(1, 0), (2, 200)] {
        crash(&mut table, request(number, &[7]), &format!("t{number}"), at(now));
    }
    for other in 0..5_000 {
        crash(&mut table, request(other + 10, &[]), "t9", at(210));
    }
    assert!(crash(&mut table, request(3, &[7]), "t3", at(300)));
    assert!(is_refused(&mut table, request(4, &[7]), at(300)));
}

/// Guards against a sound request that is refused for the crashes of others: it was answered at this gateway, and another
/// one counts the interruptions.
#[test]
fn an_answered_request_is_not_interrupted_by_its_own_fault() {
    let mut table = SuspectTable::default();
    table.note_answer(request(7, &[]), at(0));
    for (target, now) in [("t1", 1_000), ("t2", 2_000), ("t3", 3_000)] {
        assert!(!crash(&mut table, request(7, &[]), target, at(now)));
    }
    assert!(crash(&mut table, request(7, &[]), "t4", at(4_000)), "new software may not run it");
    let suspect = CrashSuspect::Request(7);
    let mut answering = SuspectTable::default();
    answering.note_answer(request(7, &[]), at(3_000));
    let refusal = table.refusal(suspect, at(4_000)).expect("it is refused");
    assert!(!answering.apply_refusal(refusal, at(4_000)), "it was answered a moment ago");
    table.clear(suspect);
    assert!(!is_refused(&mut table, request(7, &[]), at(4_000)));
}

/// Guards against sound requests that stay refused for the crashes of others: the first probe comes soon, and one answer
/// ends the refusal.
#[test]
fn a_victim_is_served_again_by_its_first_probe() {
    let mut table = SuspectTable::default();
    for (target, now) in [("t1", 50_000), ("t2", 50_100), ("t3", 50_200)] {
        crash(&mut table, request(7, &[]), target, at(now));
    }
    assert!(is_refused(&mut table, request(7, &[]), at(50_300)));
    let suspect = CrashSuspect::Request(7);
    assert_eq!(ask(&mut table, suspect, 7, at(50_700)), ProbeReply::Granted);
    table.note_granted(suspect, 7, at(50_700));
    assert_eq!(table.admit(request(7, &[]), false, at(50_700)), SuspectAdmission::Probe);
    let findings = table.note_answer(request(7, &[]), at(51_000));
    assert_eq!(findings.cleared, [CrashSuspect::Request(7)]);
    assert_eq!(table.admit(request(7, &[]), false, at(51_000)), SuspectAdmission::Admitted);
}

/// Guards against a request that is let through again because a part of its prompt, refused for the same crashes, was found
/// sound.
#[test]
fn clearing_a_part_keeps_what_was_counted_against_a_request() {
    let mut table = SuspectTable::default();
    let (culprit, part) = (request(1, &[9]), CrashSuspect::Part(9));
    crash(&mut table, culprit, "t1", at(0));
    crash(&mut table, culprit, "t2", at(200));
    // A sound request ran beside the third time, so that the part is refused, too.
    crash(&mut table, request(2, &[9]), "t3", at(300));
    assert!(table.refusal(part, at(300)).is_some());
    let whole = CrashReport {
        suspect: CrashSuspect::Request(1),
        target: "t3".to_owned(),
        request: 1,
        reached: None,
    };
    assert!(table.note_crash(&whole, at(300)).is_some());
    table.clear(part);
    table.note_answer(request(3, &[9]), at(900));
    assert!(is_refused(&mut table, culprit, at(900)));
    assert!(!is_refused(&mut table, request(3, &[9]), at(900)));
}

/// Guards against a sound part that is refused for the crashes of one request, and whose probes that request uses up.
#[test]
fn crashes_of_one_request_are_not_blamed_on_its_parts() {
    let mut table = SuspectTable::default();
    let culprit = request(1, &[9]);
    for (target, now) in [("t1", 0), ("t2", 300), ("t3", 600), ("t4", 1_500)] {
        crash(&mut table, culprit, target, at(now));
    }
    assert_eq!(table.blamed(culprit, at(1_600)), [CrashSuspect::Request(1)]);
    assert!(is_refused(&mut table, culprit, at(1_600)));
    assert!(!is_refused(&mut table, request(2, &[9]), at(1_600)));
}

/// Guards against a part that is not found because each request with it is refused by itself.
#[test]
fn a_second_request_that_crashes_targets_reveals_the_part() {
    let mut table = SuspectTable::default();
    for (target, now) in [("t1", 0), ("t2", 200), ("t3", 400)] {
        crash(&mut table, request(1, &[9]), target, at(now));
    }
    assert!(!is_refused(&mut table, request(2, &[9]), at(500)));
    crash(&mut table, request(2, &[9]), "t4", at(600));
    assert!(is_refused(&mut table, request(3, &[9]), at(700)));
}

/// Guards against a request that is not counted because it crashes targets after some events, and against streams that are
/// refused although each of their runs goes further.
#[test]
fn runs_count_against_a_request_unless_they_go_further() {
    let mut table = SuspectTable::default();
    for (target, reached) in [("t1", 3), ("t2", 3)] {
        crash_after(&mut table, request(1, &[]), (target, Some(reached)), at(reached));
    }
    assert!(crash_after(&mut table, request(1, &[]), ("t3", Some(4)), at(10)));
    for (target, reached) in [("t1", 10), ("t2", 40), ("t3", 70), ("t4", 100)] {
        assert!(!crash_after(&mut table, request(2, &[]), (target, Some(reached)), at(reached)));
    }
}

/// Guards against streams that go on at further targets after their request was refused, and against sound streams that are
/// broken off for a part.
#[test]
fn a_stream_that_has_begun_is_refused_only_for_itself() {
    let mut table = SuspectTable::default();
    for (number, now) in [(1, 0), (2, 200), (3, 400)] {
        crash(&mut table, request(number, &[9]), &format!("t{number}"), at(now));
    }
    assert_eq!(table.admit(request(8, &[9]), true, at(500)), SuspectAdmission::Admitted);
    for target in ["u1", "u2", "u3"] {
        crash(&mut table, request(8, &[]), target, at(600));
    }
    let admission = table.admit(request(8, &[9]), true, at(700));
    assert!(matches!(admission, SuspectAdmission::Refused { .. }), "{admission:?}");
}

/// Guards against requests with two refused parts that never run, as no request may probe two parts.
#[test]
fn one_request_probes_both_of_its_refused_parts() {
    let mut table = SuspectTable::default();
    let parts = [CrashSuspect::Part(1), CrashSuspect::Part(2)];
    for suspect in parts {
        table.apply_refusal(SuspectRefusal { suspect, level: 0, left: Duration::ZERO }, at(0));
        table.note_granted(suspect, 5, at(10));
    }
    let sound = request(5, &[1, 2]);
    assert_eq!(table.admit(sound, false, at(20)), SuspectAdmission::Probe);
    assert_eq!(table.note_answer(sound, at(500)).cleared, parts);
    assert_eq!(table.admit(sound, false, at(600)), SuspectAdmission::Admitted);
}

/// Guards against a request with several refused suspects that gets a probe for each of them.
#[test]
fn a_request_waits_for_the_last_probe_of_all_its_suspects() {
    let mut table = SuspectTable::default();
    let part = CrashSuspect::Part(9);
    let refusal = |suspect, left| SuspectRefusal { suspect, level: 0, left };
    table.apply_refusal(refusal(part, Duration::ZERO), at(0));
    table.apply_refusal(refusal(CrashSuspect::Request(1), Duration::from_secs(3)), at(0));
    table.note_granted(part, 2, at(10));
    let admission = table.admit(request(1, &[9]), false, at(1_000));
    let (suspect, left) = (CrashSuspect::Request(1), Duration::from_secs(2));
    assert_eq!(
        admission,
        SuspectAdmission::Refused { suspect, left, asks_probe: false, is_final: false }
    );
    assert_eq!(table.admit(request(2, &[9]), false, at(1_000)), SuspectAdmission::Probe);
}

/// Guards against sound requests that stay refused because a request that crashes targets uses up the probes of a part that
/// they share: two incarnations have crashed under it and it isn't refused yet (soak of crashing requests, seed 1024).
#[test]
fn a_request_under_which_targets_crashed_probes_a_part_last() {
    let mut table = SuspectTable::default();
    let part = CrashSuspect::Part(9);
    for (number, target, now) in [(1, "t1", 0), (1, "t2", 200), (2, "t3", 400)] {
        crash(&mut table, request(number, &[9]), target, at(now));
    }
    assert_eq!(ask(&mut table, part, 1, at(900)), ProbeReply::NotNow);
    assert_eq!(ask(&mut table, part, 3, at(900)), ProbeReply::Granted);
    table.note_granted(part, 3, at(900));
    assert!(is_refused(&mut table, request(1, &[9]), at(910)), "granted to another request");
    assert_eq!(table.admit(request(3, &[9]), false, at(910)), SuspectAdmission::Probe);
    assert_eq!(ask(&mut table, part, 1, at(6_000)), ProbeReply::Granted, "no other came");
}

/// Guards against a request that one gateway refuses for good, because it heard that the request is sound before it heard of
/// the refusal, while the gateway that counts keeps answering it (soak of crashing requests, seed 1024).
#[test]
fn a_refusal_that_comes_after_its_end_is_ended_by_the_counting_gateway() {
    let (mut counting, mut other) = (SuspectTable::default(), SuspectTable::default());
    let suspect = CrashSuspect::Request(7);
    let refusal = SuspectRefusal { suspect, level: 0, left: Duration::from_millis(500) };
    other.clear(suspect);
    other.apply_refusal(refusal, at(0));
    counting.note_answer(request(7, &[]), at(900));
    let asked = other.refusal(suspect, at(1_000)).expect("it is refused here");
    assert_eq!(counting.grant_probe(asked, 7, at(1_000)), ProbeReply::Sound);
    other.clear(suspect);
    assert_eq!(other.admit(request(7, &[]), false, at(1_000)), SuspectAdmission::Admitted);
}

/// Guards against evidence that outlives an answer: the gateway that counts must hear of it.
#[test]
fn an_answer_after_a_reported_crash_is_told() {
    let mut table = SuspectTable::default();
    let sound = request(1, &[9]);
    for suspect in table.blamed(sound, at(0)) {
        table.note_reported(suspect);
    }
    let told = table.note_answer(sound, at(100));
    let reported = vec![CrashSuspect::Request(1), CrashSuspect::Part(9)];
    assert_eq!(told, AnswerFindings { cleared: Vec::new(), reported });
    assert_eq!(table.note_answer(sound, at(200)), AnswerFindings::default(), "once");
}

/// Guards against crashes that are not counted because the news of the target's restart comes before the end of its
/// connections.
#[test]
fn a_run_whose_target_has_restarted_may_have_crashed_it() {
    assert!(AttemptFailure::TargetRestarted.may_be_crash());
    assert!(AttemptFailure::CutAnswer.may_be_crash());
    assert!(!AttemptFailure::ConnectFailed.may_be_crash());
    assert!(!AttemptFailure::TargetError.may_be_crash());
}

/// Guards against items that wait for the probes of a refused part, which come later with each crash: an item is owed. One
/// at a time runs, and its answer ends the refusal.
#[test]
fn items_with_a_refused_part_run_one_at_a_time() {
    let mut table = SuspectTable::default();
    for n in 0..3_u64 {
        let target = format!("t{n}");
        crash(&mut table, request(n, &[7]), &target, at(n * 200));
    }
    assert!(is_refused(&mut table, request(9, &[7]), at(500)));
    let (first, second) = (request(101, &[7]), request(102, &[7]));
    assert_eq!(table.item_wait(first, at(500)), Duration::ZERO);
    assert_eq!(table.item_wait(first, at(600)), Duration::ZERO, "it has not started yet");
    assert!(!table.item_wait(second, at(600)).is_zero());
    assert_eq!(table.item_wait(request(103, &[8]), at(600)), Duration::ZERO, "another part");
    assert_eq!(table.item_wait(second, at(3_600)), Duration::ZERO, "the first had its turn");
    table.note_answer(second, at(4_000));
    assert_eq!(table.item_wait(first, at(4_000)), Duration::ZERO);
    assert!(!is_refused(&mut table, request(9, &[7]), at(4_000)));
}

/// Guards against sound requests that stay refused because a request that crashes targets uses up the probes of a part: it was
/// still running when the part was refused (soak of several culprits, seed 2110).
#[test]
fn a_request_that_ran_when_a_part_was_refused_probes_it_last() {
    let mut table = SuspectTable::default();
    let part = CrashSuspect::Part(9);
    for (number, target, now) in [(1, "t1", 0), (2, "t2", 200), (3, "t3", 400)] {
        crash(&mut table, request(number, &[9]), target, at(now));
    }
    assert!(!crash(&mut table, request(4, &[9]), "t4", at(450)), "no probe");
    assert_eq!(ask(&mut table, part, 4, at(900)), ProbeReply::NotNow);
    assert_eq!(ask(&mut table, part, 5, at(900)), ProbeReply::Granted);
}

/// Guards against a counting gateway that follows another one and doesn't know which requests crash targets, and against a
/// gateway that asks for a probe by such a request (soak of several culprits, seeds 2110 and 2308).
#[test]
fn every_gateway_knows_under_which_requests_targets_crashed() {
    let (mut counting, mut next) = (SuspectTable::default(), SuspectTable::default());
    let part = CrashSuspect::Part(9);
    for (number, target, now) in [(1, "t1", 0), (2, "t2", 200), (3, "t3", 400)] {
        crash(&mut counting, request(number, &[9]), target, at(now));
    }
    let refusal = counting.refusal(part, at(400)).expect("it is refused");
    next.apply_refusal(refusal, at(400));
    next.note_crashed_under(part, &counting.crashed_under(part));
    assert!(!asks_probe(&mut next, request(1, &[9]), at(900)));
    assert_eq!(ask(&mut next, part, 1, at(900)), ProbeReply::NotNow);
    assert!(asks_probe(&mut next, request(4, &[9]), at(900)));
    assert!(asks_probe(&mut next, request(1, &[9]), at(2_900)), "no other came");
}

/// Guards against sound requests that are refused again by a gateway that was out of contact when the refusal of their part
/// ended, and tells the others of it (soak of several culprits, seed 2110).
#[test]
fn a_refusal_that_ended_out_of_contact_does_not_come_back() {
    let (mut stale, mut answering, mut told) =
        (SuspectTable::default(), SuspectTable::default(), SuspectTable::default());
    let (suspect, level) = (CrashSuspect::Part(9), 1);
    let refusal = SuspectRefusal { suspect, level, left: Duration::from_secs(3) };
    for table in [&mut stale, &mut answering, &mut told] {
        table.apply_refusal(refusal, at(1_000));
    }
    assert_eq!(answering.note_answer(request(1, &[9]), at(5_000)).cleared, [suspect]);
    told.note_cleared(suspect, at(5_000));
    let now = at(8_000);
    let refusal = stale.refusal(suspect, now).expect("it is refused there");
    let age = stale.refusal_age(suspect, now);
    for table in [&mut answering, &mut told] {
        assert!(!table.apply_told_refusal(refusal, age, now), "older than the answer");
        assert_eq!(table.admit(request(1, &[9]), false, now), SuspectAdmission::Admitted);
        let newer = Duration::from_secs(2);
        assert!(table.apply_told_refusal(refusal, newer, now), "newer than the answer");
        assert!(table.apply_told_refusal(refusal, age, now), "the newer one is known");
        assert!(is_refused(table, request(1, &[9]), now));
    }
}

/// Guards against the crashes of a request that are forgotten while a part of it waits for its longest probe.
#[test]
fn crashes_of_a_request_are_kept_while_its_part_is_refused() {
    let mut table = SuspectTable::default();
    let culprit = request(1, &[9]);
    crash(&mut table, culprit, "t1", at(0));
    crash(&mut table, culprit, "t2", at(3_000));
    assert!(crash(&mut table, culprit, "t3", at(124_000)), "the third target");
}

/// Guards against sound requests that stay refused because a gateway, which counted crashes while it was out of contact, forgets
/// them with another gateway's refusal (soak of several culprits, seed 2308).
#[test]
fn a_refusal_by_another_gateway_keeps_what_was_counted_here() {
    let mut table = SuspectTable::default();
    let suspect = CrashSuspect::Part(9);
    crash(&mut table, request(1, &[9]), "t1", at(0));
    table.apply_refusal(SuspectRefusal { suspect, level: 0, left: Duration::ZERO }, at(100));
    assert_eq!(table.crashed_under(suspect), [1]);
    assert!(!asks_probe(&mut table, request(1, &[9]), at(200)));
    assert!(asks_probe(&mut table, request(2, &[9]), at(200)));
}

/// Guards against a sound part that is refused for longer and longer: it was probed by requests that have another part, which
/// crashes targets (soak of all options, seed 100).
#[test]
fn a_part_is_probed_first_by_requests_without_other_suspects() {
    let mut table = SuspectTable::default();
    let refuse = |table: &mut SuspectTable, part| {
        let suspect = CrashSuspect::Part(part);
        table.apply_refusal(SuspectRefusal { suspect, level: 0, left: Duration::ZERO }, at(10_000));
    };
    table.note_answer(request(1, &[3]), at(1_000));
    refuse(&mut table, 9);
    assert!(!asks_probe(&mut table, request(2, &[9, 4]), at(10_000)), "4 was never answered");
    assert!(asks_probe(&mut table, request(2, &[9, 3]), at(10_000)));
    assert!(asks_probe(&mut table, request(2, &[9]), at(10_100)));
    assert!(asks_probe(&mut table, request(2, &[9, 4]), at(10_500)), "no other came");
    refuse(&mut table, 4);
    assert!(!asks_probe(&mut table, request(2, &[9, 4]), at(11_900)), "both are refused");
    assert!(asks_probe(&mut table, request(2, &[4]), at(11_900)));
    assert!(asks_probe(&mut table, request(2, &[9, 4]), at(12_000)), "no other came");
}

/// Guards against sound requests that stay refused because a request that crashes targets probes a part as soon as the refusal of
/// another part ends, which had held up all others (soak of several culprits, seed 2110).
#[test]
fn a_part_is_probed_by_sound_requests_first_once_another_one_is_cleared() {
    let mut table = SuspectTable::default();
    for part in [8, 9] {
        let suspect = CrashSuspect::Part(part);
        table.apply_refusal(SuspectRefusal { suspect, level: 0, left: Duration::ZERO }, at(0));
    }
    table.note_crashed_under(CrashSuspect::Part(9), &[1]);
    table.note_answer(request(5, &[8]), at(20_000));
    assert!(!asks_probe(&mut table, request(1, &[8, 9]), at(20_100)));
    assert!(asks_probe(&mut table, request(2, &[8, 9]), at(20_100)));
    assert!(asks_probe(&mut table, request(1, &[8, 9]), at(22_000)), "no other came");
}

/// Guards against a sound part whose probes pause for longer and longer by the crashes of one request.
#[test]
fn crashes_of_one_request_lengthen_the_pause_of_its_part_once() {
    let mut table = SuspectTable::default();
    let suspect = CrashSuspect::Part(9);
    for (number, target, now) in [(1, "t1", 0), (2, "t2", 200), (3, "t3", 400)] {
        crash(&mut table, request(number, &[9]), target, at(now));
    }
    let level =
        |table: &SuspectTable, now| table.refusal(suspect, at(now)).map(|refusal| refusal.level);
    assert!(crash(&mut table, request(4, &[9]), "t4", at(3_000)), "a probe");
    assert_eq!(level(&table, 3_000), Some(1));
    assert!(crash(&mut table, request(4, &[9]), "t5", at(9_000)), "the same request");
    assert_eq!(level(&table, 9_000), Some(1));
    assert!(crash(&mut table, request(5, &[9]), "t6", at(13_000)), "another one");
    assert_eq!(level(&table, 13_000), Some(2));
}

/// Guards against sound requests that stay refused on a loaded gateway: each is refused just before the grant of its probe
/// arrives, which nobody else could use for five seconds (soak of several culprits, seed 2308).
#[test]
fn a_grant_that_came_too_late_serves_the_next_sound_request() {
    let mut table = SuspectTable::default();
    let part = CrashSuspect::Part(9);
    table.apply_refusal(SuspectRefusal { suspect: part, level: 1, left: Duration::ZERO }, at(0));
    table.note_crashed_under(part, &[1]);
    assert!(asks_probe(&mut table, request(2, &[9]), at(100)));
    assert_eq!(ask(&mut table, part, 2, at(100)), ProbeReply::Granted);
    table.note_granted(part, 2, at(150));
    assert!(is_refused(&mut table, request(3, &[9]), at(160)), "the first one may still wait");
    assert!(is_refused(&mut table, request(1, &[9]), at(300)), "a target crashed under it");
    assert!(is_refused(&mut table, request(4, &[9, 8]), at(300)), "8 was never answered");
    assert_eq!(table.admit(request(3, &[9]), false, at(300)), SuspectAdmission::Probe);
    assert!(is_refused(&mut table, request(5, &[9]), at(310)), "once");
}
