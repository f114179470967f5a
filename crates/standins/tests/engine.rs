//! The engine's stand-in: right answers under load, cancel, resume, crash, freeze, orders.

mod support;

use std::time::Duration;

use async_std::task;
use futures_util::future::join_all;
use notch_http::prelude::*;
use notch_standins::{
    CRASH_MARKER, EngineHandle, EngineSettings, LoadedModel, RunCounts,
    engine::{
        prompt_digests,
        protocol::{CacheChange, CacheEvent, ChatAnswer, FinishReason, LoadBody, ModelsBody},
    },
    expected_text,
};
use rstest::rstest;
use support::{StreamedText, call, chat, read_events, send_chat, stream_text};

/// Steps without cost worth mention, and no delay in what the engine tells.
fn quick() -> EngineSettings {
    EngineSettings {
        kv_tokens: 10_000_000,
        base_step: Duration::from_micros(300),
        per_stream: Duration::ZERO,
        per_prefill_token: Duration::ZERO,
        load_lag: Duration::ZERO,
        event_lag: Duration::ZERO,
        event_loss_per_mille: 0,
        load_time: Duration::ZERO,
        crash_down: Duration::from_millis(50),
        ..EngineSettings::default()
    }
}

async fn start(settings: EngineSettings) -> (EngineHandle, HttpClient) {
    let engine = EngineHandle::start(settings).await.expect("a port");
    (engine, HttpClient::default())
}

async fn wait_until(mut holds: impl FnMut() -> bool) {
    while !holds() {
        task::sleep(Duration::from_millis(2)).await;
    }
}

/// Far more than a test ever reads.
const ENDLESS: u32 = 100_000;

#[async_std::test]
async fn every_answer_is_the_expected_one_under_many_streams() {
    let (engine, client) = start(EngineSettings { slots: 16, ..quick() }).await;
    let one = async |number: u32| {
        let prompt = format!("key:{number} tell of {}", "things ".repeat(number as usize % 40));
        let tokens = 1 + number % 37;
        let request = chat(&prompt, tokens, !number.is_multiple_of(3));
        let id = format!("s-{number}");
        let address = engine.address();
        let text = if request.stream {
            let streamed = stream_text(&client, address, &id, &request).await.expect("an answer");
            assert!(streamed.done);
            assert_eq!(streamed.reason, Some(FinishReason::Length));
            assert_eq!(streamed.completion_tokens, u64::from(tokens));
            streamed.text
        } else {
            let mut response = send_chat(&client, address, &id, &request).await.expect("an answer");
            let answer: ChatAnswer = response.body_json().await.expect("an answer");
            answer.choices[0].message.content.clone()
        };
        assert_eq!(text, expected_text(&prompt, tokens), "stream {number}");
    };
    join_all((0..200).map(one)).await;
    let runs = engine.runs().all();
    assert_eq!(runs.len(), 200);
    assert!(runs.values().all(|counts| *counts == RunCounts { started: 1, finished: 1 }));
    let state = engine.state();
    assert_eq!((state.load.running, state.load.waiting, state.load.kv_used), (0, 0, 0));
    assert_eq!(state.tokens, (0..200).map(|number| 1 + number % 37).sum::<u64>());
}

/// Symptom: a resumed answer repeats or skips words.
/// Sequence: a stream is cancelled half-way; what it made goes back in as `resume_text`.
/// Cause: parts of two tries that don't meet.
#[async_std::test]
async fn a_cancelled_stream_goes_on_from_its_resume_text() {
    let (engine, client) = start(quick()).await;
    let prompt = "key:resumed a long story";
    let request = chat(prompt, ENDLESS, true);
    let response = send_chat(&client, engine.address(), "s-1", &request).await.expect("a stream");
    let reading = task::spawn(read_events(response));
    wait_until(|| engine.state().tokens >= 5).await;
    let cancel = call(&client, engine.address(), Method::Delete, "/v1/streams/s-1", "").await;
    assert_eq!(cancel.0, 204);
    let first = reading.await;
    assert!(first.done);
    assert_eq!(first.reason, Some(FinishReason::Cancelled));
    assert_eq!(engine.runs().of("resumed"), RunCounts { started: 1, finished: 0 });

    let made = first.completion_tokens as u32;
    let total = made + 7;
    let mut again = chat(prompt, total, true);
    again.resume_text = first.text.clone();
    let rest = stream_text(&client, engine.address(), "s-1", &again).await.expect("a stream");
    assert_eq!(first.text + &rest.text, expected_text(prompt, total));
    assert_eq!(rest.completion_tokens, 7);

    again.resume_text = expected_text(prompt, total);
    let nothing = stream_text(&client, engine.address(), "s-1", &again).await.expect("a stream");
    assert!(nothing.done && nothing.text.is_empty());
    let cancel = call(&client, engine.address(), Method::Delete, "/v1/streams/s-1", "").await;
    assert_eq!(cancel.0, 404);
}

/// Symptom: slots fill with streams nobody reads.
/// Sequence: a caller hangs up in the middle of its stream, or while it waits.
/// Cause: the engine isn't told, or doesn't look.
#[async_std::test]
async fn a_stream_whose_caller_left_is_cancelled() {
    let (engine, client) = start(EngineSettings { slots: 1, ..quick() }).await;
    let endless = chat("on and on", ENDLESS, true);
    let running = send_chat(&client, engine.address(), "s-1", &endless).await.expect("a stream");
    wait_until(|| engine.state().load.running == 1).await;
    let waiting = send_chat(&client, engine.address(), "s-2", &endless).await.expect("a stream");
    wait_until(|| engine.state().load.waiting == 1).await;
    drop(waiting);
    wait_until(|| engine.state().load.waiting == 0).await;
    drop(running);
    wait_until(|| engine.state().load.running == 0).await;
    assert_eq!(engine.state().cancelled, 2);
}

/// Symptom: a caller takes half of an answer for the whole, or the engine never returns.
/// Sequence: streams run and wait; a request with the marker is admitted; everything is cut; the
/// engine comes back at the same address, empty.
/// Cause: a single request that crashes each target that runs it.
#[async_std::test]
async fn a_crash_cuts_every_stream_and_forgets_everything() {
    let settings = EngineSettings { slots: 4, crash_down: Duration::from_millis(300), ..quick() };
    let (engine, client) = start(settings).await;
    let address = engine.address();
    let endless = chat("on and on", ENDLESS, true);
    let mut streams = Vec::new();
    for number in 0..3 {
        let id = format!("s-{number}");
        let response = send_chat(&client, address, &id, &endless).await.expect("a stream");
        streams.push(task::spawn(read_events(response)));
    }
    wait_until(|| engine.state().load.running == 3).await;
    let marked = chat(&format!("key:bad {CRASH_MARKER}"), 5, false);
    let crashing = match send_chat(&client, address, "bad", &marked).await {
        Ok(mut response) => response.body_bytes().await.is_err(),
        Err(error) => matches!(error, ClientError::Lost(_)),
    };
    assert!(crashing, "no whole answer of a request that crashes");
    for stream in streams {
        let streamed: StreamedText = stream.await;
        assert!(!streamed.done && streamed.reason.is_none());
    }
    let state = engine.state();
    assert_eq!((state.crashes, state.load.running, state.load.kv_used), (1, 0, 0));
    assert_eq!(engine.runs().of("bad"), RunCounts { started: 1, finished: 0 });
    // Connections are cut, or already refused; none is answered.
    let away = send_chat(&client, address, "s-9", &chat("hello", 3, true)).await;
    assert!(away.is_err() || !engine.state().down);
    wait_until(|| !engine.state().down).await;
    // Freed a moment before the port is served again.
    let back = loop {
        match stream_text(&client, address, "s-10", &chat("hello", 3, true)).await {
            Ok(streamed) => break streamed,
            Err(_) => task::sleep(Duration::from_millis(5)).await,
        }
    };
    assert_eq!(back.text, expected_text("hello", 3));
}

/// Symptom: a stream stays silent for good, though its connection is open.
/// Sequence: the engine freezes in the middle of a stream; later it thaws.
/// Cause: a target that neither answers nor hangs up.
#[async_std::test]
async fn a_frozen_engine_is_silent_and_goes_on_where_it_stopped() {
    let (engine, client) = start(quick()).await;
    let address = engine.address();
    let endless = chat("a long story", ENDLESS, true);
    let response = send_chat(&client, address, "s-1", &endless).await.expect("a stream");
    let reading = task::spawn(read_events(response));
    wait_until(|| engine.state().tokens > 0).await;
    let control = engine.control_address();
    assert_eq!(call(&client, control, Method::Post, "/control/freeze", "").await.0, 204);
    // Lets a step end that was past its look at the switch.
    task::sleep(Duration::from_millis(20)).await;
    let before = engine.state().tokens;
    task::sleep(Duration::from_millis(60)).await;
    assert_eq!(engine.state().tokens, before, "no token while frozen");
    assert_eq!(call(&client, control, Method::Post, "/control/thaw", "").await.0, 204);
    wait_until(|| engine.state().tokens > before).await;
    let cancel = call(&client, address, Method::Delete, "/v1/streams/s-1", "").await;
    assert_eq!(cancel.0, 204);
    let streamed = reading.await;
    assert_eq!(streamed.text, expected_text("a long story", streamed.completion_tokens as u32));
}

#[rstest]
#[case::checked(true, 409, 1, "serve")]
#[case::ignored(false, 200, 0, "standby")]
#[async_std::test]
async fn orders_of_an_older_epoch_are_refused_where_epochs_are_checked(
    #[case] checks_epoch: bool,
    #[case] status: u16,
    #[case] refused: u64,
    #[case] role: &str,
) {
    // Symptom: a target takes a role back that it was just given.
    // Sequence: a holder of the placement lease pauses; another orders; the first wakes and orders.
    // Cause: some engines ignore the fencing number; the stand-in can be either kind.
    let models = vec![LoadedModel { model: "a".into(), version: "1".into(), adapters: Vec::new() }];
    let (engine, client) = start(EngineSettings { checks_epoch, models, ..quick() }).await;
    let order = async |body: &str| {
        call(&client, engine.address(), Method::Post, "/v1/orders", body).await.0
    };
    let load = r#"{"action":"load","epoch":5,"model":"model-a","version":"2","adapters":["x"]}"#;
    let missing = send_chat(&client, engine.address(), "s", &chat("hi", 1, false)).await;
    assert_eq!(u16::from(missing.expect("an answer").status()), 404);
    assert_eq!(order(load).await, 200);
    assert_eq!(order(r#"{"action":"role","epoch":6,"role":"serve"}"#).await, 200);
    assert_eq!(order(r#"{"action":"unload","epoch":6,"model":"a"}"#).await, 200);
    assert_eq!(order(r#"{"action":"role","epoch":5,"role":"standby"}"#).await, status);
    assert_eq!(engine.state().stale_orders_refused, refused);
    let (_, body) = call(&client, engine.address(), Method::Get, "/v1/models", "").await;
    let models: ModelsBody = serde_json::from_str(&body).expect("models");
    assert_eq!((models.models.len(), models.role.as_str(), models.epoch), (1, role, 6));
    assert_eq!(models.models[0].adapters, ["x"]);
    let loaded = send_chat(&client, engine.address(), "s", &chat("hi", 1, false)).await;
    assert_eq!(u16::from(loaded.expect("an answer").status()), 200);
}

#[async_std::test]
async fn what_cannot_run_is_refused_before_it_starts() {
    let (engine, client) =
        start(EngineSettings { slots: 1, waiting: 1, kv_tokens: 200_000, ..quick() }).await;
    let status = async |id: &str, tokens: u32| {
        let request = chat("one two three", tokens, true);
        let response = send_chat(&client, engine.address(), id, &request).await.expect("an answer");
        (u16::from(response.status()), response)
    };
    let (_, running) = status("s-1", ENDLESS).await;
    wait_until(|| engine.state().load.running == 1).await;
    assert_eq!(status("s-1", 1).await.0, 409);
    assert_eq!(status("s-2", 200_000).await.0, 400);
    let (_, waiting) = status("s-3", 1).await;
    assert_eq!(status("s-4", 1).await.0, 429);
    let (_, load) = call(&client, engine.address(), Method::Get, "/v1/load", "").await;
    let load: LoadBody = serde_json::from_str(&load).expect("a load");
    assert_eq!((load.running, load.kv_used), (1, u64::from(ENDLESS) + 3));
    drop((running, waiting));
}

#[async_std::test]
async fn a_cached_prefix_is_told_of_and_costs_nothing_again() {
    let (engine, client) = start(quick()).await;
    let prompt = "word ".repeat(40);
    for (id, cached) in [("s-1", 0), ("s-2", 32)] {
        let request = chat(&prompt, 2, true);
        let streamed = stream_text(&client, engine.address(), id, &request).await;
        assert_eq!(streamed.expect("an answer").cached_tokens, cached);
    }
    assert_eq!(engine.state().prefilled, 40 + 8);
    let path = "/v1/cache/events?after=0";
    let (_, body) = call(&client, engine.address(), Method::Get, path, "").await;
    let events: Vec<CacheEvent> = serde_json::from_str(&body).expect("events");
    let stored: Vec<u64> = events.iter().map(|event| event.block).collect();
    assert_eq!(stored, prompt_digests(&prompt));
    assert!(events.iter().all(|event| event.change == CacheChange::Stored));
}

#[async_std::test]
async fn load_and_cache_events_come_late() {
    let hour = Duration::from_secs(3_600);
    let late = EngineSettings { load_lag: hour, event_lag: hour, ..quick() };
    let (engine, client) = start(late).await;
    let request = chat(&"word ".repeat(40), ENDLESS, true);
    let _running = send_chat(&client, engine.address(), "s-1", &request).await.expect("a stream");
    wait_until(|| engine.state().tokens > 0).await;
    let (_, body) = call(&client, engine.address(), Method::Get, "/v1/load", "").await;
    assert_eq!(serde_json::from_str::<LoadBody>(&body).expect("a load").running, 0);
    let (_, body) = call(&client, engine.address(), Method::Get, "/v1/cache/events", "").await;
    assert_eq!(body, "[]");
}
