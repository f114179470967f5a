//! A key is taken away while a gateway is cut off. A request with that key is on its way in when the cut ends.

use std::{
    io::Write,
    net::TcpStream,
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{config, stream_route, Stage, HOST, ZONES},
    gateway::{Gateway, Sheet},
    http::{request, Reader},
    Outcome,
};

const CONTRACTS: &str =
    "base,drain,config,cost,recover,health,pool,batch,stream,engine,tenants,quota,platform";
/// `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
const KEPT: &str = "k-4f19a2c07be3";
const TAKEN: &str = "k-91d5037ee8b4";

fn tenants(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        ",\"tenants\":[{{\"name\":\"t-hawk\",\"apiKeys\":[{}],\"priority\":0}}]",
        keys.join(",")
    )
}

/// Sends a request, the last part of its body after `pause`. Returns the status.
fn send(stage: &Stage, to: &Gateway, id: &str, key: &str, pause: Duration) -> Option<u16> {
    let bearer = format!("Bearer {key}");
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id),
        ("Authorization", bearer.as_str()),
        ("Model", "m"),
        ("Token-Count", "350,27"),
        ("Prompt-Prefix", "5c1e07a2:200,91bd3f06:150"),
        ("Deadline-Ms", "5000"),
    ];
    let body = vec![b'x'; 100_000];
    let bytes = request("POST", "/lohu930/2f", &headers, &body);
    let at = if pause.is_zero() { bytes.len() } else { bytes.len() / 2 };
    let mut stream = TcpStream::connect_timeout(&to.front, Duration::from_secs(1)).ok()?;
    stage.record.line(&format!("client: begins to send {id} with key {key} to {}", to.name));
    stream.write_all(&bytes[..at]).ok()?;
    thread::sleep(pause);
    stream.write_all(&bytes[at..]).ok()?;
    stage.record.line(&format!("client: {id} is sent whole"));
    stream.set_read_timeout(Some(Duration::from_secs(6))).ok()?;
    let answer = Reader::new(stream).message().ok().flatten();
    let status = answer.map(|answer| answer.status());
    stage.record.line(&format!("client: answer to {id}: {status:?}"));
    status
}

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(false);
    stage.configure(&config(7, &[stream_route()], &tenants(&[KEPT, TAKEN])));
    for zone in ZONES.iter().cycle().take(6) {
        fleet.start(zone);
    }
    let mut sheet = Sheet::new(CONTRACTS);
    sheet.set("bounds.strictRevoke", "true");
    sheet.set("bounds.revokeMs", "5000");
    sheet.set("bounds.quotaWindowS", "5");
    sheet.set("bounds.quotaSlack", "20");
    let Some(gateways) = stage.start_severable(3, &sheet) else { return Outcome::CouldNotRun };
    let [other, _, cut] = gateways.as_slice() else { return Outcome::CouldNotRun };
    let whole = Duration::ZERO;
    for (id, key) in [("9c41d07be2a35f01", KEPT), ("9c41d07be2a35f02", TAKEN)] {
        if send(stage, cut, id, key, whole) != Some(200) {
            return Outcome::CouldNotRun;
        }
    }

    let began = Instant::now();
    if stage.trouble {
        cut.set_cut(true);
        thread::sleep(Duration::from_millis(300));
    }
    stage.configure(&config(9, &[stream_route()], &tenants(&[KEPT])));
    let acknowledged = Instant::now();
    stage.record.line(&format!("store: acknowledges version 9, without the key {TAKEN}"));
    thread::sleep(REVOKE + Duration::from_millis(300));

    // Whole requests are turned away at every gateway.
    send(stage, other, "9c41d07be2a35f03", TAKEN, whole);
    send(stage, cut, "9c41d07be2a35f04", TAKEN, whole);
    let late = "9c41d07be2a35f05";
    let after = acknowledged.elapsed();
    thread::scope(|scope| {
        let sending = scope.spawn(|| send(stage, cut, late, TAKEN, Duration::from_millis(2_500)));
        if stage.trouble {
            thread::sleep(Duration::from_millis(500));
            cut.set_cut(false);
            let line = format!("the cut lasted {:.1} s", began.elapsed().as_secs_f64());
            stage.record.line(&line);
        }
        let _ = sending.join();
    });
    stage.record.line(&format!(
        "{late}: the client began to send it {} ms after the acknowledgement, {} ms are allowed",
        after.as_millis(),
        REVOKE.as_millis()
    ));
    let runs = fleet.runs_of(late);
    for run in &runs {
        stage.record.line(&format!("{late} ran at {} for tenant {:?}", run.server, run.tenant));
    }
    if runs.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
