//! Job lines: any cut of any input against a reader that has all of it at once, and the faults.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use std::collections::BTreeSet;

use async_std::task::{self, block_on};
use notch_callers::prelude::*;
use notch_http::prelude::*;
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;
use serde_json::Value;

fn small() -> IntakeSettings {
    IntakeSettings { line_bytes: 120, item_count: 40, chunk_bytes: 200, id_bytes: 20 }
}

type Taken = Result<(Vec<IntakeChunk>, IntakeSummary), IntakeError>;

/// Pushes `input` in pieces of the given sizes, the rest at once.
fn take(input: &[u8], cuts: &[usize], settings: IntakeSettings) -> Taken {
    let mut intake = LineIntake::new(settings);
    let mut chunks = Vec::new();
    let mut rest = input;
    for cut in cuts {
        let (piece, after) = rest.split_at((*cut).min(rest.len()));
        intake.push(piece, &mut chunks)?;
        rest = after;
    }
    intake.push(rest, &mut chunks)?;
    let summary = intake.finish(&mut chunks)?;
    Ok((chunks, summary))
}

/// All at once: the lines kept, or the number of the first bad one (0 when there is no item).
fn naive(input: &[u8], settings: &IntakeSettings) -> Result<Vec<Vec<u8>>, u64> {
    let mut ids = BTreeSet::new();
    let mut kept = Vec::new();
    for (number, line) in (1_u64..).zip(input.split(|byte| *byte == b'\n')) {
        let line = line.trim_ascii();
        if line.is_empty() {
            continue;
        }
        let value: Value = serde_json::from_slice(line).map_err(|_| number)?;
        let id = value.get("custom_id").and_then(Value::as_str).ok_or(number)?;
        let good = line.len() <= settings.line_bytes
            && kept.len() < settings.item_count as usize
            && value.get("body").is_some_and(Value::is_object)
            && (1..=settings.id_bytes).contains(&id.len())
            && ids.insert(id.to_owned());
        if !good {
            return Err(number);
        }
        kept.push(line.to_vec());
    }
    if kept.is_empty() { Err(0) } else { Ok(kept) }
}

/// Mostly good lines, some nearly good, some empty, some noise.
fn line() -> impl Strategy<Value = Vec<u8>> {
    let good = ("[a-z]{1,3}", "[a-z ]{0,60}").prop_map(|(id, text)| {
        format!(r#"{{"custom_id":"{id}","body":{{"text":"{text}","n":[1,null,{{}}]}}}}"#)
    });
    let odd = prop::sample::select(vec![
        "",
        "  ",
        "\r",
        "{}",
        "[]",
        r#"{"custom_id":5,"body":{}}"#,
        r#"{"custom_id":"","body":{}}"#,
        r#"{"custom_id":"z","body":[]}"#,
        r#"{"custom_id":"z"}"#,
        r#"{"custom_id":"z","body":{}"#,
        r#" {"body":{},"custom_id":"\u0041","url":"/x"} "#,
        r#"{"custom_id":"abcdefghijklmnopqrstuvwxyz","body":{}}"#,
    ]);
    prop_oneof![
        30 => good.prop_map(String::into_bytes),
        2 => odd.prop_map(|text| text.as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..30),
    ]
}

fn fixed(seed: u64, cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(seed),
        cases,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed(7, 2_000))]

    #[test]
    fn any_cut_matches_the_whole(
        lines in prop::collection::vec(line(), 0..24),
        cuts in prop::collection::vec(0_usize..90, 0..30),
        crlf in any::<bool>(),
    ) {
        let settings = small();
        let input = lines.join(if crlf { b"\r\n".as_slice() } else { b"\n" });
        match (take(&input, &cuts, settings.clone()), naive(&input, &settings)) {
            (Ok((chunks, summary)), Ok(kept)) => {
                prop_assert_eq!(summary.item_count as usize, kept.len());
                let mut next = 0;
                for chunk in &chunks {
                    let lines: Vec<&[u8]> = chunk.payload.split_inclusive(|b| *b == b'\n').collect();
                    prop_assert_eq!(chunk.first, ItemIndex(next));
                    prop_assert_eq!(chunk.count as usize, lines.len());
                    prop_assert!(chunk.payload.len() <= settings.chunk_bytes || lines.len() == 1);
                    for line in lines {
                        prop_assert_eq!(line.strip_suffix(b"\n").unwrap(), &kept[next as usize]);
                        next += 1;
                    }
                }
                prop_assert_eq!(next as usize, kept.len());
                // The digest knows nothing of cuts, carriage returns or empty lines.
                let clean = kept.join(b"\n\n".as_slice());
                prop_assert_eq!(take(&clean, &[], settings).unwrap().1, summary);
            }
            (Err(error), Err(0)) => prop_assert_eq!(error.fault, LineFault::NoItems),
            (Err(error), Err(line)) => prop_assert_eq!(error.line, line),
            (taken, kept) => prop_assert!(false, "{:?} against {:?}", taken, kept),
        }
    }
}

// Symptom: a job of a million items holds one bad line, and nobody finds it. Sequence: the line
// is somewhere in the middle. Cause: the refusal names no line, or the job is accepted and the
// item fails hours later.
#[rstest]
#[case::broken_json(r#"{"custom_id":"x","body":{"#, "EOF while parsing an object (byte 25)")]
#[case::no_id(r#"{"body":{}}"#, "missing field `custom_id`")]
#[case::number_id(r#"{"custom_id":5,"body":{}}"#, "invalid type: integer `5`")]
#[case::two_ids(r#"{"custom_id":"x","custom_id":"y","body":{}}"#, "duplicate field `custom_id`")]
#[case::no_body(r#"{"custom_id":"x"}"#, "missing field `body`")]
#[case::list_body(r#"{"custom_id":"x","body":[]}"#, "expected an object")]
#[case::huge_number(r#"{"custom_id":"x","body":{"n":1e999}}"#, "number out of range")]
#[case::empty_id(r#"{"custom_id":"","body":{}}"#, "custom_id is empty")]
#[case::long_id(r#"{"custom_id":"abcdefghijklmnopqrstu","body":{}}"#, "longer than 20 bytes")]
#[case::same_id(r#"{"custom_id":"\u0061","body":{}}"#, "\"a\" was on an earlier line")]
#[case::not_utf8(b"{\"custom_id\":\"\xff\"}", "not UTF-8 at byte 15")]
#[case::long_line(&[b'x'; 130], "longer than 120 bytes")]
#[case::deep(deep_line(), "recursion limit exceeded")]
fn bad_line_is_named(#[case] bad: impl AsRef<[u8]>, #[case] told: &str) {
    let mut input = b"\xef\xbb\xbf{\"custom_id\":\"a\",\"body\":{}}\r\n\r\n".to_vec();
    input.extend_from_slice(bad.as_ref());
    input.extend_from_slice(b"\n{\"custom_id\":\"b\",\"body\":{}}\n");
    let line_bytes = if bad.as_ref().len() > 400 { 4_000 } else { 120 };
    let settings = IntakeSettings { line_bytes, ..small() };
    let error = take(&input, &[7, 30, 3], settings).unwrap_err();
    assert_eq!(error.line, 3);
    let refusal = Refusal::from(&error);
    assert!(refusal.detail.starts_with("line 3: ") && refusal.detail.contains(told), "{refusal:?}");
    assert_eq!(refusal.ran, Ran::No);
}

fn deep_line() -> String {
    format!(r#"{{"custom_id":"x","body":{{"a":{}{}}}}}"#, "[".repeat(200), "]".repeat(200))
}

#[test]
fn counts_and_empty_inputs_are_bounded() {
    let items = |count| -> String {
        (0..count).map(|n| format!("{{\"custom_id\":\"{n}\",\"body\":{{}}}}\n")).collect()
    };
    assert_eq!(take(items(40).as_bytes(), &[], small()).unwrap().1.item_count, 40);
    let error = take(items(41).as_bytes(), &[], small()).unwrap_err();
    assert_eq!((error.line, error.fault), (41, LineFault::TooManyItems { limit: 40 }));
    assert_eq!(take(b"\n\n", &[], small()).unwrap_err().fault, LineFault::NoItems);
    // A line that never ends is refused before it is held.
    let endless = take(&[b' '; 4_000], &[100; 40], small()).unwrap_err();
    assert_eq!(endless.fault, LineFault::TooLong { limit: 120 });
}

/// What a gateway would have done with an upload: chunks stored, and whether the job was accepted.
async fn upload(
    lines: Vec<Vec<u8>>,
    whole: bool,
) -> (Result<StatusCode, ClientError>, String, u32) {
    let (report, reports) = async_channel::unbounded();
    let handler = move |request: Request| -> BoxFuture<'static, Response> {
        let report = report.clone();
        Box::pin(async move {
            let head = CallHead::parse(&request).unwrap();
            let Ok(CallerRequest::SubmitJob(job)) = read_call(head, request, 1_000).await else {
                panic!("not a job");
            };
            let mut upload = JobUpload::new(job.body, IntakeSettings::default());
            let mut stored = 0;
            let refusal = loop {
                match upload.next_chunk().await {
                    Ok(Some(chunk)) => stored += chunk.count,
                    Ok(None) => break None,
                    Err(refusal) => break Some(refusal),
                }
            };
            let summary = upload.summary().map(|summary| summary.item_count);
            report.send((format!("{summary:?}"), stored)).await.unwrap();
            refusal.map_or_else(|| Response::new(201), |refusal| refusal_response(&refusal))
        })
    };
    let limits = ServerLimits { body_bytes: 1 << 30, ..ServerLimits::default() };
    let server = HttpServer::bind("127.0.0.1:0", limits, handler).await.unwrap();
    let path = "/v1/jobs?target=m&due=2030-01-01T00:00:00Z";
    let url = Url::parse(&format!("http://{}{path}", server.address())).unwrap();
    let mut request = Request::new(Method::Post, url);
    let (sender, body) = streamed_body();
    request.set_body(body);
    task::spawn(async move {
        for line in lines {
            if sender.send(line).await.is_err() {
                return;
            }
        }
        if whole {
            let _ = sender.finish().await;
        }
    });
    let answer = HttpClient::default().send(request).await;
    let status = answer.map(|response| response.status());
    let (summary, stored) = reports.recv().await.unwrap();
    (status, summary, stored)
}

fn many(count: u32) -> Vec<Vec<u8>> {
    let text = "x".repeat(200);
    (0..count)
        .map(|n| format!("{{\"custom_id\":\"{n}\",\"body\":{{\"t\":\"{text}\"}}}}\n").into_bytes())
        .collect()
}

// Symptom: half a job runs. Sequence: a line in the middle is bad, or the caller's file or
// connection breaks off between two lines. Cause: what came before is taken for the whole.
#[test]
fn only_whole_uploads_have_a_summary() {
    block_on(async {
        let (status, summary, stored) = upload(many(20_000), true).await;
        assert_eq!(
            (status.unwrap(), summary.as_str(), stored),
            (StatusCode::Created, "Some(20000)", 20_000)
        );

        let mut lines = many(20_000);
        lines[12_345] = b"{\"custom_id\":\"x\"}\n".to_vec();
        let (status, summary, stored) = upload(lines, true).await;
        assert_eq!((status.unwrap(), summary.as_str()), (StatusCode::BadRequest, "None"));
        assert!(stored < 12_345);

        let (status, summary, _) = upload(many(20_000), false).await;
        assert_eq!(status.unwrap_err(), ClientError::Lost(LostCause::BodyUnreadable));
        assert_eq!(summary, "None");
    });
}
