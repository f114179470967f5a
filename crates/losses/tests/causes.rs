//! Why requests earned less than they could.

use notch_losses::prelude::*;
use rstest::rstest;

fn lines(text: &str) -> Vec<LogLine> {
    text.lines().filter_map(LogLine::parse).collect()
}

/// A target with two places, one of which is taken by an item, and another target.
const WORLD: &str = "\
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
        "{WORLD} 1.9 g-1 event=request_ended status=200 outcome=answered ms=1000 {fields}\n"
    );
    let summary = LossSummary::of_lines(&lines(&text), 300.0, 2);
    let others = usize::from(cause == LossCause::InTime);
    assert_eq!(summary.count(cause), 1 + others, "{summary}");
}

#[test]
fn a_choice_is_blind_only_while_a_place_is_free_elsewhere() {
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
    let blind = LossSummary::of_lines(&lines(&text), 300.0, 1);
    assert_eq!(blind.count(LossCause::BlindChoice), 1);
    text += &online(0.1, 2.0, "t2", 40);
    let full = LossSummary::of_lines(&lines(&text), 300.0, 1);
    assert_eq!(full.count(LossCause::AllPlacesTaken), 1);
}

/// A target's entry lapses while the store is away, and comes back. A gateway that hears of the lapse
/// last doesn't end the target's life a second time.
#[test]
fn a_place_of_a_target_that_came_back_is_free() {
    let mut map = OccupancyMap::new(2);
    map.note_ready("t1", 1.0, 10);
    map.note_gone("t1", 5.0, 20);
    map.note_ready("t1", 5.5, 10);
    assert_eq!([4.0, 5.6].map(|at| map.free_places(at)), [2, 0]);
    map.note_ready("t1", 6.0, 30);
    map.note_gone("t1", 6.1, 20);
    assert_eq!([5.9, 6.2].map(|at| map.free_places(at)), [0, 2]);
}

#[test]
fn fields_with_spaces_are_read() {
    let line =
        LogLine::parse(" 1.5 g-1 time=x event=store_call_failed path=/a/b/kind?x=1 why=\"a b\"");
    let line = line.expect("a line");
    assert_eq!((line.at, line.vm.as_str(), line.text("why")), (1.5, "g-1", "a b"));
    assert!(LogLine::parse("day  own/srv").is_none());
}

#[test]
fn a_report_tells_its_losses_the_largest_first() {
    let text = r#"{"G": 0.7, "parts": [["whole day", 0.6, 0.9], ["worst windows", 0.25, 0.4]],
        "prices": [["cloud calls", 900.0, 0.02], ["probes", 1.0, 0.0]], "ends": {"200": 7}}"#;
    let report: DayReport = serde_json::from_str(text).expect("a report");
    let losses = report.losses();
    assert_eq!(losses.len(), 3);
    assert!(losses[0].0.starts_with("worst windows") && (losses[0].1 - 0.15).abs() < 1e-9);
}
