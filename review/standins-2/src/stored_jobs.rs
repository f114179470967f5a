//! Batch jobs stay in the store for an hour. A gateway that looks for jobs without an owner reads them all at once. The
//! platform kills a process that uses more memory than its machine has, and starts it again.

use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    common::{batch_route, config, stream_route, until, Lot, Stage, CONTRACTS, ZONES},
    gateway::{Gateway, Sheet},
    Outcome,
};

/// Memory of an edge machine in the sheet of raiffalm.
const MEMORY_MB: u64 = 110;
/// Jobs, the time from one to the next, their items and the bytes of an item's body.
const JOBS: usize = 72;
const EVERY: Duration = Duration::from_millis(220);
const ITEMS: usize = 200;
const ITEM_BYTES: usize = 3_000;
/// Time after which the platform starts a process again.
const RESTART: Duration = Duration::from_secs(1);
/// How long the gateways are watched after the kill.
const WATCHED: Duration = Duration::from_secs(60);

struct Watched {
    ends: usize,
    highest: u64,
}

/// Kills the gateway whenever it uses more than its memory, and starts it again.
fn platform(stage: &Stage, gateway: &Gateway, is_over: &AtomicBool) -> Watched {
    let mut watched = Watched { ends: 0, highest: 0 };
    while !is_over.load(Ordering::SeqCst) {
        let (used, highest) = gateway.memory();
        watched.highest = watched.highest.max(highest);
        if used > MEMORY_MB << 20 || gateway.has_ended() {
            watched.ends += 1;
            let line = format!("{} uses {} MB of {MEMORY_MB}: killed", gateway.name, used >> 20);
            stage.record.line(&line);
            gateway.kill();
            thread::sleep(RESTART);
            if !is_over.load(Ordering::SeqCst) {
                gateway.start();
            }
        }
        thread::sleep(Duration::from_millis(2));
    }
    watched
}

pub fn run(stage: &Stage) -> Outcome {
    let fleet = stage.fleet(true);
    stage.configure(&config(7, &[stream_route(), batch_route(0)], ""));
    for zone in ZONES.iter().cycle().take(18) {
        fleet.start(zone);
    }
    let mut sheet = Sheet::new(CONTRACTS);
    sheet.set("limits.memoryMb", &MEMORY_MB.to_string());
    let Some(gateways) = stage.start_gateways(4, &sheet) else { return Outcome::CouldNotRun };
    let client = stage.client();
    let is_over = Arc::new(AtomicBool::new(false));

    thread::scope(|scope| {
        let platforms: Vec<_> = gateways
            .iter()
            .map(|gateway| {
                let is_over = Arc::clone(&is_over);
                scope.spawn(move || platform(stage, gateway, &is_over))
            })
            .collect();

        let mut accepted = Vec::new();
        let began = Instant::now();
        for number in 0..JOBS {
            let due = EVERY * number as u32;
            thread::sleep(due.saturating_sub(began.elapsed()));
            let lot = Lot::new(&format!("7c41e09b52d6{number:04x}"), ITEMS, ITEM_BYTES, 350);
            let to = &gateways[number % gateways.len()];
            if client.submit(to, &lot, None, Duration::from_secs(4)) == Some(202) {
                accepted.push(lot);
            }
        }
        let (count, bytes) = stage.store.size("notch-jobs");
        stage.record.line(&format!("the store holds {count} batch jobs, {} MB", bytes >> 20));
        for gateway in &gateways {
            let (used, highest) = gateway.memory();
            stage.record.line(&format!(
                "{} uses {} MB, at most {} MB so far",
                gateway.name,
                used >> 20,
                highest >> 20
            ));
        }
        if accepted.len() < JOBS {
            stage.record.line("not all batch jobs were accepted");
            is_over.store(true, Ordering::SeqCst);
            return Outcome::CouldNotRun;
        }
        if stage.trouble {
            stage.record.line("one machine's process is killed, and starts again");
            gateways[0].kill();
            thread::sleep(RESTART);
            gateways[0].start();
            thread::sleep(WATCHED);
        } else {
            thread::sleep(Duration::from_secs(4));
        }
        for lot in [&accepted[0], &accepted[JOBS / 2], &accepted[JOBS - 1]] {
            let read = || {
                let from = gateways.iter().find_map(|g| client.read(g.front, &lot.id).ok());
                from.is_some_and(|(total, results)| results.len() as u64 == total)
            };
            let is_read = until(Duration::from_secs(5), read);
            stage.record.line(&format!("client: all results of {} are read: {is_read}", lot.id));
        }
        is_over.store(true, Ordering::SeqCst);
        let mut often = 0;
        for (gateway, platform) in gateways.iter().zip(platforms) {
            let Watched { ends, highest } = platform.join().expect("the platform ends");
            // Where the process was killed, one end more is owed to the disruption.
            often += usize::from(ends >= 3 && gateway.name != gateways[0].name);
            stage.record.line(&format!(
                "{}: ended {ends} times by its memory, used at most {} MB of {MEMORY_MB}",
                gateway.name,
                highest >> 20
            ));
        }
        if often >= 2 {
            Outcome::Broken
        } else {
            Outcome::Held
        }
    })
}
