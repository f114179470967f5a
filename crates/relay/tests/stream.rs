//! Cutting a stream into whole events.

use notch_relay::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: piece {id}\n\n").into_bytes()
}

/// Symptom: a client's stream holds half an event twice. Sequence: a target breaks off in the
/// middle of an event, the stream goes on at another target with that whole event. Cause: bytes of
/// an unfinished event had been passed on.
#[test]
fn an_unfinished_event_never_leaves() {
    let mut splitter = EventSplitter::default();
    splitter.push(&event(1));
    splitter.push(&event(2)[..7]);
    assert_eq!(splitter.next_event().unwrap().unwrap().id, 1);
    assert_eq!(splitter.next_event(), Ok(None));
    assert!(splitter.has_partial_event());
    assert_eq!(splitter.last_id(), Some(1));
}

/// Symptom: a stream with a piece missing or twice. Sequence: a target sends spoiled bytes, or a
/// resumed one begins at another event. Cause: ids were not compared.
#[rstest]
#[case::repeated(2, 2)]
#[case::skipped(2, 4)]
#[case::from_the_start(2, 1)]
fn ids_must_follow(#[case] last: u64, #[case] next: u64) {
    let mut splitter = EventSplitter::after(Some(last));
    splitter.push(&event(next));
    assert_eq!(splitter.next_event(), Err(EventFault::OutOfOrder));
}

#[rstest]
#[case(b"data: no id\n\n".as_slice(), EventFault::NoId)]
#[case(b"id: x\ndata: a\n\n".as_slice(), EventFault::NoId)]
fn events_need_a_number(#[case] bytes: &[u8], #[case] fault: EventFault) {
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
    /// However the bytes are cut on the way, the same events come out.
    #[test]
    fn cuts_do_not_matter(count in 1_u64..20, cuts in proptest::collection::vec(1_usize..40, 1..60)) {
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
