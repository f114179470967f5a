//! One soak, from its start to its verdict.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, task};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::{
    checker::{BrokenPromise, check},
    clients::ClientRun,
    fault::SoakFault,
    observation::Observation,
    settings::SoakSettings,
    world::SoakWorld,
};

/// From the start to the first fault: gateways are ready within a second.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Shortest and longest time between two faults, milliseconds: shorter than most faults last.
const FAULT_GAP_MS: std::ops::Range<u64> = 200..1_500;
/// After the last fault, gateways have this long until they must be ready and know the newest
/// configuration. They need a second or two; a busy machine may make that ten times as long.
const RECOVERY_LONGEST: Duration = Duration::from_secs(30);
/// How long clients wait for the end of their jobs after that: a lost item is tried again after 10 s.
const JOBS_LONGEST: Duration = Duration::from_secs(60);
/// Pause between two looks at gateways that recover.
const RECOVERY_TICK: Duration = Duration::from_millis(250);

/// What a soak came to.
#[derive(Debug)]
pub struct SoakReport {
    /// The faults, with the time since the start at which each began.
    pub faults: Vec<(Duration, SoakFault)>,
    /// Online requests sent.
    pub requests: usize,
    /// Jobs accepted.
    pub jobs: usize,
    /// Promises broken.
    pub broken: Vec<BrokenPromise>,
}

/// Runs a soak.
///
/// # Errors
/// The gateways' program can't be started.
pub async fn run_soak(settings: &SoakSettings) -> io::Result<SoakReport> {
    let world = SoakWorld::start(settings).await?;
    let run = ClientRun {
        world: world.clone(),
        seed: settings.seed,
        is_over: Arc::new(AtomicBool::new(false)),
        requests: Arc::default(),
        jobs: Arc::default(),
    };
    task::sleep(WARM_UP).await;
    let mut clients = Vec::new();
    for number in 0..settings.clients {
        clients.push(task::spawn(run.clone().send_requests(number)));
    }
    for number in 0..settings.clients.div_ceil(3) {
        clients.push(task::spawn(run.clone().send_jobs(1_000 + number)));
    }
    clients.push(task::spawn(run.clone().ask_routes(2_000)));
    let faults = inflict_faults(settings, &world).await;
    world.heal().await;
    note_recovery(&run).await;
    run.is_over.store(true, Ordering::Release);
    let ending = async {
        for client in clients {
            client.await;
        }
    };
    // Jobs without an end show in what was read of them.
    let _ = timeout(JOBS_LONGEST, ending).await;
    world.watch_processes();
    world.note_runs();
    world.end();
    Ok(SoakReport {
        faults,
        requests: run.requests.load(Ordering::Relaxed),
        jobs: run.jobs.load(Ordering::Relaxed),
        broken: check(&world.log.all()),
    })
}

async fn inflict_faults(settings: &SoakSettings, world: &SoakWorld) -> Vec<(Duration, SoakFault)> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let mut faults = Vec::new();
    let began = Instant::now();
    while began.elapsed() < settings.duration {
        let fault = SoakFault::draw(&mut random, settings.gateways, settings.targets);
        world.apply(&fault);
        faults.push((began.elapsed(), fault));
        let gap = random.random_range(FAULT_GAP_MS);
        task::sleep(Duration::from_millis(gap)).await;
        world.watch_processes();
    }
    faults
}

/// Waits until every gateway is ready and knows the newest configuration, or long enough.
async fn note_recovery(run: &ClientRun) {
    let version = run.world.version();
    let gateways = 0..run.world.gateway_count();
    let mut not_ready = Vec::new();
    for gateway in gateways.clone() {
        let recovering = until_recovered(run, gateway, version);
        if timeout(RECOVERY_LONGEST, recovering).await.is_err() {
            not_ready.push(run.world.incarnation(gateway));
        }
    }
    let processes = gateways.map(|gateway| run.world.incarnation(gateway)).collect();
    run.world.log.add(Observation::Recovered { not_ready, processes, version });
}

async fn until_recovered(run: &ClientRun, gateway: usize, version: u64) {
    loop {
        let is_ready = run.world.client(gateway).is_ready().await;
        if is_ready && run.ask_route(gateway, version).await {
            return;
        }
        task::sleep(RECOVERY_TICK).await;
    }
}
