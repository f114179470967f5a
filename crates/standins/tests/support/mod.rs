//! Talking to a stand-in over HTTP.
#![allow(dead_code)] // Each test file uses its own part.

use std::net::SocketAddr;

use notch_http::prelude::*;
use notch_standins::engine::protocol::{ChatChunk, ChatMessage, ChatRequest, FinishReason};

/// A chat of one message.
pub(crate) fn chat(prompt: &str, max_tokens: u32, stream: bool) -> ChatRequest {
    ChatRequest {
        model: "model-a".to_string(),
        messages: vec![ChatMessage { role: "user".to_string(), content: prompt.to_string() }],
        max_tokens,
        stream,
        resume_text: String::new(),
    }
}

pub(crate) fn request(address: SocketAddr, method: Method, path: &str, body: Vec<u8>) -> Request {
    let url = Url::parse(&format!("http://{address}{path}")).expect("a URL");
    let mut request = Request::new(method, url);
    request.set_body(body);
    request
}

/// Sends a chat as the stream `id`.
pub(crate) async fn send_chat(
    client: &HttpClient,
    address: SocketAddr,
    id: &str,
    chat: &ChatRequest,
) -> Result<Response, ClientError> {
    let body = serde_json::to_vec(chat).expect("JSON");
    let mut post = request(address, Method::Post, "/v1/chat/completions", body);
    post.insert_header("x-stream-id", id);
    client.send(post).await
}

/// What came of a streamed answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) struct StreamedText {
    pub(crate) text: String,
    pub(crate) reason: Option<FinishReason>,
    /// Whether the end mark came.
    pub(crate) done: bool,
    pub(crate) cached_tokens: u64,
    pub(crate) completion_tokens: u64,
}

/// Reads events to the end mark, or to the cut.
pub(crate) async fn read_events(mut response: Response) -> StreamedText {
    use async_std::io::prelude::BufReadExt;
    let mut streamed = StreamedText::default();
    let mut lines = response.take_body().lines();
    while let Some(Ok(line)) = async_std::stream::StreamExt::next(&mut lines).await {
        match line.strip_prefix("data: ") {
            Some("[DONE]") => streamed.done = true,
            Some(json) => add_chunk(&mut streamed, json),
            None => assert_eq!(line, ""),
        }
    }
    streamed
}

fn add_chunk(streamed: &mut StreamedText, json: &str) {
    let chunk: ChatChunk = serde_json::from_str(json).expect("a chunk");
    let choice = &chunk.choices[0];
    streamed.text.push_str(choice.delta.content.as_deref().unwrap_or(""));
    streamed.reason = streamed.reason.or(choice.finish_reason);
    if let Some(usage) = chunk.usage {
        streamed.cached_tokens = usage.cached_tokens;
        streamed.completion_tokens = usage.completion_tokens;
    }
}

/// Sends a streamed chat and reads it whole.
pub(crate) async fn stream_text(
    client: &HttpClient,
    address: SocketAddr,
    id: &str,
    chat: &ChatRequest,
) -> Result<StreamedText, ClientError> {
    Ok(read_events(send_chat(client, address, id, chat).await?).await)
}

/// A call with a JSON body; status and body.
pub(crate) async fn call(
    client: &HttpClient,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> (u16, String) {
    let sent = client.send(request(address, method, path, body.as_bytes().to_vec())).await;
    let mut response = sent.expect("an answer");
    let text = response.body_string().await.expect("a whole body");
    (response.status().into(), text)
}
