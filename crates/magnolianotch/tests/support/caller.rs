//! A caller that knows every gateway and resends under the same key.

use std::{net::SocketAddr, time::Duration};

use async_std::task;
use magnolianotch::{
    fleet::local_fleet::ACCOUNT_KEY,
    load::{LoadClient, OnlinePrompt, ReplyEnd, client::refused},
};
use notch_http::prelude::*;

/// Deadline of each online request.
pub const DEADLINE: Duration = Duration::from_secs(20);
/// Most sends of one request.
const SENDS: usize = 60;
/// Between two sends.
const SEND_PAUSE: Duration = Duration::from_millis(200);

/// A caller with the demo account's key.
#[derive(Clone)]
pub struct FleetCaller {
    pub http: HttpClient,
    pub gateways: Vec<SocketAddr>,
}

impl FleetCaller {
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        Self { http: HttpClient::default(), gateways }
    }

    /// A client of gateway `turn`, counted round.
    pub fn client(&self, turn: usize) -> LoadClient {
        LoadClient::new(&self.http, self.gateways[turn % self.gateways.len()], ACCOUNT_KEY)
    }

    /// Sends a streamed chat once, through gateway `turn`.
    pub async fn chat_once(
        &self,
        turn: usize,
        prompt: &OnlinePrompt,
        model: &str,
        key: Option<&str>,
    ) -> ReplyEnd {
        self.client(turn).chat(prompt, model, key, DEADLINE).await.end
    }

    /// Sends a streamed chat under one key until it is answered; another gateway each time.
    /// Returns the last end: never a wrong answer without telling.
    pub async fn chat(
        &self,
        turn: usize,
        prompt: &OnlinePrompt,
        model: &str,
        key: &str,
    ) -> ReplyEnd {
        let mut end = ReplyEnd::Lost;
        for send in 0..SENDS {
            end = self.chat_once(turn + send, prompt, model, Some(key)).await;
            let pause = match &end {
                ReplyEnd::Right | ReplyEnd::Wrong => return end,
                ReplyEnd::Refused { code, .. } if code == "quarantined" => return end,
                ReplyEnd::Refused { retry_after_ms: Some(wait), .. } => {
                    Duration::from_millis(*wait)
                }
                _ => SEND_PAUSE,
            };
            task::sleep(pause).await;
        }
        end
    }

    /// Calls a plain service once, through gateway `turn`.
    pub async fn call(&self, turn: usize, path: &str, key: &str, body: &str) -> CallEnd {
        let client = self.client(turn);
        let mut request = client.request(Method::Post, &format!("/v1/services/{path}"), body);
        request.insert_header("idempotency-key", key);
        request.insert_header("x-deadline-ms", "5000");
        match client.whole(request).await {
            None => CallEnd::Lost,
            Some((200, text)) => CallEnd::Answered(text),
            Some((_, text)) => CallEnd::Refused(refused(&text)),
        }
    }
}

/// How a call of a plain service ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered, with this text.
    Answered(String),
    /// Refused.
    Refused(ReplyEnd),
    /// No answer: the connection failed.
    Lost,
}

impl CallEnd {
    /// Whether it was refused as not run.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(ReplyEnd::Refused { ran, .. }) if ran == "no")
    }
}
