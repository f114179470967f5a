//! What is measured, and on what fleet.

use std::time::Duration;

use notch_standins::EngineSettings;

use crate::{
    demo::online::ArrivalPlan,
    fleet::{FleetProfile, FleetSettings},
};

/// Streams that an engine runs at once; also the catalogue's bound at each sidecar.
pub const ENGINE_SLOTS: u32 = 16;
/// Engines of the fleet.
pub const ENGINES: usize = 6;
/// All times of the engine stand-in's usual cost model are stretched by this: steps then take as
/// long as on real engines, and the machine's own delays weigh less.
const STRETCH: f64 = 2.5;
/// Share of the engines' slots that online work takes on average.
const ONLINE_SHARE: f64 = 0.30;
/// Time between the starts of two bursts.
const BURST_EVERY: Duration = Duration::from_secs(4);
/// Length of a burst.
const BURST_FOR: Duration = Duration::from_secs(1);
/// Rate in a burst over the rate between bursts, where nothing else is asked for. Online work
/// then needs about two thirds of the slots in a burst.
pub const USUAL_BURST: f64 = 3.0;

/// What `measure online` runs.
#[derive(Debug, Clone)]
pub struct OnlineSettings {
    /// Whose deployments.
    pub profiles: Vec<FleetProfile>,
    /// Measured time of each variant, split over the rounds.
    pub seconds: u64,
    /// Rounds in which the variants take turns, so that the machine's mood meets all alike.
    pub rounds: u32,
    /// Time before each measured part that isn't counted.
    pub warm_up: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Rate of arrivals in a burst over the rate between bursts.
    pub burst: f64,
    /// Only online alone, batch alone and both under the policy: for rounds of tuning.
    pub brief: bool,
}

impl Default for OnlineSettings {
    fn default() -> Self {
        Self {
            profiles: vec![FleetProfile::rahbar(), FleetProfile::raiffalm()],
            seconds: 14,
            rounds: 2,
            warm_up: Duration::from_secs(3),
            seed: 7,
            burst: USUAL_BURST,
            brief: false,
        }
    }
}

impl OnlineSettings {
    /// Measured time of one variant in one round.
    pub fn part(&self) -> Duration {
        Duration::from_secs(self.seconds).div_f64(f64::from(self.rounds.max(1)))
    }
}

/// The engines' cost model.
pub fn engine_settings() -> EngineSettings {
    let usual = EngineSettings::default();
    EngineSettings {
        slots: ENGINE_SLOTS as usize,
        base_step: usual.base_step.mul_f64(STRETCH),
        per_stream: usual.per_stream.mul_f64(STRETCH),
        per_prefill_token: usual.per_prefill_token.mul_f64(STRETCH),
        ..usual
    }
}

/// The fleet of a profile.
pub fn fleet_settings(profile: &FleetProfile) -> FleetSettings {
    FleetSettings {
        profile: profile.clone(),
        sidecars: ENGINES,
        concurrency: ENGINE_SLOTS,
        engine: engine_settings(),
        ..FleetSettings::default()
    }
}

/// Arrivals that take about `ONLINE_SHARE` of the fleet's slots.
pub fn arrival_plan(
    profile: &FleetProfile,
    seed: u64,
    duration: Duration,
    burst: f64,
) -> ArrivalPlan {
    let engine = engine_settings();
    let running = f64::from(ENGINE_SLOTS) * ONLINE_SHARE;
    let step = engine.base_step.as_secs_f64() + engine.per_stream.as_secs_f64() * running;
    let held = step * f64::from(profile.online_answer);
    let mean_rate = running * ENGINES as f64 / held;
    let burst_share = BURST_FOR.as_secs_f64() / BURST_EVERY.as_secs_f64();
    let rate = mean_rate / (1.0 + (burst - 1.0) * burst_share);
    ArrivalPlan {
        rate,
        burst_rate: rate * burst,
        burst_every: BURST_EVERY,
        burst_for: BURST_FOR,
        duration,
        seed,
        label: seed,
    }
}
