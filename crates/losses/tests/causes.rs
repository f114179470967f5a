//! Classification of online requests by cause of loss.

use notch_losses::prelude::*;
use rstest::rstest;

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

/// A target with two slots, both taken, one of them by an item, and an idle target.
const TWO_TARGETS: &str = "\
 0.0 g-1 event=target_known target=t1 state=ready
 0.0 g-1 event=target_known target=t2 state=ready
 2.0 g-1 event=item_run_ended target=t1 outcome=200 ms=1900
 2.0 g-1 event=request_ended target=t1 status=200 outcome=answered first_ms=40 ms=1900 failures=\"\"
";

#[rstest]
#[case("first_ms=90 target=t1 failures=\"\"", LossCause::InTime)]
#[case("first_ms=900 target=t1 failures=t2:connect_failed:0+0", LossCause::FailedTarget)]
#[case("first_ms=900 target=t1 failures=\"\"", LossCause::BehindItem)]
#[case("first_ms=900 target=t2 failures=\"\"", LossCause::SlowTarget)]
fn a_late_request_has_one_cause(#[case] fields: &str, #[case] cause: LossCause) {
    let text = format!(
        "{TWO_TARGETS} 1.9 g-1 event=request_ended status=200 outcome=answered ms=1000 {fields}\n"
    );
    let summary = LossSummary::of_lines(&lines(&text), 300.0, 2);
    let others = usize::from(cause == LossCause::InTime);
    assert_eq!(summary.count(cause), 1 + others, "{summary}");
}

#[test]
fn a_late_request_missed_a_slot_only_while_one_was_free_elsewhere() {
    let online = |from: f64, to: f64, target: &str, first: u32| {
        let ms = (to - from) * 1_000.0;
        format!(
            " {to} g-1 event=request_ended target={target} status=200 outcome=answered \
             first_ms={first} ms={ms} failures=\"\"\n"
        )
    };
    let known = " 0.0 g-1 event=target_known target=t1 state=ready\n \
                 0.0 g-1 event=target_known target=t2 state=ready\n";
    let mut text = known.to_owned();
    text += &online(0.1, 2.0, "t1", 40);
    text += &online(1.0, 2.5, "t1", 900);
    let missed = LossSummary::of_lines(&lines(&text), 300.0, 1);
    assert_eq!(missed.count(LossCause::FreeSlotElsewhere), 1);
    text += &online(0.1, 2.0, "t2", 40);
    let full = LossSummary::of_lines(&lines(&text), 300.0, 1);
    assert_eq!(full.count(LossCause::AllSlotsTaken), 1);
}

/// A target's entry expires during an outage of the store and is added again. A gateway that logs the expiry
/// late must not end the target's availability a second time.
#[test]
fn the_slots_of_a_target_that_came_back_are_free() {
    let mut map = OccupancyMap::new(2);
    map.note_ready("t1", 1.0, 10);
    map.note_gone("t1", 5.0, 20);
    map.note_ready("t1", 5.5, 10);
    assert_eq!([4.0, 5.6].map(|at| map.free_slots(at)), [2, 0]);
    map.note_ready("t1", 6.0, 30);
    map.note_gone("t1", 6.1, 20);
    assert_eq!([5.9, 6.2].map(|at| map.free_slots(at)), [0, 2]);
}

#[test]
fn quoted_fields_with_spaces_are_parsed() {
    let line =
        LogLine::parse(" 1.5 g-1 time=x event=store_call_failed path=/a/b/kind?x=1 why=\"a b\"");
    let line = line.expect("a log line");
    assert_eq!((line.at, line.vm.as_str(), line.text("why")), (1.5, "g-1", "a b"));
    assert!(LogLine::parse("day  own/srv").is_none());
}

#[test]
fn a_report_lists_the_largest_losses_first() {
    let text = r#"{"G": 0.7, "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.4]],
        "prices": [["cloud calls", 900.0, 0.02], ["probes", 1.0, 0.0]], "ends": {"200": 7}}"#;
    let report: DayReport = serde_json::from_str(text).expect("a report");
    let losses = report.losses();
    assert_eq!(losses.len(), 3);
    assert!(losses[0].0.starts_with("worst windows") && (losses[0].1 - 0.15).abs() < 1e-9);
}
