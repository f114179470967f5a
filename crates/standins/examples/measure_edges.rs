//! Measures what a call to the platform costs, and the engine's speed against its settings.
//!
//! `cargo run --release -p notch-standins --example measure_edges`
#![allow(clippy::print_stdout)] // Its output is its purpose.

use std::{
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use futures_util::future::join_all;
use notch_http::prelude::*;
use notch_platform::{BudgetSettings, HttpObjects, ObjectApi, ObjectsSettings};
use notch_standins::{
    EngineHandle, EngineSettings, MemorySettings, PlatformHandle, PlatformSettings,
};
use notch_types::object::{StoreOp, WriteCondition};

type AnyError = Box<dyn Error + Send + Sync>;

const NO_LIMIT: f64 = 1e9;
const CALLS: usize = 5_000;
const TOKENS: u32 = 100;

fn main() -> Result<(), AnyError> {
    task::block_on(async {
        measure_calls().await?;
        for streams in [1, 8, 32] {
            measure_engine(streams).await?;
        }
        Ok(())
    })
}

async fn measure_calls() -> Result<(), AnyError> {
    let objects = MemorySettings {
        writes_per_second: NO_LIMIT,
        reads_per_second: NO_LIMIT,
        ..MemorySettings::default()
    };
    let settings = PlatformSettings { objects, ..PlatformSettings::default() };
    let platform = PlatformHandle::start(settings).await?;
    let inside: Arc<dyn ObjectApi> = platform.objects().clone();
    let over_http: Arc<dyn ObjectApi> = Arc::new(HttpObjects::new(ObjectsSettings {
        address: platform.address().to_string(),
        budget: BudgetSettings { calls_per_second: NO_LIMIT, burst: NO_LIMIT },
        ..ObjectsSettings::default()
    }));
    let value = vec![7_u8; 4 << 10];
    let put = |condition| StoreOp::Put {
        key: "measured".to_string(),
        value: value.clone().into(),
        condition,
    };
    let get = StoreOp::Get { key: "measured".to_string() };
    // A conditional write that fails its condition costs the same way without growing anything.
    let ops = [
        ("put 4 KiB, unconditional", put(WriteCondition::Always)),
        ("put 4 KiB, conditional", put(WriteCondition::IfAbsent)),
        ("get 4 KiB", get),
    ];
    for (name, op) in ops {
        for (way, api) in [("inside", &inside), ("over HTTP", &over_http)] {
            let (median, high) = call_times(api, &op).await;
            println!("{name}, {way}: median {median:?}, 99 in 100 below {high:?}");
        }
    }
    platform.stop().await;
    Ok(())
}

/// Median and 99th percentile of one call after the other.
async fn call_times(api: &Arc<dyn ObjectApi>, op: &StoreOp) -> (Duration, Duration) {
    let mut times = Vec::with_capacity(CALLS);
    for _ in 0..CALLS {
        let started = Instant::now();
        let _ = api.call(op.clone()).await;
        times.push(started.elapsed());
    }
    times.sort();
    (times[CALLS / 2], times[CALLS * 99 / 100])
}

async fn measure_engine(streams: u32) -> Result<(), AnyError> {
    let settings = EngineSettings::default();
    let expected = settings.base_step + settings.per_stream * streams;
    let engine = EngineHandle::start(settings).await?;
    let client = HttpClient::default();
    let started = Instant::now();
    let reading = (0..streams).map(|number| read_stream(&client, &engine, number));
    join_all(reading).await.into_iter().collect::<Result<Vec<_>, _>>()?;
    let steps = engine.state().steps;
    let step = started.elapsed() / u32::try_from(steps)?;
    println!("engine, {streams} streams: {steps} steps of {step:?}; by its settings {expected:?}");
    engine.stop().await;
    Ok(())
}

async fn read_stream(
    client: &HttpClient,
    engine: &EngineHandle,
    number: u32,
) -> Result<(), AnyError> {
    let url = Url::parse(&format!("http://{}/v1/chat/completions", engine.address()))?;
    let mut request = Request::new(Method::Post, url);
    request.insert_header("x-stream-id", format!("s-{number}"));
    request.set_body(serde_json::to_vec(&serde_json::json!({
        "model": "any", "max_tokens": TOKENS, "stream": true,
        "messages": [{ "role": "user", "content": format!("prompt {number}") }],
    }))?);
    let mut response = client.send(request).await?;
    read_body(response.take_body(), 1 << 20).await?;
    Ok(())
}
