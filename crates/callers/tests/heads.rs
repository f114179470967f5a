//! What requests mean, and how wrong ones are refused.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use async_std::task::block_on;
use notch_callers::{due::parse_due, prelude::*};
use notch_http::prelude::*;
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

fn request(line: &str, headers: &[(&str, &str)]) -> Request {
    let (method, path) = line.split_once(' ').unwrap();
    let url = Url::parse(&format!("http://gateway{path}")).unwrap();
    let mut request = Request::new(method.parse::<Method>().unwrap(), url);
    for (name, value) in headers {
        request.append_header(*name, *value);
    }
    request
}

const JOB: &str = "j-0003-000102030405060708090a0b0c0d0e0f";

#[rstest]
#[case("POST /v1/chat/completions", &[], "Chat")]
#[case("POST /v1/services/slots", &[], "Service { target: slots, path: \"\" }")]
#[case("POST /v1/services/sl%20ots/a/b?c=d", &[], "Service { target: sl ots, path: \"a/b?c=d\" }")]
#[case(
    "POST /v1/jobs?target=m&due=1970-01-01T01:00:01%2B01:00&idempotent=false", &[],
    "SubmitJob { target: m, due: WallTime(1000), idempotent: false }"
)]
#[case("GET /v1/jobs/{job}", &[], "JobStatus({job})")]
#[case("DELETE /v1/jobs/{job}", &[], "CancelJob({job})")]
#[case(
    "GET /v1/jobs/{job}/results?limit=5", &[],
    "JobResults { job: {job}, from: ItemIndex(0), limit: Some(5) }"
)]
#[case("GET /v1/results/a%2Fb", &[], "OnlineResult { key: \"a/b\" }")]
#[case("GET /v1/operator/catalogue", &[], "ListEntries { kind: None }")]
#[case(
    "PUT /v1/operator/catalogue/target/m", &[("If-Match", "\"7\"")],
    "PutEntry { key: EntryKey { kind: Target, name: \"m\" }, base: Some(EntryVersion(7)) }"
)]
#[case(
    "PUT /v1/operator/catalogue/account/a", &[("If-None-Match", "*")],
    "PutEntry { key: EntryKey { kind: Account, name: \"a\" }, base: None }"
)]
#[case("GET /v1/operator/catalogue-status", &[], "CatalogueStatus")]
#[case("GET /v1/operator/explain/job/{job}", &[], "Explain(Job({job}))")]
#[case("GET /v1/operator/explain/target/m", &[], "Explain(Target(m))")]
#[case("GET /readyz?x=1", &[], "Ready")]
fn routes(#[case] line: &str, #[case] headers: &[(&str, &str)], #[case] route: &str) {
    let head = CallHead::parse(&request(&line.replace("{job}", JOB), headers)).unwrap();
    assert_eq!(format!("{:?}", head.route), route.replace("{job}", JOB));
    assert_eq!(head.route.is_operators(), line.contains("/operator/"));
}

#[rstest]
#[case("GET /v1/chat/completions", &[], RefusalReason::BadRequest, "POST only")]
#[case("POST /v1/jobs/{job}", &[], RefusalReason::BadRequest, "GET or DELETE only")]
#[case("GET /v2/jobs", &[], RefusalReason::NotFound, "no such path")]
#[case("GET /v1/jobs/j-3-00", &[], RefusalReason::NotFound, "no such job")]
#[case("POST /v1/jobs?target=m", &[], RefusalReason::BadRequest, "due is missing")]
#[case("POST /v1/jobs?target=m&due=tomorrow", &[], RefusalReason::BadRequest, "a due time")]
#[case("POST /v1/jobs?target=m&due=2030-01-01T00:00:00Z&dew=1", &[], RefusalReason::BadRequest, "dew")]
#[case("POST /v1/jobs?target=m&target=n&due=2030-01-01T00:00:00Z", &[], RefusalReason::BadRequest, "once")]
#[case("GET /v1/jobs/{job}/results?limit=-1", &[], RefusalReason::BadRequest, "whole number")]
#[case("GET /v1/jobs/{job}?verbose=1", &[], RefusalReason::BadRequest, "verbose")]
#[case("POST /v1/services/%ff", &[], RefusalReason::BadRequest, "UTF-8")]
#[case("POST /v1/services/", &[], RefusalReason::UnknownTarget, "no target")]
#[case("PUT /v1/operator/catalogue/target/m", &[], RefusalReason::BadRequest, "If-Match")]
#[case("GET /v1/operator/catalogue/engine/m", &[], RefusalReason::BadRequest, "kind")]
#[case("GET /v1/operator/explain/request/7", &[], RefusalReason::BadRequest, "valid id")]
#[case("GET /v1/jobs/{job}", &[("Authorization", "Basic x")], RefusalReason::Unauthorized, "bearer")]
#[case("GET /v1/jobs/{job}", &[("Authorization", "Bearer ")], RefusalReason::Unauthorized, "bearer")]
#[case(
    "GET /v1/jobs/{job}", &[("Authorization", "Bearer a"), ("Authorization", "Bearer b")],
    RefusalReason::BadRequest, "more than once"
)]
#[case("POST /v1/chat/completions", &[("X-Deadline-Ms", "0")], RefusalReason::BadRequest, "1 to 600000")]
#[case("POST /v1/chat/completions", &[("X-Deadline-Ms", "+5")], RefusalReason::BadRequest, "1 to 600000")]
#[case("POST /v1/chat/completions", &[("X-Deadline-Ms", "600001")], RefusalReason::BadRequest, "1 to")]
#[case("POST /v1/chat/completions", &[("Idempotent", "no")], RefusalReason::BadRequest, "true or false")]
#[case("POST /v1/chat/completions", &[("Idempotency-Key", "a\tb")], RefusalReason::BadRequest, "printable")]
fn wrong_heads(
    #[case] line: &str,
    #[case] headers: &[(&str, &str)],
    #[case] reason: RefusalReason,
    #[case] told: &str,
) {
    let refusal = CallHead::parse(&request(&line.replace("{job}", JOB), headers)).unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (reason, Ran::No));
    assert!(refusal.detail.contains(told), "{}", refusal.detail);
}

#[test]
fn options_are_read() {
    let headers = [
        ("Authorization", "bearer secret key"),
        ("Idempotency-Key", "booking 7"),
        ("X-Deadline-Ms", "1500"),
        ("Idempotent", "false"),
    ];
    let head = CallHead::parse(&request("POST /v1/services/slots/book", &headers)).unwrap();
    assert_eq!(head.bearer.as_deref(), Some("secret key"));
    assert_eq!(head.options.key.as_deref(), Some("booking 7"));
    assert_eq!(head.options.deadline.unwrap().as_millis(), 1_500);
    assert_eq!(head.options.idempotent, Some(false));
}

async fn read(line: &str, body: &[u8]) -> Result<CallerRequest, Refusal> {
    let mut request = request(line, &[]);
    request.set_body(body);
    let head = CallHead::parse(&request).unwrap();
    read_call(head, request, 200).await
}

#[test]
fn bodies_are_read() {
    block_on(async {
        let body = br#"{"model":"diary","stream":true,"messages":[{"role":"user","content":"hi"}],"top_p":1}"#;
        let Ok(CallerRequest::Chat(chat)) = read("POST /v1/chat/completions", body).await else {
            panic!("not a chat");
        };
        assert_eq!((chat.model.as_str(), chat.stream, &*chat.body), ("diary", true, &body[..]));
        assert_eq!(chat.fingerprint, Fingerprint::of(&chat.model, body));
        let fingerprint = async |line| match read(line, b"{}").await.unwrap() {
            CallerRequest::Service(call) => call.fingerprint,
            other => panic!("{other:?}"),
        };
        let book = fingerprint("POST /v1/services/slots/book").await;
        assert_eq!(book, fingerprint("POST /v1/services/slots/book").await);
        assert_ne!(book, fingerprint("POST /v1/services/slots/cancel").await);
    });
}

#[rstest]
#[case(b"{\"model\":\"m\"", RefusalReason::BadRequest)]
#[case(b"{\"model\":\"m\"}", RefusalReason::BadRequest)]
#[case(b"{\"model\":\"\",\"messages\":[]}", RefusalReason::UnknownTarget)]
#[case(b"{\"model\":\"m\",\"messages\":[],\"stream\":1}", RefusalReason::BadRequest)]
#[case(b"{\"model\":\"\xff\",\"messages\":[]}", RefusalReason::BadRequest)]
#[case(&[b' '; 201], RefusalReason::TooLarge)]
fn wrong_chats(#[case] body: &[u8], #[case] reason: RefusalReason) {
    let refusal = block_on(read("POST /v1/chat/completions", body)).unwrap_err();
    assert_eq!((refusal.reason, refusal.ran), (reason, Ran::No));
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
    #![proptest_config(fixed(11, 1_000))]

    /// The same moment told in any offset is the same moment.
    #[test]
    fn due_times_in_any_offset(seconds in 100_000_u64..4_000_000_000, offset in -1_439_i64..1_440) {
        let local = seconds.checked_add_signed(offset * 60).unwrap();
        let text = notch_callers::due::format_time(WallTime(local * 1_000));
        let (sign, minutes) = (if offset < 0 { '-' } else { '+' }, offset.abs());
        let text = format!("{}{sign}{:02}:{:02}", text.trim_end_matches('Z'), minutes / 60, minutes % 60);
        prop_assert_eq!(parse_due(&text).unwrap(), WallTime(seconds * 1_000));
        prop_assert_eq!(parse_due(&text.replace('+', " ")).unwrap(), WallTime(seconds * 1_000));
    }

    /// No head, body or time makes the readers panic, and none is accepted as something it isn't.
    #[test]
    fn any_text_is_read_or_refused(path in "/v1/[a-z]{0,8}(/[ -~é]{0,12}){0,3}", value in "[ -~]{0,20}", due in ".{0,30}") {
        let names = ["authorization", "idempotency-key", "x-deadline-ms", "idempotent", "if-match"];
        let headers = names.map(|name| (name, value.as_str()));
        for method in ["GET", "POST", "PUT", "DELETE"] {
            if Url::parse(&format!("http://gateway{path}")).is_ok() {
                let parsed = CallHead::parse(&request(&format!("{method} {path}"), &headers));
                prop_assert!(parsed.is_err() || value.is_empty() || parsed.unwrap().bearer.is_some());
            }
        }
        prop_assert!(parse_due(&due).is_err() || due.contains('T'));
    }
}
