//! A request that crashes each server that runs it comes again and again. All gateways are killed at the same moment.

use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{config, stream_route, Stage, CONTRACTS, HOST, ZONES},
    gateway::Sheet,
    http,
    server::Terms,
    Outcome,
};

/// `stableWindowMs`.
const STABLE: Duration = Duration::from_millis(3_000);
/// Retries that may reach servers after it has crashed the third.
const ALLOWED: usize = 3;
/// The request comes again this often.
const EVERY: Duration = Duration::from_secs(3);
const TIMES: u32 = 13;
/// When the gateways are killed, and for how long they are down.
const KILLED_AT: Duration = Duration::from_millis(9_500);
const DOWN: Duration = Duration::from_secs(1);

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(false);
    let deadly = Some("/deadly".to_owned());
    *fleet.terms.lock().unwrap() =
        Terms { deadly, down: Duration::from_secs(2), ..Terms::default() };
    let single = stream_route()
        .replace("r-a3hwrr6", "r-x73d3zj")
        .replace("/lohu930/", "/pufi791/")
        .replace("\"maxAttempts\":2", "\"maxAttempts\":1")
        .replace("\"resumable\":true", "\"resumable\":false");
    stage.configure(&config(7, &[stream_route(), single], ""));
    for zone in ZONES.iter().cycle().take(12) {
        fleet.start(zone);
    }
    let Some(gateways) = stage.start_gateways(4, &Sheet::new(CONTRACTS)) else {
        return Outcome::CouldNotRun;
    };
    let began = Instant::now();
    let started = thread::scope(|scope| {
        let killing = scope.spawn(|| {
            if !stage.trouble {
                return began;
            }
            thread::sleep(KILLED_AT.saturating_sub(began.elapsed()));
            stage.record.line("all gateways are killed");
            gateways.iter().for_each(|gateway| gateway.kill());
            thread::sleep(DOWN);
            gateways.iter().for_each(|gateway| gateway.start());
            Instant::now()
        });
        for number in 0..TIMES {
            thread::sleep((EVERY * number).saturating_sub(began.elapsed()));
            let gateway = &gateways[number as usize % gateways.len()];
            let id = format!("9c41d07be2a36{number:03x}");
            let headers = [
                ("Host", HOST),
                ("Attempt-Id", id.as_str()),
                ("Model", "m"),
                ("Token-Count", "350,27"),
                ("Prompt-Prefix", "77aa01:350"),
                ("Deadline-Ms", "5000"),
            ];
            let wait = Duration::from_millis(2_500);
            let answer =
                http::call(gateway.front, "POST", "/pufi791/deadly", &headers, b"deadly", wait);
            let shown = answer.map_or_else(|error| error.to_string(), |a| a.status().to_string());
            stage.record.line(&format!("client: deadly request {id} to {}: {shown}", gateway.name));
        }
        killing.join().expect("the kill ends")
    });
    let runs = fleet.runs.lock().unwrap().clone();
    let Some(third) = runs.get(2).map(|run| run.at) else { return Outcome::CouldNotRun };
    let is_in_touch = |at: Instant| {
        let is_before = !stage.trouble || at < began + KILLED_AT;
        is_before || at > started + STABLE
    };
    let late = runs.iter().filter(|run| run.at > third + STABLE && is_in_touch(run.at)).count();
    stage.record.line(&format!(
        "{} runs in all; by gateways in touch, later than {} ms after the third crash: {late}, allowed {ALLOWED}",
        runs.len(),
        STABLE.as_millis()
    ));
    if late > ALLOWED {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
