//! What the edge makes of answers: whole, cut, cancelled, refused, too large, in any parts.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::task::block_on;
use notch_http::prelude::*;
use notch_target::prelude::*;
use notch_types::prelude::*;
use proptest::{prelude::*, test_runner::RngSeed};
use rstest::rstest;

/// A stream as engines send it.
fn events(texts: &[&str], finish: &str, done: bool) -> String {
    let mut stream = String::new();
    for text in texts {
        let event = serde_json::json!({
            "id": "s", "choices": [{ "index": 0, "delta": { "content": text } }],
        });
        stream.push_str(&format!("data: {event}\n\n"));
    }
    let last = serde_json::json!({
        "id": "s",
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish }],
        "usage": { "completion_tokens": texts.len() },
    });
    stream.push_str(&format!("data: {last}\n\n"));
    if done {
        stream.push_str("data: [DONE]\n\n");
    }
    stream
}

/// Serves one scripted answer in parts; without `whole` the connection breaks off after them.
async fn scripted(status: u16, parts: Vec<Vec<u8>>, whole: bool) -> ServerHandle {
    let parts = Arc::new(parts);
    let handler = move |_: Request| -> BoxFuture<'static, Response> {
        let parts = Arc::clone(&parts);
        Box::pin(async move {
            let (sender, body) = streamed_body();
            async_std::task::spawn(async move {
                for part in parts.iter() {
                    if sender.send(part.clone()).await.is_err() {
                        return;
                    }
                }
                if whole {
                    let _ = sender.finish().await;
                }
            });
            let mut response = Response::new(StatusCode::try_from(status).expect("a status"));
            response.set_body(body);
            response
        })
    };
    HttpServer::bind("127.0.0.1:0", ServerLimits::default(), handler).await.expect("a port")
}

#[derive(Default)]
struct Heard {
    started: u32,
    bytes: Vec<u8>,
}

impl CallSink for Heard {
    fn started(&mut self) {
        self.started += 1;
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }
}

fn call(mode: CallMode) -> TargetCall {
    TargetCall {
        id: "stream-1".to_owned(),
        request: RequestId(1),
        path: String::new(),
        body: Payload::from("{\"model\":\"m\",\"messages\":[]}"),
        mode,
        idempotent: true,
        progress: None,
    }
}

fn engine(address: SocketAddr) -> HttpEngine {
    HttpEngine::new(EngineSettings {
        address,
        answer_bytes: 4_096,
        idle_timeout: Duration::from_secs(5),
        ..EngineSettings::default()
    })
}

async fn ask(status: u16, body: &str, whole: bool, call: &TargetCall) -> (CallAnswer, Heard) {
    let server = scripted(status, vec![body.as_bytes().to_vec()], whole).await;
    let mut heard = Heard::default();
    let answer = engine(server.address()).run(call, &mut heard).await;
    (answer, heard)
}

const COMPLETE: CallEnd = CallEnd::Complete { status: 200 };
const BROKEN: CallEnd = CallEnd::Failed { status: 0, retryable: true };

#[rstest]
#[case::whole(200, events(&["a", " b"], "length", true), true, COMPLETE)]
#[case::without_end_mark(200, events(&["a"], "length", false), true, CallEnd::Cut)]
#[case::broken_off(200, events(&["a"], "length", false), false, CallEnd::Cut)]
#[case::cancelled(200, events(&["a"], "cancelled", true), true, BROKEN)]
#[case::too_large(
    200, "x".repeat(5_000), true, CallEnd::Failed { status: 0, retryable: false })]
#[case::callers_fault(400, "{}".to_owned(), true, CallEnd::Complete { status: 400 })]
#[case::model_not_here(
    404, "{}".to_owned(), true, CallEnd::Failed { status: 404, retryable: true })]
#[case::full(429, "{}".to_owned(), true, CallEnd::Failed { status: 429, retryable: true })]
#[case::engine_fault(500, "{}".to_owned(), true, CallEnd::Failed { status: 500, retryable: true })]
fn a_stream_is_whole_only_with_its_end_mark(
    #[case] status: u16,
    #[case] body: String,
    #[case] whole: bool,
    #[case] end: CallEnd,
) {
    // Symptom: a cut answer is passed off as whole.
    // Sequence: the engine ends, breaks off or cancels the stream in its midst.
    // Cause: the end of the connection was taken for the end of the answer.
    block_on(async {
        for mode in [CallMode::Stream, CallMode::Collect] {
            let (answer, heard) = ask(status, &body, whole, &call(mode)).await;
            assert_eq!(answer.end, end, "{mode:?}");
            assert_eq!(heard.started, 1);
            if mode == CallMode::Stream && end == COMPLETE {
                assert_eq!(heard.bytes, body.as_bytes(), "passed on byte for byte");
            }
        }
    });
}

#[test]
fn a_resumed_item_is_put_together_from_both_parts() {
    block_on(async {
        let call = TargetCall { progress: Some(Payload::from("one")), ..call(CallMode::Collect) };
        let stream = events(&[" two", " three"], "length", true);
        let (answer, heard) = ask(200, &stream, true, &call).await;
        assert_eq!(heard.bytes, b" two three", "only what is new");
        let body = answer.body.expect("a whole answer");
        let body: serde_json::Value = serde_json::from_slice(&body).expect("JSON");
        assert_eq!(body.pointer("/choices/0/message/content"), Some(&"one two three".into()));
        assert_eq!(body.pointer("/choices/0/finish_reason"), Some(&"length".into()));
    });
}

#[test]
fn refused_and_cut_connections_are_told_apart() {
    // Symptom: "not run" is said of a call that ran, or can't be said of one that didn't.
    // Sequence: nobody listens; or somebody takes the call and hangs up.
    // Cause: both were one error.
    block_on(async {
        let server = scripted(200, Vec::new(), false).await;
        let address = server.address();
        let mut heard = Heard::default();
        let cut = engine(address).run(&call(CallMode::Stream), &mut heard).await;
        assert_eq!(cut.end, CallEnd::Cut);
        server.stop(Duration::ZERO).await;
        let gone = engine(address).run(&call(CallMode::Stream), &mut heard).await;
        assert_eq!(gone.end, CallEnd::Unreached);
        assert_eq!(engine(address).probe().await, TargetProbe::Refused);
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(43),
        cases: 60,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn texts_are_the_same_however_the_stream_is_cut_into_parts(
        texts in proptest::collection::vec("[a-zäßλ\"\\\\{}\n]{0,6}", 1..8),
        cuts in proptest::collection::vec(1..40_usize, 1..30),
    ) {
        let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
        let stream = events(&texts, "length", true).into_bytes();
        let mut parts = Vec::new();
        let mut rest = stream.as_slice();
        for cut in cuts.iter().cycle() {
            let (part, left) = rest.split_at((*cut).min(rest.len()));
            parts.push(part.to_vec());
            rest = left;
            if rest.is_empty() {
                break;
            }
        }
        let (answer, heard) = block_on(async {
            let server = scripted(200, parts, true).await;
            let mut heard = Heard::default();
            let answer =
                engine(server.address()).run(&call(CallMode::Collect), &mut heard).await;
            (answer, heard)
        });
        prop_assert_eq!(answer.end, COMPLETE);
        prop_assert_eq!(heard.bytes, texts.concat().into_bytes());
    }
}
