//! Runs one soak test and checks its observations.

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
    checker::{BrokenPromise, check, count_crashes},
    clients::ClientContext,
    cluster::SoakCluster,
    crash_check::CrashCount,
    culprit::{CrashCulprit, ResendInterval},
    failing_items::FailingItems,
    fault::SoakFault,
    observation::Observation,
    settings::SoakSettings,
};

/// From the start to the first fault. Gateways are ready within a second.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Range of the time between two faults. It is shorter than most faults last, so that faults overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 200..1_500;
/// Time after the last fault within which gateways must be ready and know the newest configuration. They
/// need a second or two, and up to ten times as long on a busy machine.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a gateway is frozen to be evicted: links are lost after a second, and the eviction begins 8 s later.
const EVICTION_FREEZE: Duration = Duration::from_secs(13);
/// Time before its end at which other faults begin.
const FREEZE_OVERLAP: Duration = Duration::from_secs(1);
/// How long clients then wait for their jobs to end. A lost item is retried after 10 s.
const JOB_END_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of sound requests sent after the faults while others crash targets.
const SOUND_REQUESTS: usize = 60;
/// Interval between two checks of a gateway that recovers.
const RECOVERY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Result of a soak test.
#[derive(Debug)]
pub struct SoakReport {
    /// The injected faults, each with the time since injection began.
    pub faults: Vec<(Duration, SoakFault)>,
    /// Number of online requests sent.
    pub requests: usize,
    /// Number of jobs accepted.
    pub jobs: usize,
    /// How often targets crashed under each culprit.
    pub crashes: Vec<CrashCount>,
    /// Broken promises.
    pub broken: Vec<BrokenPromise>,
}

/// Runs a soak test.
///
/// # Errors
/// The settings can't be written or the gateway program can't be started.
pub async fn run_soak(settings: &SoakSettings) -> io::Result<SoakReport> {
    let cluster = SoakCluster::start(settings).await?;
    let context = ClientContext {
        cluster: cluster.clone(),
        seed: settings.seed,
        offers_items: settings.offers_items,
        takes_up: settings.has_versions(),
        names_parts: settings.crashes_parts
            || settings.crashes_requests
            || settings.resends_crashing,
        names_deadlines: settings.names_deadlines,
        is_slow: settings.fault_gap.is_some(),
        is_over: Arc::new(AtomicBool::new(false)),
        requests: Arc::default(),
        jobs: Arc::default(),
    };
    task::sleep(WARM_UP).await;
    let mut clients = Vec::new();
    for number in 0..settings.clients {
        clients.push(task::spawn(context.clone().send_requests(number)));
    }
    for number in 0..settings.clients.div_ceil(3) {
        clients.push(task::spawn(context.clone().send_jobs(1_000 + number)));
    }
    clients.push(task::spawn(context.clone().ask_routes(2_000)));
    if settings.fails_items {
        for (items, number) in FailingItems::ALL.into_iter().zip(7_000..) {
            clients.push(task::spawn(context.clone().send_failing(number, items)));
        }
    }
    for account in 0..cluster.limited_accounts().len() {
        let number = 3_000 + account as u64;
        clients.push(task::spawn(context.clone().send_limited(number, account)));
    }
    if settings.crashes_parts {
        clients.push(task::spawn(context.clone().send_poison(4_000)));
    }
    if settings.crashes_requests {
        for index in 0..CrashCulprit::REQUESTS {
            let number = 5_000 + index as u64;
            clients.push(task::spawn(context.clone().resend_poison(number, index)));
            let part = CrashCulprit::Request(index).shared_part();
            clients.push(task::spawn(context.clone().send_neighbours(number + 1_000, part)));
        }
    }
    if settings.resends_crashing {
        for (interval, number) in ResendInterval::ALL.into_iter().zip(8_000..) {
            clients.push(task::spawn(context.clone().resend_at(number, interval)));
            let part = CrashCulprit::Resent(interval).shared_part();
            clients.push(task::spawn(context.clone().send_neighbours(number + 100, part)));
        }
        clients.push(task::spawn(context.clone().send_crashing_items(8_200)));
    }
    let faults = inject_faults(settings, &cluster).await;
    cluster.heal().await;
    record_recovery(&context).await;
    if settings.crashes_parts {
        context.send_sound(SOUND_REQUESTS, None).await;
    }
    if settings.crashes_requests {
        for index in 0..CrashCulprit::REQUESTS {
            let part = CrashCulprit::Request(index).shared_part();
            context.send_sound(SOUND_REQUESTS, Some(&part)).await;
        }
    }
    if settings.resends_crashing {
        for interval in ResendInterval::ALL {
            let part = CrashCulprit::Resent(interval).shared_part();
            context.send_sound(SOUND_REQUESTS, Some(&part)).await;
        }
    }
    context.is_over.store(true, Ordering::Release);
    let ending = async {
        for client in clients {
            client.await;
        }
    };
    // Jobs that haven't ended by then show up in the check as items without a result.
    let _ = timeout(JOB_END_TIMEOUT, ending).await;
    cluster.restart_crashed();
    cluster.record_runs();
    cluster.kill_gateways();
    let observations = cluster.log.all();
    Ok(SoakReport {
        faults,
        requests: context.requests.load(Ordering::Relaxed),
        jobs: context.jobs.load(Ordering::Relaxed),
        crashes: count_crashes(&observations),
        broken: check(&observations),
    })
}

async fn inject_faults(
    settings: &SoakSettings,
    cluster: &SoakCluster,
) -> Vec<(Duration, SoakFault)> {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    // Separate, so that an option adds faults to those of a seed and changes none.
    let mut added_random = SmallRng::seed_from_u64(!settings.seed);
    let mut herd_random = SmallRng::seed_from_u64(settings.seed.rotate_left(32));
    let mut faults = Vec::new();
    let began = Instant::now();
    if settings.evicts_gateways {
        let freeze = SoakFault::Pause { gateway: 0, duration: EVICTION_FREEZE };
        cluster.apply(&freeze);
        faults.push((began.elapsed(), freeze));
        // Other faults begin after the eviction, which needs the answers of all other gateways.
        task::sleep(EVICTION_FREEZE - FREEZE_OVERLAP).await;
    }
    while began.elapsed() < settings.duration {
        let fault = SoakFault::draw(&mut random, settings.gateways, settings.targets);
        let separation = settings
            .limits_accounts
            .then(|| SoakFault::draw_separation(&mut added_random, settings.gateways));
        let freeze = settings
            .offers_items
            .then(|| SoakFault::draw_freeze(&mut added_random, settings.gateways));
        let flood = (settings.floods_gateways && cluster.crowded().is_none())
            .then(|| SoakFault::draw_flood(&mut added_random, settings.gateways));
        let kill = settings
            .fails_items
            .then(|| SoakFault::draw_kill(&mut added_random, settings.gateways));
        let release = (settings.releases_versions && cluster.is_released())
            .then(|| SoakFault::draw_release(&mut added_random, settings.gateways));
        let herd_kill =
            settings.kills_all.then(|| SoakFault::draw_herd_kill(&mut herd_random)).flatten();
        let added = [separation, freeze, flood, kill, release, herd_kill];
        for fault in [Some(fault)].into_iter().chain(added).flatten() {
            cluster.apply(&fault);
            faults.push((began.elapsed(), fault));
        }
        let gap_ms = random.random_range(FAULT_GAP_MS);
        let gap = Duration::from_millis(gap_ms);
        let gap =
            settings.fault_gap.map_or(gap, |most| most * gap_ms as u32 / FAULT_GAP_MS.end as u32);
        task::sleep(gap.min(settings.duration.saturating_sub(began.elapsed()))).await;
        cluster.restart_crashed();
    }
    faults
}

/// Waits until every gateway is ready and knows the newest configuration, or until the time-out, and records
/// the outcome.
async fn record_recovery(context: &ClientContext) {
    let version = context.cluster.version();
    let gateways = 0..context.cluster.gateway_count();
    let mut not_ready = Vec::new();
    for gateway in gateways.clone() {
        let recovering = until_recovered(context, gateway, version);
        if timeout(RECOVERY_TIMEOUT, recovering).await.is_err() {
            not_ready.push(context.cluster.incarnation(gateway));
        }
    }
    let processes = gateways.map(|gateway| context.cluster.incarnation(gateway)).collect();
    context.cluster.log.add(Observation::Recovered { not_ready, processes, version });
}

async fn until_recovered(context: &ClientContext, gateway: usize, version: u64) {
    loop {
        let is_ready = context.cluster.client(gateway).is_ready().await;
        if is_ready && context.ask_route(gateway, version).await {
            return;
        }
        task::sleep(RECOVERY_POLL_INTERVAL).await;
    }
}
