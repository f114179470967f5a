//! One measured part: load on a fleet for a while, after a warm-up.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, PoisonError, RwLock},
    time::{Duration, Instant},
};

use async_std::task::{self, JoinHandle};
use notch_http::prelude::HttpClient;

use crate::{
    demo::online::{ArrivalPlan, OnlineOutcome, run_callers},
    fleet::{FleetProfile, LocalFleet, local_fleet::ACCOUNT_KEY},
    measure::{
        batch_load::BatchLoad, inside::InsideFigures, process_time::process_time,
        settings::arrival_plan,
    },
};

/// Gateways that callers know.
type AddressBook = Arc<RwLock<Vec<SocketAddr>>>;

/// What runs in a part.
#[derive(Debug, Clone)]
pub struct SegmentPlan {
    /// Whether online requests arrive.
    pub online: bool,
    /// Seed of the arrivals; the same for variants that are compared.
    pub seed: u64,
    /// Tells this part's requests from those of other parts.
    pub label: u64,
    /// Rate of arrivals in a burst over the rate between bursts.
    pub burst: f64,
    /// Time not counted.
    pub warm_up: Duration,
    /// Time counted.
    pub measured: Duration,
}

/// What was measured, summed over the parts of one variant.
#[derive(Debug, Clone, Default)]
pub struct SegmentFigures {
    /// Online requests.
    pub online: OnlineOutcome,
    /// Batch items answered.
    pub items: u64,
    /// Batch items failed.
    pub failed: u64,
    /// Tokens that the engines made, for whomever.
    pub tokens: u64,
    /// Prompt tokens that the engines read.
    pub prefilled: u64,
    /// Streams that were cancelled at the engines.
    pub cancelled: u64,
    /// Processor time of the whole process.
    pub processor: Duration,
    /// What went on inside.
    pub inside: InsideFigures,
    /// Time over which this was counted.
    pub seconds: f64,
}

impl SegmentFigures {
    /// Takes in another part of the same variant.
    pub fn merge(&mut self, other: &Self) {
        self.online.merge(&other.online);
        self.items += other.items;
        self.failed += other.failed;
        self.tokens += other.tokens;
        self.prefilled += other.prefilled;
        self.cancelled += other.cancelled;
        self.processor += other.processor;
        self.inside.merge(&other.inside);
        self.seconds += other.seconds;
    }

    /// Batch items answered a second.
    pub fn items_per_s(&self) -> f64 {
        self.items as f64 / self.seconds.max(f64::EPSILON)
    }

    /// Tokens made a second.
    pub fn tokens_per_s(&self) -> f64 {
        self.tokens as f64 / self.seconds.max(f64::EPSILON)
    }
}

/// What the engines have done so far.
#[derive(Debug, Clone, Copy, Default)]
struct EngineCounts {
    tokens: u64,
    prefilled: u64,
    cancelled: u64,
}

fn engine_counts(fleet: &LocalFleet) -> EngineCounts {
    let mut counts = EngineCounts::default();
    for engine in &fleet.engines {
        let state = engine.state();
        counts.tokens += state.tokens;
        counts.prefilled += state.prefilled;
        counts.cancelled += state.cancelled;
    }
    counts
}

/// Counting that has begun: between [`SegmentRun::begin`] and [`SegmentRun::end`] the caller may
/// do what it wants with the fleet.
pub struct SegmentRun {
    callers: Option<JoinHandle<OnlineOutcome>>,
    warming: Option<JoinHandle<OnlineOutcome>>,
    batch: Option<BatchLoad>,
    before: (u32, u32),
    counts: EngineCounts,
    processor: Duration,
    counters: BTreeMap<&'static str, u64>,
    addresses: AddressBook,
    started: Instant,
    measured: Duration,
}

impl SegmentRun {
    /// Warms up, then begins to count.
    pub async fn begin(
        plan: &SegmentPlan,
        fleet: &LocalFleet,
        http: &HttpClient,
        batch: Option<&BatchLoad>,
    ) -> Self {
        let profile = &fleet.settings().profile;
        let addresses: AddressBook = Arc::new(RwLock::new(fleet.callers()));
        let callers = |label, duration| {
            let arrivals = arrival_plan(profile, plan.seed, duration, plan.burst);
            let arrivals = ArrivalPlan { label, ..arrivals };
            spawn_callers(arrivals, profile.clone(), addresses.clone(), http.clone())
        };
        let warming = plan.online.then(|| callers(2 * plan.label, plan.warm_up));
        task::sleep(plan.warm_up).await;
        let before = counted(batch).await;
        let counts = engine_counts(fleet);
        let processor = process_time();
        let counters = InsideFigures::begin(fleet);
        let started = Instant::now();
        let callers = plan.online.then(|| callers(2 * plan.label + 1, plan.measured));
        let measured = plan.measured;
        let batch = batch.cloned();
        Self {
            callers,
            warming,
            batch,
            before,
            counts,
            processor,
            counters,
            addresses,
            started,
            measured,
        }
    }

    /// From now on callers know the gateways that run, as their balancer noticed.
    pub fn balance(&self, fleet: &LocalFleet) {
        *self.addresses.write().unwrap_or_else(PoisonError::into_inner) = fleet.callers();
    }

    /// Counts to the end of the measured time, and waits for the last online answers.
    pub async fn end(self, fleet: &LocalFleet) -> SegmentFigures {
        let mut inside = InsideFigures::default();
        inside.watch(fleet, self.started + self.measured).await;
        inside.end(fleet, &self.counters);
        let seconds = self.started.elapsed().as_secs_f64();
        let processor = process_time() - self.processor;
        let counts = engine_counts(fleet);
        let (answered, failed) = counted(self.batch.as_ref()).await;
        if let Some(warming) = self.warming {
            warming.await;
        }
        let online = match self.callers {
            Some(callers) => callers.await,
            None => OnlineOutcome::default(),
        };
        SegmentFigures {
            online,
            items: u64::from(answered.saturating_sub(self.before.0)),
            failed: u64::from(failed.saturating_sub(self.before.1)),
            tokens: counts.tokens.saturating_sub(self.counts.tokens),
            prefilled: counts.prefilled.saturating_sub(self.counts.prefilled),
            cancelled: counts.cancelled.saturating_sub(self.counts.cancelled),
            processor,
            inside,
            seconds,
        }
    }
}

async fn counted(batch: Option<&BatchLoad>) -> (u32, u32) {
    match batch {
        Some(batch) => batch.answered().await.unwrap_or_default(),
        None => (0, 0),
    }
}

fn spawn_callers(
    plan: ArrivalPlan,
    profile: FleetProfile,
    addresses: AddressBook,
    http: HttpClient,
) -> JoinHandle<OnlineOutcome> {
    let known = move || addresses.read().unwrap_or_else(PoisonError::into_inner).clone();
    task::spawn(async move { run_callers(&plan, &profile, &http, known, ACCOUNT_KEY).await })
}
