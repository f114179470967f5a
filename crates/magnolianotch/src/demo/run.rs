//! The demo's course.

use std::{
    fmt,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use async_std::task;
use notch_http::prelude::HttpClient;

use crate::{
    demo::{
        batch::KnownJob,
        online::{ArrivalPlan, run_callers},
        summary::DemoSummary,
    },
    fleet::{FleetError, FleetProfile, FleetSettings, LocalFleet, local_fleet::ACCOUNT_KEY},
};

/// When, from the start of the load, a gateway is lost.
const GATEWAY_LOST_AT: Duration = Duration::from_secs(6);
/// How long after it a target is lost.
const TARGET_LOST_AFTER: Duration = Duration::from_secs(4);
/// How long after that the gateway comes back.
const GATEWAY_BACK_AFTER: Duration = Duration::from_secs(4);
/// Longest wait for the job's end, from the start of the load.
const LONGEST: Duration = Duration::from_secs(45);

/// What the demo runs.
#[derive(Debug, Clone)]
pub struct DemoSettings {
    /// Items of the job.
    pub items: u32,
    /// How long online requests arrive.
    pub online_for: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

impl Default for DemoSettings {
    fn default() -> Self {
        Self { items: 1_500, online_for: Duration::from_secs(20), seed: 7 }
    }
}

/// Why the demo has no result.
#[derive(Debug)]
pub enum DemoError {
    /// The fleet does not stand.
    Fleet(FleetError),
    /// No gateway accepted the job.
    NotAccepted,
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet(error) => error.fmt(f),
            Self::NotAccepted => f.write_str("no gateway accepted the job"),
        }
    }
}

impl std::error::Error for DemoError {}

impl From<FleetError> for DemoError {
    fn from(error: FleetError) -> Self {
        Self::Fleet(error)
    }
}

/// Runs the demo.
///
/// # Errors
/// When the fleet can't be started or the job isn't accepted.
pub async fn run_demo(settings: &DemoSettings) -> Result<DemoSummary, DemoError> {
    let started = Instant::now();
    let profile = FleetProfile { domains: vec!["domain-a", "domain-b"], ..FleetProfile::rahbar() };
    let fleet_settings = FleetSettings { profile: profile.clone(), ..FleetSettings::default() };
    let mut fleet = LocalFleet::start(fleet_settings).await?;
    let http = HttpClient::default();
    let job = KnownJob {
        model: profile.model.to_owned(),
        items: settings.items,
        answer_tokens: profile.batch_answer,
        key: format!("demo-{}", settings.seed),
        due_in: Duration::from_secs(600),
    };
    let addresses = Arc::new(RwLock::new(fleet.callers()));
    let first = current(&addresses);
    let id = job.submit(&http, &first, ACCOUNT_KEY).await.ok_or(DemoError::NotAccepted)?;
    let load_started = Instant::now();
    let online = task::spawn({
        let (http, profile) = (http.clone(), profile.clone());
        let addresses = Arc::clone(&addresses);
        let plan = ArrivalPlan {
            rate: 8.0,
            burst_rate: 60.0,
            burst_every: Duration::from_secs(4),
            burst_for: Duration::from_secs(1),
            duration: settings.online_for,
            seed: settings.seed,
            label: settings.seed,
        };
        async move { run_callers(&plan, &profile, &http, || current(&addresses), ACCOUNT_KEY).await }
    });
    lose_parts(&mut fleet, &addresses).await?;
    let until = load_started + LONGEST;
    let mut outcome = job.watch(&id, &http, || current(&addresses), ACCOUNT_KEY, until).await;
    outcome.took_ms = outcome.took_ms.max(load_started.elapsed().as_millis() as u64);
    let online = online.await;
    let graceful = fleet.stop().await;
    let seconds = started.elapsed().as_secs_f64();
    Ok(DemoSummary { job: outcome, online, graceful, seconds })
}

/// Loses a gateway and a target in the middle; the gateway comes back.
async fn lose_parts(
    fleet: &mut LocalFleet,
    addresses: &RwLock<Vec<SocketAddr>>,
) -> Result<(), FleetError> {
    task::sleep(GATEWAY_LOST_AT).await;
    fleet.kill_gateway(1).await;
    // Callers go on knowing both addresses, as with a balancer that lags.
    task::sleep(TARGET_LOST_AFTER).await;
    fleet.kill_target(3).await;
    task::sleep(GATEWAY_BACK_AFTER).await;
    fleet.restart_gateway(1).await?;
    *addresses.write().unwrap_or_else(PoisonError::into_inner) = fleet.callers();
    Ok(())
}

fn current(addresses: &RwLock<Vec<SocketAddr>>) -> Vec<SocketAddr> {
    addresses.read().unwrap_or_else(PoisonError::into_inner).clone()
}
