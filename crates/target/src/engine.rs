//! A model engine: streams that can be cancelled and resumed, load, cache news and orders.

use std::{net::SocketAddr, time::Duration};

use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::{
    call::{CallAnswer, CallEnd, CallMode, CallSink, TargetCall, is_retryable},
    http_call::{end_failed, pass_body, probe_failure, send_call, target_url},
    link::TargetLink,
    probe::{CacheReport, TargetProbe},
    sse::StreamReader,
};

/// Header that names a stream, for its cancellation.
const STREAM_ID_HEADER: &str = "x-stream-id";
/// Largest answer to a small question, bytes.
const SMALL_ANSWER_BYTES: u64 = 1 << 20;
/// Why an engine says that a stream was cancelled; such an answer is not whole.
const CANCELLED: &str = "cancelled";

/// Where an engine is and how long it may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest wait for a connection, for a probe's answer and for a cancellation's.
    pub connect_timeout: Duration,
    /// Longest wait for an answer's head: it may wait in the engine's own line.
    pub answer_timeout: Duration,
    /// A stream that brings nothing this long is held broken.
    pub idle_timeout: Duration,
    /// Largest answer, bytes.
    pub answer_bytes: u64,
    /// Longest wait for an order's end: loading weights takes minutes.
    pub order_timeout: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7300)),
            connect_timeout: Duration::from_millis(500),
            answer_timeout: Duration::from_secs(600),
            idle_timeout: Duration::from_secs(10),
            answer_bytes: 4 << 20,
            order_timeout: Duration::from_secs(300),
        }
    }
}

/// The way to one engine.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    settings: EngineSettings,
    client: HttpClient,
    prober: HttpClient,
    orders: HttpClient,
}

impl HttpEngine {
    /// A way that is not yet connected.
    pub fn new(settings: EngineSettings) -> Self {
        let client = |answer: Duration, idle: Duration| {
            HttpClient::new(ClientSettings {
                connect_timeout: settings.connect_timeout,
                response_timeout: answer,
                body_timeout: idle,
                ..ClientSettings::default()
            })
        };
        Self {
            client: client(settings.answer_timeout, settings.idle_timeout),
            prober: client(settings.connect_timeout, settings.connect_timeout),
            orders: client(settings.order_timeout, settings.order_timeout),
            settings,
        }
    }

    async fn call(&self, call: &TargetCall, sink: &mut dyn CallSink) -> CallAnswer {
        let Some(request) = self.chat_request(call) else {
            // Not JSON, and so nothing an engine could run: the caller's own fault.
            let end = CallEnd::Failed { status: 400, retryable: false };
            return CallAnswer::bare(end);
        };
        let mut response = match send_call(&self.client, request, call.idempotent).await {
            Ok(response) => response,
            Err(end) => return CallAnswer::bare(end),
        };
        sink.started();
        let status = u16::from(response.status());
        if !response.status().is_success() {
            return self.end_unsuccessful(status, response, sink).await;
        }
        match call.mode {
            CallMode::Stream => self.pass_stream(status, response.take_body(), sink).await,
            CallMode::Whole => self.pass_whole(status, response.take_body(), sink).await,
            CallMode::Collect => self.collect(call, status, response.take_body(), sink).await,
        }
    }

    fn chat_request(&self, call: &TargetCall) -> Option<Request> {
        let url = target_url(self.settings.address, "/v1/chat/completions")?;
        let body = match call.mode {
            CallMode::Stream | CallMode::Whole => call.body.to_vec(),
            CallMode::Collect => collected_body(call)?,
        };
        let mut request = Request::new(Method::Post, url);
        request.insert_header("content-type", "application/json");
        request.insert_header(STREAM_ID_HEADER, call.id.as_str());
        request.set_body(body);
        Some(request)
    }

    /// A model that isn't loaded here, or a stream id in use, is no fault of the request.
    async fn end_unsuccessful(
        &self,
        status: u16,
        response: Response,
        sink: &mut dyn CallSink,
    ) -> CallAnswer {
        if matches!(status, 404 | 409) || is_retryable(status) {
            return CallAnswer::bare(CallEnd::Failed { status, retryable: true });
        }
        let (end, body) = end_failed(response, self.settings.answer_bytes, sink).await;
        CallAnswer { end, body: Some(Payload(body)) }
    }

    async fn pass_stream(&self, status: u16, body: Body, sink: &mut dyn CallSink) -> CallAnswer {
        let limit = self.settings.answer_bytes;
        let mut reader = StreamReader::new(false, limit as usize);
        let passed = pass_body(body, limit, |part| {
            sink.bytes(part);
            reader.push(part);
        });
        let passed = passed.await;
        CallAnswer::bare(stream_end(passed, &reader, status))
    }

    async fn pass_whole(&self, status: u16, body: Body, sink: &mut dyn CallSink) -> CallAnswer {
        let passed = pass_body(body, self.settings.answer_bytes, |part| sink.bytes(part)).await;
        CallAnswer::bare(passed.map_or_else(|end| end, |()| CallEnd::Complete { status }))
    }

    /// Streams, and makes the whole answer of what was resumed and what came.
    async fn collect(
        &self,
        call: &TargetCall,
        status: u16,
        body: Body,
        sink: &mut dyn CallSink,
    ) -> CallAnswer {
        let limit = self.settings.answer_bytes;
        let mut reader = StreamReader::new(true, limit as usize);
        let mut text = progress_text(call).to_owned();
        let passed = pass_body(body, limit, |part| {
            reader.push(part);
            if !reader.texts.is_empty() {
                sink.bytes(reader.texts.as_bytes());
                text.push_str(&reader.texts);
                reader.texts.clear();
            }
        });
        let passed = passed.await;
        let end = stream_end(passed, &reader, status);
        let is_complete = matches!(end, CallEnd::Complete { .. });
        let whole = is_complete.then(|| reader.whole_answer(&text).to_string());
        CallAnswer { end, body: whole.map(|whole| Payload(whole.into_bytes())) }
    }

    async fn small_answer(&self, path: &str) -> Result<Vec<u8>, TargetProbe> {
        let url = target_url(self.settings.address, path).ok_or(TargetProbe::Refused)?;
        let request = Request::new(Method::Get, url);
        let mut response = self.prober.send_repeatable(request).await.map_err(probe_failure)?;
        let body = read_body(response.take_body(), SMALL_ANSWER_BYTES).await;
        body.map_err(|error| match error {
            BodyError::TimedOut => TargetProbe::Silent,
            _ => TargetProbe::Cut,
        })
    }

    async fn is_there(&self) -> TargetProbe {
        match self.small_answer("/v1/load").await {
            Ok(body) => {
                let load: LoadAnswer = serde_json::from_slice(&body).unwrap_or_default();
                TargetProbe::Up { instance: load.instance }
            }
            Err(failure) => failure,
        }
    }

    async fn stop_stream(&self, id: &str) {
        let path = format!("/v1/streams/{id}");
        if let Some(url) = target_url(self.settings.address, &path) {
            // A failure is the target's: the gate takes the slot back after its own grace.
            let _ = self.prober.send_repeatable(Request::new(Method::Delete, url)).await;
        }
    }

    async fn read_holdings(&self) -> Option<(String, Vec<HeldModel>)> {
        let body = self.small_answer("/v1/models").await.ok()?;
        let answer: ModelsAnswer = serde_json::from_slice(&body).ok()?;
        let models = answer.models.into_iter().map(|mut held| {
            held.adapters.sort();
            HeldModel {
                model: TargetName::new(&held.model),
                version: held.version,
                adapters: held.adapters,
            }
        });
        Some((answer.role, models.collect()))
    }

    async fn read_cache(&self, cursor: u64) -> Option<CacheReport> {
        let path = format!("/v1/cache/events?after={cursor}");
        let body = self.small_answer(&path).await.ok()?;
        let events: Vec<CacheEvent> = serde_json::from_slice(&body).ok()?;
        let last = events.last().map_or(cursor, |event| event.number);
        let reset = events.first().is_some_and(|event| event.number > cursor + 1);
        let events = events.iter().map(|event| (event.block, event.change == "stored"));
        Some(CacheReport { cursor: last, reset, events: events.collect() })
    }

    async fn give(&self, order: &TargetOrder) -> OrderOutcome {
        let Some(url) = target_url(self.settings.address, "/v1/orders") else {
            return failed("no address");
        };
        let mut request = Request::new(Method::Post, url);
        request.insert_header("content-type", "application/json");
        request.set_body(order_body(order).to_string());
        let mut response = match self.orders.send_repeatable(request).await {
            Ok(response) => response,
            Err(error) => return failed(&error.to_string()),
        };
        let status = u16::from(response.status());
        let body = read_body(response.take_body(), SMALL_ANSWER_BYTES).await.unwrap_or_default();
        let answer: OrderAnswer = serde_json::from_slice(&body).unwrap_or_default();
        match status {
            200 if answer.done => OrderOutcome::Done,
            409 => OrderOutcome::Stale { current: Epoch(answer.epoch) },
            _ => failed(&format!("the engine answered {status}")),
        }
    }
}

impl TargetLink for HttpEngine {
    fn run<'a>(
        &'a self,
        call: &'a TargetCall,
        sink: &'a mut dyn CallSink,
    ) -> BoxFuture<'a, CallAnswer> {
        Box::pin(self.call(call, sink))
    }

    fn cancel<'a>(&'a self, id: &'a str) -> BoxFuture<'a, ()> {
        Box::pin(self.stop_stream(id))
    }

    fn probe(&self) -> BoxFuture<'_, TargetProbe> {
        Box::pin(self.is_there())
    }

    fn holdings(&self) -> BoxFuture<'_, Option<(String, Vec<HeldModel>)>> {
        Box::pin(self.read_holdings())
    }

    fn cache_events(&self, cursor: u64) -> BoxFuture<'_, Option<CacheReport>> {
        Box::pin(self.read_cache(cursor))
    }

    fn order<'a>(&'a self, order: &'a TargetOrder) -> BoxFuture<'a, OrderOutcome> {
        Box::pin(self.give(order))
    }
}

#[derive(Debug, Default, Deserialize)]
struct LoadAnswer {
    #[serde(default)]
    instance: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct ModelsAnswer {
    models: Vec<ModelAnswer>,
    #[serde(default)]
    role: String,
}

#[derive(Debug, Deserialize)]
struct ModelAnswer {
    model: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    adapters: Vec<String>,
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    number: u64,
    change: String,
    block: u64,
}

#[derive(Debug, Default, Deserialize)]
struct OrderAnswer {
    #[serde(default)]
    done: bool,
    #[serde(default)]
    epoch: u64,
}

/// A stream is whole only with its end mark, and only when nobody cancelled it.
fn stream_end(passed: Result<(), CallEnd>, reader: &StreamReader, status: u16) -> CallEnd {
    match passed {
        Err(end) => end,
        Ok(()) if reader.is_broken => CallEnd::Failed { status: 0, retryable: true },
        Ok(()) if !reader.is_ended => CallEnd::Cut,
        Ok(()) if reader.finish_reason.as_deref() == Some(CANCELLED) => {
            CallEnd::Failed { status: 0, retryable: true }
        }
        Ok(()) => CallEnd::Complete { status },
    }
}

/// The caller's body, streamed and resumed.
fn collected_body(call: &TargetCall) -> Option<Vec<u8>> {
    let mut body: Value = serde_json::from_slice(&call.body).ok()?;
    let fields = body.as_object_mut()?;
    fields.insert("stream".to_owned(), Value::Bool(true));
    let progress = progress_text(call);
    if !progress.is_empty() {
        fields.insert("resume_text".to_owned(), Value::from(progress));
    }
    serde_json::to_vec(&body).ok()
}

/// Progress that is no text is dropped: the item starts from its beginning.
fn progress_text(call: &TargetCall) -> &str {
    call.progress.as_ref().and_then(|bytes| std::str::from_utf8(bytes).ok()).unwrap_or_default()
}

fn order_body(order: &TargetOrder) -> Value {
    let epoch = order.epoch.0;
    match &order.action {
        OrderAction::Load { model, version, adapters } => json!({
            "epoch": epoch, "action": "load",
            "model": model.as_str(), "version": version, "adapters": adapters,
        }),
        OrderAction::Unload { model } => json!({
            "epoch": epoch, "action": "unload", "model": model.as_str(),
        }),
        OrderAction::Role { role } => json!({
            "epoch": epoch, "action": "role", "role": role,
        }),
    }
}

fn failed(detail: &str) -> OrderOutcome {
    OrderOutcome::Failed { detail: detail.to_owned() }
}
