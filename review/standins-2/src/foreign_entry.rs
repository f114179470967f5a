//! An entry of another writer among those of the servers holds bytes that can't be read. Then all gateways are killed at
//! once, and start again.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{batch_route, config, stream_route, until, Lot, Stage, HOST, ZONES},
    gateway::{Gateway, Sheet},
    http, Outcome,
};

/// Contracts of vcs-coreserve.
const CONTRACTS: &str =
    "base,drain,config,cost,recover,health,pool,batch,stream,engine,tenants,quota,pressure,platform";
const KEY: &str = "k-4f19a2c07be3";
/// Stands for the bytes in what is put into the store.
const RAW: &str = "RAW-BYTES";
/// Where the entry should name a service: a number as another program keeps it, not as a text.
const BYTES: [u8; 8] = [0x8f, 0x1b, 0x0a, 0xe3, 0xff, 0x52, 0xc9, 0x0d];
/// Time after which the platform starts the processes again.
const DOWN: Duration = Duration::from_secs(1);
/// `recoveryS`, and how long requests are sent after it. Together they are more than `finishByS`, 18 s.
const RECOVERY: Duration = Duration::from_secs(15);
const WATCHED: Duration = Duration::from_secs(15);
const PAUSE: Duration = Duration::from_millis(250);

fn send(stage: &Stage, to: &Gateway, number: usize) -> bool {
    let (id, bearer) = (format!("9c41d07be2a3{number:04x}"), format!("Bearer {KEY}"));
    let headers = [
        ("Host", HOST),
        ("Attempt-Id", id.as_str()),
        ("Authorization", bearer.as_str()),
        ("Model", "m"),
        ("Token-Count", "450,26"),
        ("Prompt-Prefix", "5c1e07a2:200,91bd3f06:250"),
        ("Deadline-Ms", "5000"),
    ];
    let wait = Duration::from_secs(5);
    let answer = http::call(to.front, "POST", "/lohu930/2f", &headers, b"interval", wait);
    let status = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
    stage.record.line(&format!("client: {id} to {}: {status}", to.name));
    status.contains(" 200 ")
}

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(true);
    let tenants =
        format!(",\"tenants\":[{{\"name\":\"t-hawk\",\"apiKeys\":[\"{KEY}\"],\"priority\":0}}]");
    stage.configure(&config(7, &[stream_route(), batch_route(0)], &tenants));
    for zone in ZONES.iter().cycle().take(9) {
        fleet.start(zone);
    }
    let mut sheet = Sheet::new(CONTRACTS);
    sheet.set("bounds.strictRevoke", "true");
    sheet.set("bounds.revokeMs", "5000");
    sheet.set("bounds.quotaWindowS", "5");
    sheet.set("bounds.quotaSlack", "20");
    let Some(gateways) = stage.start_gateways(6, &sheet) else { return Outcome::CouldNotRun };
    let client = stage.client();
    if !gateways.iter().enumerate().all(|(number, to)| send(stage, to, number)) {
        return Outcome::CouldNotRun;
    }

    // Ten items of some seconds each.
    {
        let mut terms = fleet.terms.lock().unwrap();
        terms.events = 24;
        terms.pause = Duration::from_millis(200);
    }
    let lot = Lot::new("7c41e09b52d6a3f8", 10, 1_500, 600);
    if client.submit(&gateways[1], &lot, Some(KEY), Duration::from_secs(5)) != Some(202) {
        return Outcome::CouldNotRun;
    }
    if stage.trouble {
        stage.store.set_raw(RAW, &BYTES);
        let entry = format!("{{\"service\":\"{RAW}\",\"state\":\"ready\",\"seq\":1}}");
        stage.store.put("servers", "x-billing-7", &entry);
        stage.record.line(&format!(
            "another writer: entry servers/x-billing-7, its service is the bytes {BYTES:02x?}"
        ));
        thread::sleep(Duration::from_secs(1));
        stage.record.line("all processes are killed");
        gateways.iter().for_each(|gateway| gateway.kill());
        thread::sleep(DOWN);
        gateways.iter().for_each(|gateway| gateway.start());
    }
    let back = Instant::now();
    {
        let mut terms = fleet.terms.lock().unwrap();
        terms.events = 26;
        terms.pause = Duration::from_millis(20);
    }
    thread::sleep(RECOVERY);
    let (mut sent, mut served) = (0, 0);
    while back.elapsed() < RECOVERY + WATCHED {
        served += usize::from(send(stage, &gateways[sent % gateways.len()], 256 + sent));
        sent += 1;
        thread::sleep(PAUSE);
    }

    let bearer = format!("Bearer {KEY}");
    let read =
        |gateway: &Gateway| client.read_with(gateway.front, &lot.id, &[("Authorization", &bearer)]);
    let is_listed = until(Duration::from_secs(5), || {
        let read = read(&gateways[2]);
        read.is_ok_and(|(total, results)| results.len() as u64 == total)
    });
    for gateway in &gateways {
        let (is_ready, read) = (gateway.is_ready(), read(gateway));
        let line = format!("{}: ready {is_ready}, results of {}: {read:?}", gateway.name, lot.id);
        stage.record.line(&line);
    }
    let finished = fleet.finished.lock().unwrap();
    let finished = lot.items.iter().filter(|item| finished.contains(*item)).count();
    stage.record.line(&format!(
        "{} s after the start: all items listed: {is_listed}, finished by a server: {finished} of {}, requests served: {served} of {sent}",
        back.elapsed().as_secs(),
        lot.items.len()
    ));
    if is_listed && served * 4 >= sent {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}
