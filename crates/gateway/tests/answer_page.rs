//! Answers on their way: whole or visibly cut, whatever order their parts come in.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up is the failure of the test")]

use notch_gateway::traffic::answer_page::{AnswerPage, AnswerPart};
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use rstest::rstest;

const LIMIT: usize = 1 << 20;
const COMPLETE: AttemptOutcome = AttemptOutcome::Complete { status: 200 };

fn page(limit: usize) -> AnswerPage {
    let attempt = AttemptId { request: RequestId(1), number: 1, incarnation: Incarnation(1) };
    AnswerPage::new(attempt, limit)
}

/// Reads all there is, as a caller's task does.
fn read_all(page: &AnswerPage) -> (Vec<u8>, AnswerPart) {
    let mut bytes = Vec::new();
    loop {
        match page.read(bytes.len()) {
            AnswerPart::Bytes(part) => bytes.extend(part),
            end => return (bytes, end),
        }
    }
}

// Symptom: a caller takes half an answer for the whole.
// Sequence: the last part is lost with its link; the end mark comes on the new one.
// Cause: the end mark taken for the end without a look at the total.
#[test]
fn an_end_mark_before_the_last_part_asks_for_the_rest() {
    let page = page(LIMIT);
    page.chunk(0, b"half ");
    let news = page.ended(10, COMPLETE);
    assert_eq!((news.settled, news.resume), (None, Some(5)));
    assert_eq!(read_all(&page), (b"half ".to_vec(), AnswerPart::Nothing));
    let news = page.chunk(5, b"whole");
    assert_eq!(news.settled, Some(COMPLETE));
    assert_eq!(read_all(&page), (b"half whole".to_vec(), AnswerPart::Complete { status: 200 }));
    assert_eq!(page.whole(), Some((200, b"half whole".to_vec())));
}

// Symptom: a cut answer looks whole to the caller that reads it.
// Sequence: the target fails, the attempt is given up, or the answer is larger than is held.
// Cause: a reader that stops at the last byte without asking how the attempt ended.
#[rstest]
#[case::failed(Some(AttemptOutcome::Crashed), LIMIT)]
#[case::given_up(None, LIMIT)]
#[case::too_large(Some(COMPLETE), 3)]
fn a_cut_answer_is_told_as_cut(#[case] outcome: Option<AttemptOutcome>, #[case] limit: usize) {
    let page = page(limit);
    page.chunk(0, b"part");
    match outcome {
        Some(outcome) => drop(page.ended(4, outcome)),
        None => page.abandon(),
    }
    assert_eq!(read_all(&page).1, AnswerPart::Cut);
    assert_eq!(page.whole(), None);
}

// Symptom: a suspect runs at two targets at once, and both crash.
// Sequence: its attempt is given up, but goes on; a part of its answer comes; later its end.
// Cause: any news of an answer that was given up is told as its end.
#[test]
fn a_given_up_answer_ends_when_its_sidecar_says_so() {
    let page = page(LIMIT);
    page.abandon();
    assert_eq!(page.chunk(0, b"part").settled, None, "it goes on");
    assert_eq!(page.ended(9, AttemptOutcome::Cancelled).settled, Some(AttemptOutcome::Cancelled));
    assert_eq!(page.ended(9, AttemptOutcome::Cancelled).settled, None, "told once");
}

// Symptom: a waiting caller sleeps although its answer is here.
// Sequence: it looks, finds nothing, a part comes, then it waits.
// Cause: waking only those that wait already.
#[test]
fn a_change_between_look_and_wait_is_not_missed() {
    let page = page(LIMIT);
    let changes = page.watch();
    assert_eq!(page.read(0), AnswerPart::Nothing);
    page.chunk(0, b"now");
    assert!(changes.try_recv().is_ok());
}

proptest! {
    #![proptest_config(Config {
        cases: 300, rng_seed: RngSeed::Fixed(31), failure_persistence: None, ..Config::default()
    })]

    // Symptom: bytes twice, missing or out of order. Sequence: parts come shuffled, doubled and
    // overlapping, the end mark anywhere among them, told as settled once.
    // Cause: appending what comes.
    #[test]
    fn parts_in_any_order_make_the_answer(
        answer in proptest::collection::vec(any::<u8>(), 1..200),
        parts in proptest::collection::vec((0_usize..200, 1_usize..60), 0..20),
        end_at in 0_usize..20,
    ) {
        let page = page(LIMIT);
        let mut settled = 0;
        let mut begun = 0;
        let whole = std::iter::once((0, answer.len()));
        for (number, (start, length)) in parts.into_iter().chain(whole).enumerate() {
            if number == end_at {
                settled += usize::from(page.ended(answer.len() as u64, COMPLETE).settled.is_some());
            }
            let start = start.min(answer.len() - 1);
            let end = (start + length).min(answer.len());
            let news = page.chunk(start as u64, &answer[start..end]);
            settled += usize::from(news.settled.is_some());
            begun += usize::from(news.begun.is_some());
        }
        settled += usize::from(page.ended(answer.len() as u64, COMPLETE).settled.is_some());
        prop_assert_eq!((settled, begun), (1, 1));
        prop_assert_eq!(page.whole(), Some((200, answer)));
    }
}
