//! Splitting of a stream into complete events.

use notch_relay::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: piece {id}\n\n").into_bytes()
}

/// Guards against half an event appearing twice in a client's stream: a target fails in the middle
/// of an event, and the stream is resumed at another target with the whole event.
#[test]
fn a_partial_event_is_never_returned() {
    let mut splitter = EventSplitter::default();
    splitter.push(&event(1));
    splitter.push(&event(2)[..7]);
    assert_eq!(splitter.next_event().unwrap().unwrap().id, 1);
    assert_eq!(splitter.next_event(), Ok(None));
    assert!(splitter.has_partial_event());
    assert_eq!(splitter.last_id(), Some(1));
}

/// Guards against a missing or repeated event: a target sends corrupted bytes, or resumes a stream
/// at the wrong event.
#[rstest]
#[case::repeated(2, 2)]
#[case::skipped(2, 4)]
#[case::from_the_start(2, 1)]
fn event_ids_must_be_consecutive(#[case] last: u64, #[case] next: u64) {
    let mut splitter = EventSplitter::after(Some(last));
    splitter.push(&event(next));
    assert_eq!(splitter.next_event(), Err(EventFault::OutOfOrder));
}

#[rstest]
#[case(b"data: no id\n\n".as_slice(), EventFault::NoId)]
#[case(b"id: x\ndata: a\n\n".as_slice(), EventFault::NoId)]
fn events_need_a_numeric_id(#[case] bytes: &[u8], #[case] fault: EventFault) {
    let mut splitter = EventSplitter::default();
    splitter.push(bytes);
    assert_eq!(splitter.next_event(), Err(fault));
}

#[test]
fn data_lines_are_joined() {
    let event = StreamEvent { id: 1, bytes: b"id: 1\r\ndata: a\r\ndata:b\r\n\r\n".to_vec() };
    assert_eq!(event.data(), b"a\nb");
}

proptest! {
    /// The same events result however the bytes are split in transit.
    #[test]
    fn events_are_independent_of_chunk_boundaries(count in 1_u64..20, cuts in proptest::collection::vec(1_usize..40, 1..60)) {
        let all: Vec<u8> = (1..=count).flat_map(event).collect();
        let mut splitter = EventSplitter::default();
        let mut rest = all.as_slice();
        let mut ids = Vec::new();
        let mut cuts = cuts.into_iter().cycle();
        while !rest.is_empty() {
            let cut = cuts.next().unwrap_or(1).min(rest.len());
            splitter.push(&rest[..cut]);
            rest = &rest[cut..];
            while let Some(event) = splitter.next_event().unwrap() {
                ids.push(event.id);
            }
        }
        prop_assert_eq!(ids, (1..=count).collect::<Vec<_>>());
        prop_assert!(!splitter.has_partial_event());
    }
}
