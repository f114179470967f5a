//! The course of `measure online`.

use std::{fmt, time::Duration};

use async_std::task;
use notch_gate::prelude::AdmissionRule;
use notch_http::prelude::HttpClient;
use notch_messages::prelude::EntryKind;
use notch_standins::fault::FaultSettings;
use serde_json::json;

use crate::{
    fleet::{FleetError, FleetProfile, FleetSettings, LocalFleet, local_fleet::ACCOUNT_KEY},
    measure::{
        batch_load::BatchLoad,
        capacity::engine_capacity,
        hop_cost::measure_hop,
        process_time::load_average,
        report::{OnlineReport, ProfileReport, WeightFigures},
        segment::{SegmentFigures, SegmentPlan, SegmentRun},
        settings::{OnlineSettings, fleet_settings},
    },
};

/// Latency weights tried.
const WEIGHTS: [f64; 3] = [0.2, 0.5, 0.9];
/// Answers of stores while they are slow, milliseconds.
const SLOW_STORE_MS: u64 = 300;
/// How long an engine is away after its crash.
const CRASH_DOWN: Duration = Duration::from_secs(2);
/// Items submitted over those that the engines could do.
const ITEMS_OVER: f64 = 1.5;
/// How long callers go on using a gateway that is lost: a balancer's checks take a while.
const BALANCER_LAG: Duration = Duration::from_secs(1);

/// Why there are no figures.
#[derive(Debug)]
pub enum MeasureError {
    /// The fleet does not stand.
    Fleet(FleetError),
    /// No gateway accepted a job.
    NotAccepted,
}

impl fmt::Display for MeasureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet(error) => error.fmt(f),
            Self::NotAccepted => f.write_str("no gateway accepted the job"),
        }
    }
}

impl std::error::Error for MeasureError {}

impl From<FleetError> for MeasureError {
    fn from(error: FleetError) -> Self {
        Self::Fleet(error)
    }
}

/// Measures all variants; `tell` hears what is being done.
///
/// # Errors
/// When a fleet can't be started or a job isn't accepted.
pub async fn run_online(
    settings: &OnlineSettings,
    tell: &mut dyn FnMut(&str),
) -> Result<OnlineReport, MeasureError> {
    let load_before = load_average();
    let mut hop = None;
    if !settings.brief {
        tell("added latency of gateway and sidecar");
        hop = Some(measure_hop(&settings.profiles[0]).await?);
    }
    let mut profiles = Vec::new();
    for (place, profile) in settings.profiles.iter().enumerate() {
        let mut course = ProfileCourse::new(settings, profile);
        let report = course.run(place == 0, tell).await?;
        profiles.push(report);
    }
    let load_after = load_average();
    Ok(OnlineReport { seed: settings.seed, hop, profiles, load_before, load_after })
}

/// One profile's variants.
struct ProfileCourse<'a> {
    settings: &'a OnlineSettings,
    profile: &'a FleetProfile,
    http: HttpClient,
    /// Tokens that the engines make a second, once measured.
    capacity: f64,
    /// Parts so far; tells requests and jobs apart.
    parts: u64,
}

impl<'a> ProfileCourse<'a> {
    fn new(settings: &'a OnlineSettings, profile: &'a FleetProfile) -> Self {
        Self { settings, profile, http: HttpClient::default(), capacity: 0.0, parts: 0 }
    }

    async fn run(
        &mut self,
        with_weights: bool,
        tell: &mut dyn FnMut(&str),
    ) -> Result<ProfileReport, MeasureError> {
        let name = self.profile.name;
        let fleet = LocalFleet::start(fleet_settings(self.profile)).await?;
        tell(&format!("{name}: engines alone"));
        let capacity = engine_capacity(&fleet, &self.http, self.settings.part()).await;
        self.capacity = capacity;
        let mut alone = SegmentFigures::default();
        let mut policy = SegmentFigures::default();
        let mut batch_alone = SegmentFigures::default();
        for round in 0..self.settings.rounds {
            tell(&format!("{name}: online alone, with batch, batch alone; round {}", round + 1));
            let seed = self.settings.seed + u64::from(round);
            alone.merge(&self.part(&fleet, true, seed, None).await);
            let job = self.submit(&fleet, 2).await?;
            policy.merge(&self.part(&fleet, true, seed, Some(&job)).await);
            batch_alone.merge(&self.part(&fleet, false, seed, Some(&job)).await);
            job.cancel().await;
        }
        let weights = match with_weights && !self.settings.brief {
            true => self.weights(&fleet, tell).await?,
            false => Vec::new(),
        };
        fleet.stop().await;
        let (mut naive, mut faults) = (SegmentFigures::default(), SegmentFigures::default());
        if !self.settings.brief {
            tell(&format!("{name}: first come, first served"));
            naive = self.naive().await?;
            tell(&format!("{name}: with faults"));
            faults = self.faults().await?;
        }
        let profile = self.profile.clone();
        Ok(ProfileReport { profile, capacity, alone, policy, batch_alone, naive, faults, weights })
    }

    async fn part(
        &mut self,
        fleet: &LocalFleet,
        online: bool,
        seed: u64,
        batch: Option<&BatchLoad>,
    ) -> SegmentFigures {
        let plan = self.plan(online, seed, self.settings.part());
        let run = SegmentRun::begin(&plan, fleet, &self.http, batch).await;
        run.end(fleet).await
    }

    fn plan(&mut self, online: bool, seed: u64, measured: Duration) -> SegmentPlan {
        self.parts += 1;
        let label = self.settings.seed << 16 | self.parts;
        let burst = self.settings.burst;
        SegmentPlan { online, seed, label, burst, warm_up: self.settings.warm_up, measured }
    }

    /// Submits a job that lasts longer than `parts` parts.
    async fn submit(&mut self, fleet: &LocalFleet, parts: u32) -> Result<BatchLoad, MeasureError> {
        self.parts += 1;
        let name = format!("measure-{}-{}", self.settings.seed, self.parts);
        let time = (self.settings.part() + self.settings.warm_up) * parts;
        let items_per_s = self.capacity / f64::from(self.profile.batch_answer);
        let items = items_per_s * time.as_secs_f64() * ITEMS_OVER;
        let gateways = fleet.callers();
        let job = BatchLoad::submit(
            self.profile,
            items as u32,
            &name,
            &self.http,
            &gateways,
            ACCOUNT_KEY,
        );
        job.await.ok_or(MeasureError::NotAccepted)
    }

    /// The same load under other latency weights, set by the policy entry alone.
    async fn weights(
        &mut self,
        fleet: &LocalFleet,
        tell: &mut dyn FnMut(&str),
    ) -> Result<Vec<WeightFigures>, MeasureError> {
        let mut figures = Vec::new();
        for latency_weight in WEIGHTS {
            tell(&format!("{}: latency weight {latency_weight}", self.profile.name));
            let entry = json!({
                "latency_weight": latency_weight,
                "online_reserve": self.profile.online_reserve,
            });
            fleet.put_entry(EntryKind::Policy, "default", &entry).await?;
            let job = self.submit(fleet, 2).await?;
            // Limits are learned: let them find their place under the new weight first.
            task::sleep(self.settings.warm_up / 2).await;
            let seed = self.settings.seed;
            let plan = self.plan(true, seed, self.settings.part() * 2);
            let run = SegmentRun::begin(&plan, fleet, &self.http, Some(&job)).await;
            let segment = run.end(fleet).await;
            job.cancel().await;
            figures.push(WeightFigures { latency_weight, segment });
        }
        Ok(figures)
    }

    async fn naive(&mut self) -> Result<SegmentFigures, MeasureError> {
        let mut settings = fleet_settings(self.profile);
        settings.sidecar.gate.rule = AdmissionRule::ArrivalOrder;
        let fleet = LocalFleet::start(settings).await?;
        let job = self.submit(&fleet, 2 * self.settings.rounds).await?;
        let mut figures = SegmentFigures::default();
        for round in 0..self.settings.rounds {
            let seed = self.settings.seed + u64::from(round);
            figures.merge(&self.part(&fleet, true, seed, Some(&job)).await);
        }
        fleet.stop().await;
        Ok(figures)
    }

    /// A gateway lost and back, an engine's crash, a slow store, a target lost.
    async fn faults(&mut self) -> Result<SegmentFigures, MeasureError> {
        let settings: FleetSettings = fleet_settings(self.profile);
        let mut fleet = LocalFleet::start(settings).await?;
        let job = self.submit(&fleet, 2 * self.settings.rounds).await?;
        let measured = Duration::from_secs(self.settings.seconds);
        let seed = self.settings.seed;
        let plan = self.plan(true, seed, measured);
        let run = SegmentRun::begin(&plan, &fleet, &self.http, Some(&job)).await;
        let fifth = measured / 5;
        task::sleep(fifth / 2).await;
        fleet.kill_gateway(1).await;
        task::sleep(BALANCER_LAG.min(fifth)).await;
        run.balance(&fleet);
        task::sleep(fifth.saturating_sub(BALANCER_LAG)).await;
        fleet.engines[0].crash(CRASH_DOWN);
        task::sleep(fifth).await;
        fleet.platform.objects().faults().set(FaultSettings::slow(SLOW_STORE_MS));
        task::sleep(fifth).await;
        fleet.platform.objects().faults().clear();
        fleet.kill_target(fleet.settings().sidecars - 1).await;
        let figures = run.end(&fleet).await;
        fleet.stop().await;
        Ok(figures)
    }
}
