//! Detection of requests that crash the targets running them.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Guards against a request that takes down target after target: it crashes each target that begins
/// to run it, and its client sends it again.
#[test]
fn a_request_is_refused_after_its_third_target() {
    let mut table = CrashTable::default();
    let culprit = CrashTable::fingerprint("/p/1", b"bad");
    assert!(!table.note_interruption(culprit, "t1", at(0)));
    assert!(!table.note_interruption(culprit, "t2", at(100)));
    assert!(!table.is_refused(culprit, at(100)));
    assert!(table.note_interruption(culprit, "t3", at(200)));
    assert!(table.is_refused(culprit, at(300)));
    assert!(!table.is_refused(CrashTable::fingerprint("/p/1", b"good"), at(300)));
    assert!(!table.is_refused(culprit, at(60_300)), "the refusal has expired");
}

/// Guards against refusing a good request because one failing target interrupts each of its runs,
/// or because interruptions still count after the request has run elsewhere.
#[test]
fn a_failing_target_does_not_get_requests_refused() {
    let mut table = CrashTable::default();
    let request = CrashTable::fingerprint("/p/1", b"good");
    for now in 0..10 {
        assert!(!table.note_interruption(request, "t1", at(now)));
    }
    assert!(!table.note_interruption(request, "t2", at(20)));
    table.clear(request, at(25));
    assert!(!table.note_interruption(request, "t3", at(30)));
}

/// Guards against unbounded memory use when many requests are interrupted once each.
#[test]
fn the_number_of_records_is_bounded() {
    let mut table = CrashTable::default();
    table.note_interruption(1, "t1", at(0));
    table.note_interruption(1, "t2", at(0));
    for other in 0..5_000 {
        table.note_interruption(other + 10, "t1", at(1));
    }
    assert!(!table.note_interruption(1, "t3", at(2)), "the oldest record was evicted");
}

/// Guards against a sound request that is refused for the crashes of others: it was answered at this gateway, and another
/// one counts the interruptions.
#[test]
fn an_answered_request_is_not_interrupted_by_its_own_fault() {
    let mut table = CrashTable::default();
    table.clear(7, at(0));
    for (target, now) in [("t1", 1_000), ("t2", 2_000), ("t3", 3_000)] {
        assert!(!table.note_interruption(7, target, at(now)));
    }
    assert!(!table.is_proven(7, at(11_000)), "new software may not run it");
    table.refuse(7, at(11_000));
    table.end_refusal(7);
    assert!(!table.is_refused(7, at(11_000)));
}

/// Guards against sound requests that stay refused for the crashes of a prompt part that was found a moment later.
#[test]
fn the_victims_of_a_prompt_part_are_forgiven() {
    let mut table = CrashTable::default();
    for (target, now) in [("t1", 50_000), ("t2", 50_100), ("t3", 50_200)] {
        table.note_interruption(7, target, at(now));
        table.note_interruption(8, target, at(now - 30_000));
    }
    table.note_interruption(9, "t1", at(50_300));
    assert!(table.is_refused(7, at(50_400)) && table.is_refused(8, at(50_400)));
    table.forgive(at(50_400));
    assert!(!table.is_refused(7, at(50_400)));
    assert!(table.is_refused(8, at(50_400)), "refused long before");
    assert!(!table.note_interruption(9, "t2", at(50_500)), "its count begins anew");
    assert!(!table.note_interruption(9, "t3", at(50_600)));
}

/// Guards against requests with two refused parts that never run, as no request may probe two parts.
#[test]
fn one_request_probes_both_of_its_refused_parts() {
    let mut table = PartCrashTable::default();
    for part in [1, 2] {
        table.apply_refusal(PartRefusal { part, level: 0, left: Duration::ZERO }, at(0));
        table.note_granted(part, at(10));
    }
    assert_eq!(table.admit(&[1, 2], at(20)), PartAdmission::Probe);
    assert_eq!(table.note_answer(&[1, 2], at(500)), [1, 2]);
    assert_eq!(table.admit(&[1, 2], at(600)), PartAdmission::Admitted);
}
