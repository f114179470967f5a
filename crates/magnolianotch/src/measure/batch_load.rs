//! A job with far more items than can end while it is measured.

use std::{
    net::SocketAddr,
    time::{Duration, SystemTime},
};

use async_std::task;
use notch_callers::view::JobView;
use notch_http::prelude::*;
use serde_json::json;

use crate::{fleet::FleetProfile, load::LoadClient};

/// Pause before the next gateway is asked.
const PAUSE: Duration = Duration::from_millis(100);
/// Gateways asked in turn before it is given up.
const TRIES: usize = 30;
/// Until the job is due: far away, so that nothing is urgent.
const DUE_IN: Duration = Duration::from_secs(6 * 3_600);
/// Answers differ in length by up to half of the usual one, so that items don't end in step.
const LENGTHS: u32 = 5;

/// A submitted job.
#[derive(Debug, Clone)]
pub struct BatchLoad {
    http: HttpClient,
    gateways: Vec<SocketAddr>,
    key: String,
    job: String,
}

impl BatchLoad {
    /// Submits `items` items; `None` when no gateway takes them.
    pub async fn submit(
        profile: &FleetProfile,
        items: u32,
        name: &str,
        http: &HttpClient,
        gateways: &[SocketAddr],
        key: &str,
    ) -> Option<Self> {
        let due = humantime::format_rfc3339_seconds(SystemTime::now() + DUE_IN);
        let path = format!("/v1/jobs?target={}&due={due}", profile.model);
        let lines: String = (0..items).map(|item| line(profile, name, item)).collect();
        let mut load = Self {
            http: http.clone(),
            gateways: gateways.to_vec(),
            key: key.to_owned(),
            job: String::new(),
        };
        for turn in 0..TRIES {
            let client = load.client(turn);
            let mut request = client.request(Method::Post, &path, lines.clone());
            request.insert_header("content-type", "application/x-ndjson");
            request.insert_header("idempotency-key", name);
            if let Some((200..300, body)) = client.whole(request).await {
                load.job = serde_json::from_str::<JobView>(&body).ok()?.id;
                return Some(load);
            }
            task::sleep(PAUSE).await;
        }
        None
    }

    /// How many items are answered, and how many have failed.
    pub async fn answered(&self) -> Option<(u32, u32)> {
        let path = format!("/v1/jobs/{}", self.job);
        for turn in 0..TRIES {
            let client = self.client(turn);
            let request = client.request(Method::Get, &path, Body::empty());
            if let Some((200..300, body)) = client.whole(request).await
                && let Ok(view) = serde_json::from_str::<JobView>(&body)
            {
                return Some((view.items.answered, view.items.failed));
            }
            task::sleep(PAUSE).await;
        }
        None
    }

    /// Cancels what is left.
    pub async fn cancel(&self) -> bool {
        let path = format!("/v1/jobs/{}", self.job);
        for turn in 0..TRIES {
            let client = self.client(turn);
            let request = client.request(Method::Delete, &path, Body::empty());
            if let Some((200..300, _)) = client.whole(request).await {
                return true;
            }
            task::sleep(PAUSE).await;
        }
        false
    }

    fn client(&self, turn: usize) -> LoadClient {
        LoadClient::new(&self.http, self.gateways[turn % self.gateways.len()], &self.key)
    }
}

/// Tokens of an item's answer: on average the profile's.
pub fn answer_tokens(profile: &FleetProfile, item: u32) -> u32 {
    let eighth = profile.batch_answer / 8;
    profile.batch_answer - 2 * eighth + (item.wrapping_mul(7) % LENGTHS) * eighth
}

/// An item's prompt.
pub fn prompt(name: &str, item: u32) -> String {
    format!("match statement line {item} of {name} to its posting")
}

fn line(profile: &FleetProfile, name: &str, item: u32) -> String {
    let line = json!({
        "custom_id": format!("line-{item}"),
        "body": {
            "model": profile.model,
            "messages": [{ "role": "user", "content": prompt(name, item) }],
            "max_tokens": answer_tokens(profile, item),
        },
    });
    format!("{line}\n")
}
