//! What the engines alone can do: each kept full, with nothing of the system in between.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use futures_util::future::join_all;
use notch_http::prelude::*;
use notch_standins::engine::protocol::STREAM_ID_HEADER;

use crate::{
    fleet::{FleetProfile, LocalFleet},
    load::{LoadClient, OnlinePrompt, OnlineReply},
    measure::{
        batch_load::{answer_tokens, prompt},
        settings::ENGINE_SLOTS,
    },
};

/// Time until streams no longer run in step.
const WARM_UP: Duration = Duration::from_secs(2);

/// Asks an engine, past the system.
pub async fn ask_engine(
    http: &HttpClient,
    engine: SocketAddr,
    model: &str,
    prompt: &OnlinePrompt,
    stream: &str,
) -> OnlineReply {
    let client = LoadClient::new(http, engine, "");
    let body = prompt.body(model, true);
    let mut request = client.request(Method::Post, "/v1/chat/completions", body);
    request.insert_header("content-type", "application/json");
    request.insert_header(STREAM_ID_HEADER, stream);
    client.stream(request, prompt).await
}

/// Tokens of batch answers that the engines make a second when every slot is always taken.
pub async fn engine_capacity(fleet: &LocalFleet, http: &HttpClient, measured: Duration) -> f64 {
    let over = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(0));
    let mut streams = Vec::new();
    for engine in &fleet.engines {
        for _ in 0..ENGINE_SLOTS {
            let stream = EngineStream {
                http: http.clone(),
                engine: engine.address(),
                profile: fleet.settings().profile.clone(),
                over: Arc::clone(&over),
                next: Arc::clone(&next),
            };
            streams.push(task::spawn(stream.run()));
        }
    }
    task::sleep(WARM_UP).await;
    let tokens = || fleet.engines.iter().map(|engine| engine.state().tokens).sum::<u64>();
    let before = tokens();
    let started = Instant::now();
    task::sleep(measured).await;
    let made = tokens() - before;
    let seconds = started.elapsed().as_secs_f64();
    over.store(true, Ordering::Relaxed);
    join_all(streams).await;
    made as f64 / seconds
}

/// One slot, kept taken.
struct EngineStream {
    http: HttpClient,
    engine: SocketAddr,
    profile: FleetProfile,
    over: Arc<AtomicBool>,
    next: Arc<AtomicU64>,
}

impl EngineStream {
    async fn run(self) {
        while !self.over.load(Ordering::Relaxed) {
            let number = self.next.fetch_add(1, Ordering::Relaxed);
            let item = number as u32;
            let prompt = OnlinePrompt {
                text: prompt("capacity", item),
                answer_tokens: answer_tokens(&self.profile, item),
            };
            let stream = format!("capacity-{number}");
            ask_engine(&self.http, self.engine, self.profile.model, &prompt, &stream).await;
        }
    }
}
