//! Requests that crash the targets which run them.

use notch_relay::prelude::*;
use notch_types::prelude::*;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// Symptom: one request takes down target after target. Sequence: it crashes each target that begins
/// to run it, and its client sends it again. Cause: each time it was taken for a new request.
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
    assert!(!table.is_refused(culprit, at(60_300)), "another version may be able to run it");
}

/// Symptom: a good request is refused. Sequence: one ill target breaks off each of its answers, and
/// the request runs elsewhere. Cause: breaks were counted, not the targets that broke it off; or they
/// counted on after it had run.
#[test]
fn an_ill_target_condemns_no_request() {
    let mut table = CrashTable::default();
    let request = CrashTable::fingerprint("/p/1", b"good");
    for now in 0..10 {
        assert!(!table.note_interruption(request, "t1", at(now)));
    }
    assert!(!table.note_interruption(request, "t2", at(20)));
    table.clear(request);
    assert!(!table.note_interruption(request, "t3", at(30)));
}

/// Symptom: a gateway's memory grows all day. Sequence: many requests break off once each. Cause: what
/// is remembered of them had no bound.
#[test]
fn only_the_newest_are_remembered() {
    let mut table = CrashTable::default();
    table.note_interruption(1, "t1", at(0));
    table.note_interruption(1, "t2", at(0));
    for other in 0..5_000 {
        table.note_interruption(other + 10, "t1", at(1));
    }
    assert!(!table.note_interruption(1, "t3", at(2)), "the first one was forgotten");
}
