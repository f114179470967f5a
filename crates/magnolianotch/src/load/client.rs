//! Sends requests as a caller would, and checks what comes back.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::io::ReadExt;
use notch_http::prelude::*;
use serde_json::Value;

use crate::load::prompt::OnlinePrompt;

/// Bytes read from an answer at once.
const READ_BYTES: usize = 8 << 10;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplyEnd {
    /// The whole right answer.
    Right,
    /// An answer that looks whole and isn't the right one.
    Wrong,
    /// An answer that was cut and says so.
    Cut,
    /// A refusal, by its code and whether it may have run.
    Refused {
        /// The stable code.
        code: String,
        /// `no` or `unknown`.
        ran: String,
        /// When to come back, milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// No answer: the connection failed.
    Lost,
}

/// One request's outcome.
#[derive(Debug, Clone)]
pub struct OnlineReply {
    /// How it ended.
    pub end: ReplyEnd,
    /// From sending to the first token.
    pub first_token: Option<Duration>,
    /// Between tokens.
    pub gaps: Vec<Duration>,
    /// From sending to the end.
    pub total: Duration,
}

/// A caller of one gateway.
#[derive(Debug, Clone)]
pub struct LoadClient {
    http: HttpClient,
    address: SocketAddr,
    key: String,
}

impl LoadClient {
    /// A caller with an account's key. Clones share connections.
    pub fn new(http: &HttpClient, address: SocketAddr, key: &str) -> Self {
        Self { http: http.clone(), address, key: key.to_owned() }
    }

    /// A request to `path`, with the account's key.
    pub fn request(&self, method: Method, path: &str, body: impl Into<Body>) -> Request {
        let url = format!("http://{}{path}", self.address);
        let url = Url::parse(&url).expect("an address and a path make a URL");
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.set_body(body);
        request
    }

    /// Sends a request and reads its answer whole: status and body.
    pub async fn whole(&self, request: Request) -> Option<(u16, String)> {
        let mut response = self.http.send(request).await.ok()?;
        let body = response.body_string().await.ok()?;
        Some((response.status().into(), body))
    }

    /// Asks for a streamed answer and checks it.
    pub async fn chat(
        &self,
        prompt: &OnlinePrompt,
        model: &str,
        idempotency_key: Option<&str>,
        deadline: Duration,
    ) -> OnlineReply {
        let mut request =
            self.request(Method::Post, "/v1/chat/completions", prompt.body(model, true));
        request.insert_header("content-type", "application/json");
        request.insert_header("x-deadline-ms", deadline.as_millis().to_string());
        if let Some(key) = idempotency_key {
            request.insert_header("idempotency-key", key);
        }
        self.stream(request, prompt).await
    }

    /// Sends a request for a streamed answer to `prompt` and checks the answer.
    pub async fn stream(&self, request: Request, prompt: &OnlinePrompt) -> OnlineReply {
        let started = Instant::now();
        let Ok(mut response) = self.http.send(request).await else {
            return ended(ReplyEnd::Lost, started);
        };
        if response.status() != StatusCode::Ok {
            let body = response.body_string().await.unwrap_or_default();
            return ended(refused(&body), started);
        }
        read_stream(response, prompt, started).await
    }
}

fn ended(end: ReplyEnd, started: Instant) -> OnlineReply {
    OnlineReply { end, first_token: None, gaps: Vec::new(), total: started.elapsed() }
}

/// Reads a refusal's JSON.
pub fn refused(body: &str) -> ReplyEnd {
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    let error = &json["error"];
    match error["code"].as_str() {
        Some(code) => ReplyEnd::Refused {
            code: code.to_owned(),
            ran: error["ran"].as_str().unwrap_or_default().to_owned(),
            retry_after_ms: error["retry_after_ms"].as_u64(),
        },
        None => ReplyEnd::Lost,
    }
}

async fn read_stream(
    mut response: Response,
    prompt: &OnlinePrompt,
    started: Instant,
) -> OnlineReply {
    let mut reply = ended(ReplyEnd::Lost, started);
    let mut events = EventReader::default();
    let mut buffer = vec![0; READ_BYTES];
    let mut last = started;
    loop {
        let count = match response.read(&mut buffer).await {
            Ok(0) => break,
            Ok(count) => count,
            Err(_) => {
                events.broken = true;
                break;
            }
        };
        if events.push(&buffer[..count]) > 0 {
            let now = Instant::now();
            match reply.first_token {
                None => reply.first_token = Some(now - started),
                Some(_) => reply.gaps.push(now - last),
            }
            last = now;
        }
    }
    reply.total = started.elapsed();
    reply.end = match (events.done, events.text == prompt.expected()) {
        (true, true) => ReplyEnd::Right,
        (true, false) => ReplyEnd::Wrong,
        (false, _) => events.refusal.map_or(ReplyEnd::Cut, |body| match refused(&body) {
            ReplyEnd::Lost => ReplyEnd::Cut,
            refusal => refusal,
        }),
    };
    reply
}

/// Reads server-sent events as they come.
#[derive(Debug, Default)]
struct EventReader {
    pending: Vec<u8>,
    text: String,
    done: bool,
    broken: bool,
    refusal: Option<String>,
}

impl EventReader {
    /// Takes bytes; returns how many events brought text.
    fn push(&mut self, bytes: &[u8]) -> usize {
        self.pending.extend_from_slice(bytes);
        let mut tokens = 0;
        while let Some(end) = self.pending.windows(2).position(|pair| pair == b"\n\n") {
            let event: Vec<u8> = self.pending.drain(..end + 2).collect();
            tokens += self.take(&String::from_utf8_lossy(&event));
        }
        tokens
    }

    fn take(&mut self, event: &str) -> usize {
        let data: String = event.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
        if data == "[DONE]" {
            self.done = true;
            return 0;
        }
        let Ok(json) = serde_json::from_str::<Value>(&data) else { return 0 };
        if json.get("error").is_some() {
            self.refusal = Some(data);
            return 0;
        }
        match json["choices"][0]["delta"]["content"].as_str() {
            Some(text) => {
                self.text.push_str(text);
                1
            }
            None => 0,
        }
    }
}
