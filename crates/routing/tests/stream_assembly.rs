//! The assembly against a byte buffer that remembers which bytes came.

use notch_routing::{AssemblyError, StreamAssembly};
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

const WHOLE: AttemptOutcome = AttemptOutcome::Complete { status: 200 };
const ROOMY: usize = 1 << 20;

/// Every byte that came, by place; what was given out is the longest run from the start.
#[derive(Default)]
struct NaiveBuffer {
    bytes: Vec<Option<u8>>,
    given: usize,
}

impl NaiveBuffer {
    fn chunk(&mut self, offset: usize, part: &[u8]) -> Vec<u8> {
        let end = offset + part.len();
        if self.bytes.len() < end {
            self.bytes.resize(end, None);
        }
        for (place, byte) in part.iter().enumerate() {
            self.bytes[offset + place].get_or_insert(*byte);
        }
        let fresh: Vec<u8> = self.bytes[self.given..].iter().map_while(|byte| *byte).collect();
        self.given += fresh.len();
        fresh
    }
}

fn settings(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Parts of an answer of up to 200 bytes, in any order, overlapping, repeated, with gaps.
fn parts() -> impl Strategy<Value = (Vec<u8>, Vec<(usize, usize)>, usize)> {
    prop::collection::vec(any::<u8>(), 1..200).prop_flat_map(|answer| {
        let size = answer.len();
        let range =
            (0..=size, 0..40_usize).prop_map(move |(from, len)| (from, (from + len).min(size)));
        (Just(answer), prop::collection::vec(range, 0..60), 0..60_usize)
    })
}

proptest! {
    #![proptest_config(settings(2_000))]

    #[test]
    fn gives_out_what_a_naive_buffer_would((answer, ranges, end_at) in parts()) {
        let mut assembly = StreamAssembly::new(ROOMY);
        let mut naive = NaiveBuffer::default();
        let mut has_end = false;
        for (step, (from, upto)) in ranges.into_iter().enumerate() {
            if step == end_at {
                prop_assert_eq!(assembly.ended(answer.len() as u64, WHOLE), Ok(()));
                has_end = true;
            }
            let part = &answer[from..upto];
            prop_assert_eq!(assembly.chunk(from as u64, part), Ok(naive.chunk(from, part)));
            prop_assert_eq!(assembly.resume_from(), naive.given as u64);
            let is_whole = has_end && naive.given == answer.len();
            prop_assert_eq!(assembly.is_complete(), is_whole);
            prop_assert_eq!(assembly.settled(), is_whole.then_some(&WHOLE));
        }
    }

    #[test]
    fn a_small_buffer_loses_nothing_that_a_resume_does_not_bring((answer, ranges, _) in parts()) {
        let mut assembly = StreamAssembly::new(16);
        let mut given = Vec::new();
        for (from, upto) in ranges {
            match assembly.chunk(from as u64, &answer[from..upto]) {
                Ok(fresh) => given.extend(fresh),
                Err(error) => prop_assert_eq!(error, AssemblyError::BufferFull),
            }
            prop_assert!(answer.starts_with(&given));
        }
        prop_assert_eq!(assembly.ended(answer.len() as u64, WHOLE), Ok(()));
        prop_assert_eq!(assembly.has_gap(), given.len() < answer.len());
        let rest = assembly.resume_from() as usize;
        given.extend(assembly.chunk(rest as u64, &answer[rest..]).expect("the rest fits"));
        prop_assert_eq!(given, answer);
        prop_assert!(assembly.is_complete());
    }
}

// Symptom: a caller takes a cut answer for a whole one.
// Sequence: the link drops the last part; the end mark comes.
// Cause: the end mark was taken as the end without comparing its total.
#[test]
fn a_cut_answer_is_never_complete() {
    let mut assembly = StreamAssembly::new(ROOMY);
    assembly.chunk(0, b"the slot is").expect("a part");
    assembly.ended(16, WHOLE).expect("a mark");
    assert!(!assembly.is_complete());
    assert!(assembly.has_gap());
    assert_eq!(assembly.resume_from(), 11);
    assert_eq!(assembly.chunk(11, b" free"), Ok(b" free".to_vec()));
    assert!(assembly.is_complete());
}

// Symptom: an answer with another attempt's or a torn tail looks whole.
// Sequence: parts and end mark that can't belong to one answer.
// Cause: a sidecar's or link's fault; it must never end as complete, whatever comes after.
#[rstest]
#[case::part_past_the_total(&[(0, "abc")], 2)]
#[case::kept_part_past_the_total(&[(2, "c")], 2)]
fn contradictions_never_complete(#[case] parts: &[(u64, &str)], #[case] total: u64) {
    let mut assembly = StreamAssembly::new(ROOMY);
    for (offset, part) in parts {
        assembly.chunk(*offset, part.as_bytes()).expect("a part");
    }
    assert_eq!(assembly.ended(total, WHOLE), Err(AssemblyError::Contradiction));
    assert_eq!(assembly.chunk(0, b"ab"), Err(AssemblyError::Contradiction));
    assert_eq!(assembly.ended(3, WHOLE), Err(AssemblyError::Contradiction));
    assert_eq!(assembly.settled(), None);
}

#[test]
fn an_unsuccessful_outcome_is_settled_but_not_complete() {
    let mut assembly = StreamAssembly::new(ROOMY);
    assembly.chunk(0, b"ab").expect("a part");
    assembly.ended(2, AttemptOutcome::Crashed).expect("a mark");
    assert_eq!(assembly.settled(), Some(&AttemptOutcome::Crashed));
    assert!(!assembly.is_complete());
    assert_eq!(assembly.ended(2, WHOLE), Err(AssemblyError::Contradiction));
    assert_eq!(assembly.chunk(u64::MAX, b"ab"), Err(AssemblyError::Contradiction));
}

#[test]
fn what_is_kept_ahead_of_a_gap_is_bounded() {
    let mut assembly = StreamAssembly::new(16);
    assert_eq!(assembly.chunk(100, &[7; 17]), Err(AssemblyError::BufferFull));
    assert_eq!(assembly.chunk(100, &[7; 16]), Ok(Vec::new()));
    assert_eq!(assembly.chunk(10, &[7; 1]), Err(AssemblyError::BufferFull));
    assert_eq!(assembly.chunk(0, &[7; 100]).map(|ready| ready.len()), Ok(116));
    assert_eq!(assembly.chunk(200, &[7; 16]), Ok(Vec::new()));
}

#[test]
fn many_tiny_parts_are_bounded() {
    let mut assembly = StreamAssembly::new(ROOMY);
    let kept = (1..5_000).filter(|place| assembly.chunk(place * 2, b"x").is_ok()).count();
    assert!(kept <= 1_024, "kept {kept} parts");
}
