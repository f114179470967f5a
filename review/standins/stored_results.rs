//! Results of a job that are kept back while the store is down.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome, Stage,
    gateway::Gateway,
    json,
    store::Store,
    target::{Reply, Target},
    wire,
};

/// Items of the job: the most that PROTOCOL allows.
const ITEMS: usize = 200;
/// Events of an item and their pause. An output has 14 KB, the mean of the sheet's 188 events of 75 bytes.
const EVENTS: u64 = 57;
const GAP: Duration = Duration::from_millis(16);
/// Servers, of which each runs eight items at once.
const SERVERS: usize = 4;
/// Length of the outage: the default of the bench's `platform_down`.
const OUTAGE: Duration = Duration::from_secs(5);
/// `finishByS`.
const FINISH_BY: Duration = Duration::from_secs(18);
/// How long no server may have had an unlisted item before, and how long none may have been finished.
const CALM: Duration = Duration::from_secs(5);
const JOB: &str = "7c41e09b52d6a3f8";
const HOST: &str = "diary.example";
const CONTRACTS: &str = "base,drain,config,cost,recover,batch,stream,engine,platform";
const CONFIGURATION: &str = r#"{"version":7,"routes":[{"name":"week-plan","host":"diary.example","pathPrefix":"/plan/","kind":"batch","timeoutMs":15000,"targetLatencyMs":400,"priority":2,"service":"diary-llm","maxAttempts":3,"sticky":true,"resumable":true,"gapAimMs":250,"completionTargetMs":18000,"itemTtlS":60}],"services":[{"name":"diary-llm","healthPath":"/healthz","maxConns":200}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}"#;

/// The data of an event: lines of a lesson plan, as a model writes it that was asked for JSON.
fn data(item: &str, event: u64) -> String {
    let line = |n: u64| {
        let (hour, minute) = (7 + n / 20, n % 60);
        format!(
            r#"{{"item":"{item}","line":"{n:03}","at":"{hour:02}:{minute:02}","do":"reverse park twice"}}"#
        )
    };
    [line(3 * event), line(3 * event + 1), line(3 * event + 2)].join(",")
}

fn item_id(index: usize) -> String {
    format!("e5b2{index:04}")
}

fn submission() -> Vec<u8> {
    let mut items = String::new();
    for index in 0..ITEMS {
        let comma = if index > 0 { "," } else { "" };
        let id = item_id(index);
        let _ = write!(
            items,
            r#"{comma}{{"id":"{id}","path":"/plan/3/{index}","headers":{{"Model":"m","Token-Count":"350,1700","Prompt-Prefix":"5c1e07a2:100,{index:x}0a:250"}},"body":"q83vEjRWeJA=","tokens":2050}}"#
        );
    }
    let body = format!("{{\"items\":[{items}]}}");
    let headers = format!(
        "Host: {HOST}\r\nAttempt-Id: {JOB}\r\nContent-Type: application/json\r\nDeadline-Ms: 4000\r\n"
    );
    wire::request("POST", "/plan/7c41e0", &headers, body.as_bytes())
}

/// Reads all results from the start at one gateway: states and outputs by item, in order.
fn read_all(stage: &Stage, gateway: &Gateway) -> Vec<(String, String, String)> {
    let mut results: Vec<(String, String, String)> = Vec::new();
    for _ in 0..40 {
        let after = results.len();
        let target = format!("/magnolianotch/lots/{JOB}?after={after}");
        let headers = format!("Host: {HOST}\r\nWait-Ms: 1000\r\nConnection: close\r\n");
        let answer = wire::call(gateway.clients, &wire::request("GET", &target, &headers, b""));
        let Some(answer) = answer else { continue };
        let text = answer.text();
        let page = json::elements(json::member(&text, "results").unwrap_or("[]"));
        let (name, status, count) = (&gateway.name, answer.status(), page.len());
        stage
            .record
            .note(&format!("client: read from {after} at {name}: {status}, {count} results"));
        if answer.status() != 200 {
            thread::sleep(Duration::from_millis(500));
            continue;
        }
        if page.is_empty() {
            break;
        }
        let field = |raw: &str, name| json::unquoted(json::member(raw, name).unwrap_or_default());
        results.extend(
            page.iter().map(|raw| (field(raw, "id"), field(raw, "state"), field(raw, "output"))),
        );
    }
    results
}

/// Whether each item is listed once, completed and with its whole output.
fn is_whole(results: &[(String, String, String)]) -> bool {
    let listed: BTreeMap<&str, &(String, String, String)> =
        results.iter().map(|result| (result.0.as_str(), result)).collect();
    listed.len() == results.len()
        && (0..ITEMS).all(|index| {
            let id = item_id(index);
            let whole: Vec<String> = (1..=EVENTS).map(|event| data(&id, event)).collect();
            listed.get(id.as_str()).is_some_and(|r| r.1 == "completed" && r.2 == whole.join("\n"))
        })
}

pub fn play(stage: &Stage) -> Outcome {
    let record = &stage.record;
    let (store, address) = Store::start(record);
    store.put("config", "main", CONFIGURATION);
    let zones = ["lhr-a", "lhr-b", "fsd-a"];
    let targets: Vec<Target> = (0..SERVERS)
        .map(|n| {
            let reply = |_: &wire::Message| Reply::Stream { events: EVENTS, gap: GAP, data };
            let names = (&*format!("i-{n}a91c2"), "diary-llm", zones[n % zones.len()]);
            Target::start(names, 0, (&store, record), reply)
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

    let answer = wire::call(gateways[0].clients, &submission());
    let status = answer.map_or(0, |answer| answer.status());
    record.note(&format!("client: batch job {JOB} of {ITEMS} items: {status}"));
    if status != 202 {
        return Outcome::NotRun;
    }
    if stage.has_trouble {
        thread::sleep(Duration::from_millis(300));
        store.set_down(true);
        thread::sleep(OUTAGE);
        store.set_down(false);
    }
    let calm_since = Instant::now();
    record.note("traffic has ended; the batch job has finishByS more");
    thread::sleep(FINISH_BY);

    let now = Instant::now();
    let runs: Vec<_> = targets.iter().flat_map(Target::runs).collect();
    let is_recent = |at: Option<Instant>| at.is_none_or(|at| now.duration_since(at) < CALM);
    let busy = runs.iter().filter(|run| is_recent(run.ended)).count();
    record.note(&format!("servers: {} runs, {busy} of them in the last 5 s", runs.len()));
    let mut is_broken = false;
    for gateway in &gateways {
        let results = read_all(stage, gateway);
        let is_listed = is_whole(&results);
        let (count, name) = (results.len(), &gateway.name);
        record.note(&format!(
            "client: {count} of {ITEMS} items listed at {name}; all whole: {is_listed}"
        ));
        is_broken |= !is_listed;
    }
    let waited = calm_since.elapsed().as_secs();
    record.note(&format!("the store has answered every call for {waited} s"));
    match (is_broken, busy) {
        (false, _) => Outcome::Held,
        (true, 0) => Outcome::Broken,
        // The rule excuses a batch job whose items servers still had.
        (true, _) => Outcome::NotRun,
    }
}
