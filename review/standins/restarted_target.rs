//! A server that starts again under its id while a client still reads the answer that it gave before.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    Outcome, Stage,
    gateway::Gateway,
    store::Store,
    target::{Reply, Target},
    wire::{self, Connection},
};

/// Length of the answer; more than the system's buffers of a connection hold.
const ANSWER_BYTES: usize = 8 << 20;
/// What the client reads at a time, and its pause: 1.6 MB/s, so that it needs 5 s of its time budget of 8 s.
const READ_BYTES: usize = 64 << 10;
const READ_PAUSE: Duration = Duration::from_millis(40);
/// Receive buffer of the client.
const RECEIVE_BUFFER: i32 = 64 << 10;
/// When the server crashes, from the begin of the answer, and how long it is down.
const CRASH_AFTER: Duration = Duration::from_millis(300);
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Servers of the service: one of them is less than the share of 0.15 that may crash.
const SERVERS: usize = 7;
const HOST: &str = "board.example";
const CONTRACTS: &str = "base,drain,config,cost,recover,health,pool,batch,stream,engine,platform";
const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"run-sheet","host":"board.example","pathPrefix":"/sheet/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":300,"priority":0,"service":"runhost-llm","maxAttempts":2,"sticky":true,"resumable":false}],"services":[{"name":"runhost-llm","healthPath":"/healthz","maxConns":370}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// The body of the server `id`, each line of which names it.
fn body_of(id: &str) -> Vec<u8> {
    let mut body = Vec::with_capacity(ANSWER_BYTES);
    for line in 0.. {
        let text = format!("{id} line {line:08} of the sheet\n");
        let left = ANSWER_BYTES - body.len();
        if left <= text.len() {
            body.extend_from_slice(&text.as_bytes()[..left]);
            return body;
        }
        body.extend_from_slice(text.as_bytes());
    }
    body
}

fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

pub fn play(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let (store, address) = Store::start(record);
    store.put("config", "main", CONFIGURATION);
    let zones = ["bc-west-a", "bc-west-b", "bc-west-c"];
    let targets: Vec<Target> = (0..SERVERS)
        .map(|n| {
            let id = format!("i-{n}a91c2");
            let body = Arc::new(body_of(&id));
            let names = (&*id, "runhost-llm", zones[n % zones.len()]);
            let reply = move |_: &wire::Message| Reply::Whole(Arc::clone(&body));
            Target::start(names, unix_millis(), (&store, record), reply)
        })
        .collect();
    let gateways: Vec<Gateway> = (0..3)
        .map(|n| {
            let name = format!("edge-{}-1", zones[n]);
            Gateway::start((&name, zones[n]), CONTRACTS, address, (&stage.folder, record))
        })
        .collect();
    if !gateways.iter().all(Gateway::await_ready) {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));

    let headers =
        format!("Host: {HOST}\r\nAttempt-Id: c0ffee01\r\nModel: m\r\nDeadline-Ms: 8000\r\n");
    let Ok(mut channel) = Connection::open(gateways[0].clients) else { return Outcome::NotRun };
    channel.limit_receive_buffer(RECEIVE_BUFFER);
    if channel.send(&wire::request("POST", "/sheet/12", &headers, b"{\"run\":12}")).is_err() {
        return Outcome::NotRun;
    }
    let Ok(Some(head)) = channel.head() else { return Outcome::NotRun };
    let began = Instant::now();
    let length = head.header("Content-Length").and_then(|length| length.parse().ok());
    let seal = head.header("Server-Seal").unwrap_or("none").to_owned();
    let status = head.status();
    record.note(&format!("client: c0ffee01 answered {status}, length {length:?}, seal {seal}"));
    let (200, Some(length)) = (status, length) else { return Outcome::NotRun };
    let Some(first) = targets.iter().find(|target| !target.runs().is_empty()).cloned() else {
        return Outcome::NotRun;
    };
    let server = {
        let (first, store, record) = (first.clone(), store.clone(), record.clone());
        let has_trouble = stage.has_trouble;
        thread::spawn(move || {
            thread::sleep(CRASH_AFTER);
            let was_written = first.runs()[0].is_complete;
            record
                .note(&format!("server {}: has written its whole answer: {was_written}", first.id));
            if has_trouble {
                first.crash();
                thread::sleep(DOWN_TIME);
                first.start_again(unix_millis(), &store);
            }
            was_written
        })
    };
    let mut body = Vec::with_capacity(length);
    while body.len() < length {
        let part = channel.take(READ_BYTES.min(length - body.len()));
        if part.is_empty() {
            break;
        }
        body.extend(part);
        thread::sleep(READ_PAUSE);
    }
    let took = began.elapsed().as_secs_f64();
    let read = body.len();
    record.note(&format!("client: has read {read} of {length} bytes of the body in {took:.1} s"));
    if !server.join().unwrap_or(false) {
        return Outcome::NotRun;
    }
    let is_whole = body.len() == length;
    let runs: Vec<String> = targets
        .iter()
        .flat_map(|target| {
            target.runs().into_iter().map(|run| format!("{} at {}", run.attempt, target.id))
        })
        .collect();
    record.note(&format!("servers: ran {}", runs.join(", ")));
    if !is_whole {
        // It looks incomplete, as it should where it is.
        return Outcome::Held;
    }
    let expected = body_of(&first.id);
    let Some(at) = body.iter().zip(&expected).position(|(got, sent)| got != sent) else {
        return Outcome::Held;
    };
    let from = at.saturating_sub(40);
    let shown = String::from_utf8_lossy(&body[from..(at + 200).min(body.len())]).into_owned();
    record.note(&format!("client: the body differs from the server's at byte {at}: {shown:?}"));
    Outcome::Broken
}
