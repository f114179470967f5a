//! Operators' edits that meet another one.

use notch_catalogue::{DiffLine, EditOutcome, settle_edit, show_conflict};
use notch_types::{
    object::{ObjectVersion, StoredObject},
    prelude::*,
};
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn stored(version: u64, text: &str) -> StoredObject {
    StoredObject {
        key: "catalogue/target/t".to_owned(),
        version: ObjectVersion(version),
        value: Some(Payload::from(text)),
        written_at: WallTime(0),
    }
}

// Symptom: an operator's edit overwrites a colleague's without a word, or is lost without a word.
// Sequence: both read version 3; one writes version 4; the other's conditional write is refused.
// Cause: the loser isn't shown what stands now beside what was wanted.
#[test]
fn a_lost_race_shows_both_sides() {
    let theirs = stored(4, r#"{"owner":"o","limits":{"queue":9}}"#);
    let mine = br#"{"limits":{"queue":5},"owner":"o"}"#;
    let conflict = show_conflict(Some(EntryVersion(3)), mine, Some(&theirs));
    let text = conflict.to_string();
    assert!(text.contains("edited from: version 3") && text.contains("now stored:  version 4"));
    assert!(text.contains("-     \"queue\": 9") && text.contains("+     \"queue\": 5"), "{text}");
    assert!(
        conflict
            .lines
            .iter()
            .any(|line| matches!(line, DiffLine::Same(same) if same.contains("owner")))
    );
}

// Symptom: an operator is told of a conflict with somebody who doesn't exist.
// Sequence: the write took effect, its answer was lost; the edit is tried again from its old base.
// Cause: the edit's own first try is taken for a colleague's.
#[rstest]
#[case::took_effect(Some(stored(4, "{\"a\":1}")), "applied")]
#[case::did_not(Some(stored(3, "{\"a\":0}")), "not")]
#[case::somebody_else_did(Some(stored(5, "{\"a\":2}")), "overtaken")]
#[case::entry_is_gone(None, "overtaken")]
fn a_lost_answer_is_settled_by_what_is_stored(
    #[case] current: Option<StoredObject>,
    #[case] expected: &str,
) {
    let outcome = settle_edit(Some(EntryVersion(3)), b"{\"a\":1}", current.as_ref());
    let told = match outcome {
        EditOutcome::Applied(version) => {
            assert_eq!(version, EntryVersion(4));
            "applied"
        }
        EditOutcome::NotApplied => "not",
        EditOutcome::Overtaken(_) => "overtaken",
    };
    assert_eq!(told, expected);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(37), cases: 300, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Both sides can be read back whole, and no line common to both in order is told as changed
    /// more often than it must (against the naive longest common subsequence by trying all).
    #[test]
    fn both_texts_are_whole_in_the_comparison(
        theirs in prop::collection::vec("[ab]{1,2}", 0..8),
        mine in prop::collection::vec("[ab]{1,2}", 0..8),
    ) {
        let conflict =
            show_conflict(None, mine.join("\n").as_bytes(), Some(&stored(1, &theirs.join("\n"))));
        let pick = |wanted: fn(&DiffLine) -> Option<&String>| -> Vec<String> {
            conflict.lines.iter().filter_map(wanted).cloned().collect()
        };
        let left = pick(|line| match line {
            DiffLine::Same(text) | DiffLine::Theirs(text) => Some(text),
            DiffLine::Mine(_) => None,
        });
        let right = pick(|line| match line {
            DiffLine::Same(text) | DiffLine::Mine(text) => Some(text),
            DiffLine::Theirs(_) => None,
        });
        prop_assert_eq!(&left, &theirs);
        prop_assert_eq!(&right, &mine);
        let same = conflict.lines.iter().filter(|line| matches!(line, DiffLine::Same(_))).count();
        prop_assert_eq!(same, longest_common(&theirs, &mine));
    }
}

fn longest_common(left: &[String], right: &[String]) -> usize {
    match (left.split_first(), right.split_first()) {
        (Some((a, lefts)), Some((b, rights))) if a == b => 1 + longest_common(lefts, rights),
        (Some((_, lefts)), Some((_, rights))) => {
            longest_common(lefts, right).max(longest_common(left, rights))
        }
        _ => 0,
    }
}
