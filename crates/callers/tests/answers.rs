//! What goes back to callers and operators.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use async_std::task::block_on;
use notch_callers::{prelude::*, sse::is_whole, view::ResultView};
use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn json_of(response: &mut Response) -> Value {
    block_on(response.body_json()).unwrap()
}

#[test]
fn every_refusal_has_a_status_and_its_code() {
    for reason in RefusalReason::ALL {
        let refusal = Refusal::not_run(reason, "why").retry_after(1_001);
        let mut response = refusal_response(&refusal);
        let status = response.status();
        assert!(status.is_client_error() || status.is_server_error(), "{reason:?}");
        assert_eq!(response.header("retry-after").unwrap().as_str(), "2");
        let error =
            json!({"code": reason.code(), "ran": "no", "retry_after_ms": 1_001, "message": "why"});
        assert_eq!(json_of(&mut response), json!({ "error": error }));
    }
}

// Symptom: a client shows half an answer as a whole one. Sequence: the stream breaks off inside an
// event, and the reason given holds line breaks and the end mark. Cause: text from outside ends
// the error event early.
#[rstest]
#[case(b"data: {\"a\":1}\n\n")]
#[case(b"data: {\"a\"")]
#[case(b"")]
fn cut_stream_never_looks_whole(#[case] before: &[u8]) {
    let refusal = Refusal::unknown(RefusalReason::TargetLost, "x\n\ndata: [DONE]\n\n");
    let mut answer = before.to_vec();
    answer.extend(refusal_event(&refusal));
    assert!(!is_whole(&answer));
    let text = String::from_utf8(answer.clone()).unwrap();
    assert!(!text.lines().any(|line| line == "data: [DONE]"), "{text}");
    let event = text.split("\n\n").find(|event| event.contains("event: error")).unwrap();
    let data = event.split_once("data: ").unwrap().1;
    let error: ErrorView = serde_json::from_str(data).unwrap();
    assert_eq!((error.error.code.as_str(), error.error.ran), ("target_lost", Ran::Unknown));
    answer.extend_from_slice(DONE_MARK);
    assert!(is_whole(&answer));
}

fn line(status: ItemStatus) -> Option<Value> {
    let line = ResultLine { item: ItemIndex(3), custom_id: "a\nb".into(), status };
    let bytes = result_line(&line)?;
    assert_eq!(bytes.iter().filter(|byte| **byte == b'\n').count(), 1, "one line");
    let view: ResultView = serde_json::from_slice(&bytes).unwrap();
    assert_eq!((view.item, view.custom_id.as_str()), (3, "a\nb"));
    Some(serde_json::from_slice(&bytes).unwrap())
}

// Symptom: a results file has more lines than the job has items. Sequence: a target answers with
// indented JSON, with text or with bytes. Cause: its line breaks are copied into the line.
#[rstest]
#[case::json(b"{\n  \"n\": 1.50,\r\n  \"t\": \"a\\nb\"\n}\n", json!({"n": 1.50, "t": "a\nb"}))]
#[case::text(b"two\nlines", json!("two\nlines"))]
#[case::bytes(b"\xff", json!("\u{fffd}"))]
#[case::empty(b"", json!(""))]
fn results_are_one_line_each(#[case] body: &[u8], #[case] expected: Value) {
    let body = Payload(body.to_vec());
    let shown = line(ItemStatus::Ended(ItemOutcome::Answered { status: 200, body })).unwrap();
    assert_eq!(shown["response"], json!({"status": 200, "body": expected}));
    assert_eq!(shown.get("error"), None);
}

#[test]
fn failed_and_cancelled_items_say_whether_they_ran() {
    assert_eq!(line(ItemStatus::Open), None);
    let failed = ItemOutcome::Failed {
        reason: RefusalReason::Quarantined,
        retryable: false,
        ran: Ran::No,
        detail: "why".into(),
    };
    let shown = line(ItemStatus::Ended(failed)).unwrap();
    assert_eq!(shown["error"], json!({"code": "quarantined", "ran": "no", "message": "why"}));
    let shown = line(ItemStatus::Cancelled).unwrap();
    assert_eq!(
        (&shown["error"]["code"], &shown["error"]["ran"]),
        (&json!("cancelled"), &json!("unknown"))
    );
}

#[test]
fn jobs_answers_and_entries_are_shown() {
    let job = JobId::derive(&AccountName::new("a"), "k", 8);
    let progress = JobProgress {
        job,
        target: TargetName::new("m"),
        phase: JobPhase::Running,
        due: WallTime(1_000),
        total: 9,
        answered: 4,
        failed: 1,
        cancelled: 0,
        leased: 2,
    };
    let mut created = accepted_response(&progress, false);
    assert_eq!(
        (created.status(), accepted_response(&progress, true).status()),
        (StatusCode::Created, StatusCode::Ok)
    );
    let view: JobView = serde_json::from_value(json_of(&mut created)).unwrap();
    assert_eq!(
        (view.id.parse(), view.due.as_str(), view.items.ended()),
        (Ok(job), "1970-01-01T00:00:01Z", 5)
    );
    assert_eq!(json_of(&mut job_response(&progress)).get("resend"), None);

    let answered = StoredAnswer::Answered { status: 418, body: Payload::from("{\"a\":1}") };
    let mut response = answer_response(&answered);
    assert_eq!((response.status() as u16, json_of(&mut response)), (418, json!({"a": 1})));
    let mut unknown = answer_response(&StoredAnswer::Unknown);
    assert_eq!(unknown.status(), StatusCode::Conflict);
    assert_eq!(json_of(&mut unknown)["error"]["ran"], json!("unknown"));

    let key = EntryKey { kind: EntryKind::Target, name: "m".into() };
    let record =
        EntryRecord { key, version: EntryVersion(7), body: Payload::from("{\n\"owner\": \"x\"}") };
    let mut entry = entry_response(&record);
    assert_eq!(entry.header("etag").unwrap().as_str(), "\"7\"");
    let shown = json!({"kind": "target", "name": "m", "version": 7, "entry": {"owner": "x"}});
    assert_eq!(json_of(&mut entry), shown);
    let conflict = ConflictView::new(
        Some(EntryVersion(6)),
        Some(EntryVersion(7)),
        Some(b"{}"),
        "- a\n+ b".into(),
    );
    let mut response = conflict.response();
    assert_eq!(response.status(), StatusCode::PreconditionFailed);
    let read: ConflictView = serde_json::from_value(json_of(&mut response)).unwrap();
    assert_eq!(
        (read.conflict.base, read.conflict.current, read.error.code.as_str()),
        (Some(6), Some(7), "version_conflict")
    );
}
