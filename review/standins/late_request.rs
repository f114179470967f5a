//! A request that a client sends on its open channel while the gateway stops.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{
    Outcome, Stage,
    gateway::Gateway,
    store::Store,
    target::{Reply, Target},
    wire::{self, Connection, Message},
};

/// Events of a reply, as the sheet has them, and their pause, which is below the sheet's 250 ms.
const EVENTS: u64 = 27;
const SLOW_GAP: Duration = Duration::from_millis(150);
const QUICK_GAP: Duration = Duration::from_millis(10);
/// Time budget of a request, as the sheet has it.
const BUDGET: Duration = Duration::from_millis(5_000);
/// When the requests are sent, from the SIGTERM. Those that are sent in the first 3 s are excused if they run in the last
/// sixth of `graceS`.
const SENT_AFTER: [u64; 3] = [3_500, 3_900, 4_300];
const HOST: &str = "diary.example";
const CONTRACTS: &str = "base,drain,config,cost,recover,batch,stream,engine,platform";
const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"slot-reply","host":"diary.example","pathPrefix":"/slot/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":300,"priority":0,"service":"diary-llm","maxAttempts":1,"sticky":true,"resumable":false,"gapAimMs":250}],"services":[{"name":"diary-llm","healthPath":"/healthz","maxConns":200}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

fn data(attempt: &str, event: u64) -> String {
    format!("piece {event} of {attempt}")
}

fn reply(request: &Message) -> Reply {
    let gap = if request.target().starts_with("/slot/long") { SLOW_GAP } else { QUICK_GAP };
    Reply::Stream { events: EVENTS, gap, data }
}

fn request(path: &str, attempt: &str) -> Vec<u8> {
    let headers = format!(
        "Host: {HOST}\r\nAttempt-Id: {attempt}\r\nModel: m\r\nToken-Count: 450,250\r\n\
         Prompt-Prefix: 5c1e07a2:200,{attempt}:250\r\nDeadline-Ms: {}\r\n",
        BUDGET.as_millis()
    );
    wire::request("POST", path, &headers, b"{\"learner\":17}")
}

/// How a client saw its request on the kept channel.
struct Seen {
    attempt: String,
    sent: Instant,
    took: Duration,
    answer: Option<Message>,
}

/// A client that has used its channel before and sends its next request on it at `at`.
fn client(gateway: SocketAddr, number: usize, at: Instant) -> JoinHandle<Option<Seen>> {
    thread::spawn(move || {
        let mut channel = Connection::open(gateway).ok()?;
        channel.send(&request("/slot/short/1", &format!("a0{number}"))).ok()?;
        let first = channel.answer()?;
        if first.status() != 200 || !first.is_whole {
            return None;
        }
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let attempt = format!("b0{number}");
        let sent = Instant::now();
        // A channel that the gateway has closed meanwhile: the client goes elsewhere.
        if channel.send(&request("/slot/long/1", &attempt)).is_err() {
            return Some(Seen { attempt, sent, took: sent.elapsed(), answer: None });
        }
        let answer = channel.answer();
        Some(Seen { attempt, sent, took: sent.elapsed(), answer })
    })
}

pub fn play(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let (store, address) = Store::start(record);
    store.put("config", "main", CONFIGURATION);
    let zones = ["lhr-a", "lhr-b", "fsd-a"];
    let targets: Vec<Target> = (0..3)
        .map(|n| {
            let names = (&*format!("i-{n}a91c2"), "diary-llm", zones[n]);
            Target::start(names, 0, (&store, record), reply)
        })
        .collect();
    let mut gateways: Vec<Gateway> = (0..3)
        .map(|n| {
            let name = format!("edge-{}-1", zones[n]);
            Gateway::start((&name, zones[n]), CONTRACTS, address, (&stage.folder, record))
        })
        .collect();
    if !gateways.iter().all(Gateway::await_ready) {
        return Outcome::NotRun;
    }
    thread::sleep(Duration::from_secs(4));

    // The clients' first requests are answered well before.
    let stop_at = Instant::now() + Duration::from_millis(1_500);
    let clients: Vec<_> = SENT_AFTER
        .iter()
        .enumerate()
        .map(|(n, after)| client(gateways[0].clients, n, stop_at + Duration::from_millis(*after)))
        .collect();
    thread::sleep(stop_at.saturating_duration_since(Instant::now()));
    let since = Instant::now();
    if stage.has_trouble {
        gateways[0].terminate();
        gateways[0].finish_stop(since);
    }
    let mut is_broken = false;
    for client in clients {
        let Ok(Some(seen)) = client.join() else { return Outcome::NotRun };
        let run = targets.iter().flat_map(Target::runs).find(|run| run.attempt == seen.attempt);
        let is_complete = seen.answer.as_ref().is_some_and(|answer| answer.is_whole);
        let status = seen.answer.as_ref().map_or(0, Message::status);
        record.note(&format!(
            "client: {} sent {:.2} s after the SIGTERM; status {status}, complete: {is_complete}, \
             after {:.2} s of its {:.0} s; a server ran it: {}",
            seen.attempt,
            seen.sent.saturating_duration_since(since).as_secs_f64(),
            seen.took.as_secs_f64(),
            BUDGET.as_secs_f64(),
            run.is_some(),
        ));
        // It was passed on, the channel ended without a complete answer, and its time wasn't over.
        is_broken |= run.is_some() && !is_complete && seen.took < BUDGET;
    }
    if is_broken { Outcome::Broken } else { Outcome::Held }
}
