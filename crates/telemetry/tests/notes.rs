//! The note history, compared with a reference implementation that keeps every note.

use notch_telemetry::prelude::*;
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const CODES: [&str; 3] = ["routed", "retried", "refused"];
const SUBJECTS: usize = 3;
const NOTES: usize = 4;

/// Every recorded note, in order: (time, subject, step).
type NaiveHistory = Vec<(u64, u8, NoteStep)>;

fn subject(number: u8) -> NoteSubject {
    NoteSubject::Vm(VmName::new(&format!("vm-{number}")))
}

/// Subjects that are still known: the `SUBJECTS` with the newest notes.
fn naive_subjects(history: &NaiveHistory) -> Vec<u8> {
    let mut known: Vec<u8> = Vec::new();
    for (_, subject, _) in history.iter().rev() {
        if !known.contains(subject) {
            known.push(*subject);
        }
    }
    known.truncate(SUBJECTS);
    known
}

/// The entries of a subject since it was last evicted, with repetitions merged.
fn naive_entries(history: &NaiveHistory, wanted: u8) -> Vec<(u64, u64, u32, NoteStep)> {
    let mut entries: Vec<(u64, u64, u32, NoteStep)> = Vec::new();
    for (index, (at, subject, step)) in history.iter().enumerate() {
        if !naive_subjects(&history[..=index].to_vec()).contains(&wanted) {
            entries.clear();
        }
        if *subject != wanted {
            continue;
        }
        let alike = |known: &NoteStep| {
            (known.code, &known.vm, known.reason) == (step.code, &step.vm, step.reason)
        };
        match entries.last_mut().filter(|(_, _, _, known)| alike(known)) {
            Some((_, last, times, known)) => {
                (*last, *times, *known) = (*at, *times + 1, step.clone());
            }
            None => entries.push((*at, *at, 1, step.clone())),
        }
    }
    entries
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(2), cases: 256, failure_persistence: None, ..Config::default()
    })]

    #[test]
    fn the_history_keeps_the_newest_notes_of_the_newest_subjects(
        notes in prop::collection::vec((0_u8..5, 0_usize..3, prop::option::of(0_u8..2)), 0..60),
    ) {
        let settings = NoteHistorySettings { subjects: SUBJECTS, notes: NOTES };
        let mut history = NoteHistory::new(settings);
        let mut naive = NaiveHistory::new();
        for (at, (number, code, vm)) in notes.into_iter().enumerate() {
            let mut note = DecisionNote::new(subject(number), CODES[code], format!("at {at}"));
            note.step.vm = vm.map(|vm| VmName::new(&format!("vm-{vm}")));
            naive.push((at as u64, number, note.step.clone()));
            history.record(Now::at_millis(at as u64), note);
            prop_assert!(history.len() <= SUBJECTS);
            let known = naive_subjects(&naive);
            for number in 0..5 {
                let found = history.lookup(&subject(number));
                prop_assert_eq!(found.is_some(), known.contains(&number));
                let Some(found) = found else { continue };
                let all = naive_entries(&naive, number);
                let newest = &all[all.len().saturating_sub(NOTES)..];
                let entries: Vec<_> = found.entries.iter()
                    .map(|e| (e.first.0, e.last.0, e.times, e.step.clone()))
                    .collect();
                prop_assert_eq!(&entries, newest);
                prop_assert_eq!(found.forgotten as usize, all.len() - newest.len());
            }
        }
    }
}

#[test]
fn explain_shows_times_reasons_and_repeats() {
    let mut history = NoteHistory::default();
    let request = RequestId(7);
    let vm = VmName::new("a");
    for at in [1_000, 2_500] {
        let note = DecisionNote::new(NoteSubject::Request(request), "refused", format!("{at}"));
        history.record(Now::at_millis(at), note.with_vm(&vm).with_reason("overloaded"));
    }
    let json = history.explain(&NoteSubject::Request(request)).expect("noted");
    let expected = serde_json::json!({
        "kind": "request",
        "subject": request.to_string(),
        "forgotten": 0,
        "notes": [{
            "at": "1970-01-01T00:00:01.000Z", "at_ms": 1_000, "last_ms": 2_500, "times": 2,
            "code": "refused", "vm": "a", "reason": "overloaded", "detail": "2500",
        }],
    });
    assert_eq!(json, expected);
    assert_eq!(history.explain(&NoteSubject::Vm(vm)), None);
    let far = DecisionNote::new(NoteSubject::Request(request), "routed", String::new());
    history.record(Now { mono: MonoTime(0), wall: WallTime(u64::MAX) }, far);
    assert!(
        history.explain(&NoteSubject::Request(request)).is_some(),
        "a faulty clock causes no panic"
    );
}
