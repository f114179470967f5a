//! What the fleet's failure tests share: one fleet at a time, callers that resend, and waits for
//! events with a generous bound.
#![allow(dead_code, unreachable_pub)]

pub mod caller;
pub mod jobs;
pub mod proxy;
pub mod services;

use std::{
    future::Future,
    io::Write,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use magnolianotch::fleet::{FleetSettings, LocalFleet};
use notch_standins::EngineSettings;
use notch_telemetry::prelude::{LogLine, LogStyle};

/// Longest wait for any event; no test asserts a time.
pub const PATIENCE: Duration = Duration::from_secs(45);
/// Between two looks at something that has no event of its own.
pub const LOOK_PAUSE: Duration = Duration::from_millis(20);

static ONE_FLEET: Mutex<()> = Mutex::new(());

/// Holds other fleets of this test program back: two at once would starve each other.
pub fn one_fleet() -> MutexGuard<'static, ()> {
    ONE_FLEET.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs `course` with a fleet, alone.
pub fn with_fleet<F, Fut>(settings: FleetSettings, course: F)
where
    F: FnOnce(LocalFleet) -> Fut,
    Fut: Future<Output = LocalFleet>,
{
    let _alone = one_fleet();
    start_log();
    task::block_on(async {
        let fleet = LocalFleet::start(settings).await.expect("the fleet starts");
        course(fleet).await.stop().await;
    });
}

/// Lines as the daemons write them, at the level that `RUST_LOG` asks for.
fn start_log() {
    let mut builder = env_logger::builder();
    builder.is_test(true).format(|out, record| {
        let time = out.timestamp_millis().to_string();
        writeln!(out, "{}", LogLine::new(&time, record, "-", "-").render(LogStyle::Text))
    });
    // Another test of this program may have started it.
    let _ = builder.try_init();
}

/// Two gateways and three sidecars; engines quick enough for short tests.
pub fn small_fleet() -> FleetSettings {
    let engine =
        EngineSettings { base_step: Duration::from_millis(4), ..EngineSettings::default() };
    FleetSettings { sidecars: 3, shards: 2, engine, ..FleetSettings::default() }
}

/// Waits until `look` finds something.
///
/// # Panics
/// When it doesn't within [`PATIENCE`].
pub async fn find<T, Fut>(what: &str, mut look: impl FnMut() -> Fut) -> T
where
    Fut: Future<Output = Option<T>>,
{
    let started = Instant::now();
    loop {
        if let Some(found) = look().await {
            return found;
        }
        assert!(started.elapsed() < PATIENCE, "still not: {what}");
        task::sleep(LOOK_PAUSE).await;
    }
}

/// Waits until `holds` does.
///
/// # Panics
/// When it doesn't within [`PATIENCE`].
pub async fn until(what: &str, mut holds: impl FnMut() -> bool) {
    find(what, || std::future::ready(holds().then_some(()))).await;
}
