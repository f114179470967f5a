//! The engine's protocol, served.

use std::{
    sync::{Arc, Weak},
    time::Duration,
};

use async_channel::Receiver;
use async_std::task::{self, sleep};
use futures_util::future::{Either, select};
use notch_http::prelude::*;
use serde::Deserialize;

use super::{
    batch::StreamKey,
    core::{EngineCore, TakeRefusal},
    driver::{crash, thawed},
    protocol::{
        AnswerChoice, ChatAnswer, ChatChunk, ChatDelta, ChatMessage, ChatRequest, ChunkChoice,
        DONE_MARK, FinishReason, OrderAnswer, OrderBody, OrderKind, STREAM_ID_HEADER, UsageBody,
    },
    stream::{FeedItem, StreamPlan},
};
use crate::{
    control::{bad_request, error_answer, json_answer, json_body, query_number, status_answer},
    served::{RequestHandler, decoded_segment, until_cut},
};

/// Handler of the engine's address.
pub(super) fn engine_handler(core: &Arc<EngineCore>) -> RequestHandler {
    // The core holds the port, and the port this handler: a strong one would never be dropped.
    let core = Arc::downgrade(core);
    Arc::new(move |request| {
        let core = core.clone();
        Box::pin(async move {
            match core.upgrade() {
                Some(core) => answer_request(core, request).await,
                None => until_cut().await,
            }
        })
    })
}

/// Handler of the control address.
pub(super) fn control_handler(core: &Arc<EngineCore>) -> RequestHandler {
    let core = Arc::downgrade(core);
    Arc::new(move |request| {
        let core = core.clone();
        Box::pin(async move {
            match core.upgrade() {
                Some(core) => answer_control(&core, request).await,
                None => until_cut().await,
            }
        })
    })
}

async fn answer_request(core: Arc<EngineCore>, request: Request) -> Response {
    thawed(&core).await;
    let path = request.url().path().to_string();
    let response = match (request.method(), path.as_str()) {
        (Method::Post, "/v1/chat/completions") => return answer_chat(core, request).await,
        (Method::Post, "/v1/orders") => answer_order(&core, request).await,
        (Method::Get, "/v1/load") => json_answer(&core.late_load()),
        (Method::Get, "/v1/models") => json_answer(&core.models()),
        (Method::Get, "/v1/cache/events") => {
            json_answer(&core.late_events(query_number(&request, "after").unwrap_or(0)))
        }
        (Method::Delete, path) => cancel_stream(&core, path),
        _ => Response::new(StatusCode::NotFound),
    };
    thawed(&core).await;
    response
}

fn cancel_stream(core: &EngineCore, path: &str) -> Response {
    let id = path.strip_prefix("/v1/streams/").and_then(decoded_segment);
    let found = id.is_some_and(|id| core.cancel_id(&id));
    Response::new(if found { StatusCode::NoContent } else { StatusCode::NotFound })
}

async fn answer_order(core: &EngineCore, mut request: Request) -> Response {
    let order: OrderBody = match json_body(&mut request).await {
        Ok(order) => order,
        Err(refusal) => return refusal,
    };
    if let Err(epoch) = core.fence(order.epoch) {
        return status_answer(StatusCode::Conflict, &OrderAnswer { done: false, epoch });
    }
    if let OrderKind::Load(model) = &order.kind {
        core.begin_load(model);
        sleep(core.settings.load_time).await;
    }
    json_answer(&core.carry_out(order))
}

async fn answer_chat(core: Arc<EngineCore>, mut request: Request) -> Response {
    let id = request.header(STREAM_ID_HEADER).map(|values| values.last().as_str().to_string());
    let chat: ChatRequest = match json_body(&mut request).await {
        Ok(chat) => chat,
        Err(refusal) => return refusal,
    };
    let Some(id) = id else { return bad_request("x-stream-id is missing") };
    let plan = StreamPlan::of(&chat, id.clone());
    if plan.spec.resumed >= plan.spec.max_tokens {
        let (sender, items) = async_channel::bounded(1);
        let _ = sender.try_send(FeedItem::End(FinishReason::Length, plan.usage()));
        return answer_stream(AnswerStream { id, core: Weak::new(), key: 0, items }, chat).await;
    }
    match core.take_request(plan) {
        Ok((key, items)) => {
            let stream = AnswerStream { id, core: Arc::downgrade(&core), key, items };
            drop(core);
            answer_stream(stream, chat).await
        }
        Err(refusal) => refusal_answer(refusal).await,
    }
}

async fn refusal_answer(refusal: TakeRefusal) -> Response {
    match refusal {
        TakeRefusal::NoModel => {
            error_answer(StatusCode::NotFound, "model_not_loaded", "the model is not loaded")
        }
        TakeRefusal::IdInUse => {
            error_answer(StatusCode::Conflict, "stream_in_use", "a stream of this id runs")
        }
        TakeRefusal::Full => {
            error_answer(StatusCode::TooManyRequests, "waiting_full", "the waiting list is full")
        }
        TakeRefusal::TooLong => bad_request("prompt and answer don't fit"),
        TakeRefusal::Down => until_cut().await,
    }
}

/// The caller's end of an answer. Dropped before its end, it cancels the request, as engines do
/// when a caller hangs up.
struct AnswerStream {
    id: String,
    core: Weak<EngineCore>,
    key: StreamKey,
    items: Receiver<FeedItem>,
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if let Some(core) = self.core.upgrade() {
            core.leave(self.key);
        }
    }
}

async fn answer_stream(stream: AnswerStream, chat: ChatRequest) -> Response {
    if !chat.stream {
        return answer_whole(stream, chat).await;
    }
    let (sender, body) = streamed_body();
    task::spawn(send_events(stream, sender));
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("content-type", "text/event-stream");
    response.set_body(body);
    response
}

async fn answer_whole(stream: AnswerStream, chat: ChatRequest) -> Response {
    let mut content = String::new();
    loop {
        match stream.items.recv().await {
            Ok(FeedItem::Token(text)) => content.push_str(&text),
            Ok(FeedItem::End(finish_reason, usage)) => {
                let message = ChatMessage { role: "assistant".to_string(), content };
                let choices = vec![AnswerChoice { index: 0, message, finish_reason }];
                let id = stream.id.clone();
                return json_answer(&ChatAnswer { id, model: chat.model, choices, usage });
            }
            Err(_) => return until_cut().await,
        }
    }
}

async fn send_events(stream: AnswerStream, sender: BodySender) {
    loop {
        let item = {
            let gone = std::pin::pin!(sender.gone());
            let item = std::pin::pin!(stream.items.recv());
            match select(item, gone).await {
                Either::Left((Ok(item), _)) => item,
                // The engine crashed, or the caller went: no end mark.
                Either::Left((Err(_), _)) | Either::Right(_) => return,
            }
        };
        let (event, ended) = event_of(&stream.id, item);
        if sender.send(event).await.is_err() {
            return;
        }
        if ended {
            let _ = sender.finish().await;
            return;
        }
    }
}

/// The event's bytes, and whether it is the last.
fn event_of(id: &str, item: FeedItem) -> (Vec<u8>, bool) {
    match item {
        FeedItem::Token(text) => (event_bytes(&chunk_of(id, Some(text), None, None)), false),
        FeedItem::End(reason, usage) => {
            let mut bytes = event_bytes(&chunk_of(id, None, Some(reason), Some(usage)));
            bytes.extend_from_slice(format!("data: {DONE_MARK}\n\n").as_bytes());
            (bytes, true)
        }
    }
}

fn chunk_of(
    id: &str,
    content: Option<String>,
    finish_reason: Option<FinishReason>,
    usage: Option<UsageBody>,
) -> ChatChunk {
    let choice = ChunkChoice { index: 0, delta: ChatDelta { content }, finish_reason };
    ChatChunk { id: id.to_string(), choices: vec![choice], usage }
}

fn event_bytes(chunk: &ChatChunk) -> Vec<u8> {
    let json = serde_json::to_string(chunk).unwrap_or_default();
    format!("data: {json}\n\n").into_bytes()
}

/// How long to stay away.
#[derive(Debug, Deserialize)]
struct MillisBody {
    ms: u64,
}

async fn answer_control(core: &Arc<EngineCore>, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    match (request.method(), path.as_str()) {
        (Method::Get, "/control/runs") => return json_answer(&core.runs.all()),
        (Method::Get, "/control/state") => return json_answer(&core.engine_state()),
        (Method::Post, "/control/freeze") => core.set_frozen(true),
        (Method::Post, "/control/thaw") => core.set_frozen(false),
        (Method::Post, "/control/crash") => match json_body::<MillisBody>(&mut request).await {
            Ok(body) => crash(core, Duration::from_millis(body.ms)),
            Err(refusal) => return refusal,
        },
        _ => return bad_request("no such control"),
    }
    Response::new(StatusCode::NoContent)
}
