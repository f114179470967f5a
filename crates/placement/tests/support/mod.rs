//! A small fleet around the planner: an object, sidecars with engines, a weight store, and a
//! network with delays. Seeded; steps of 50 ms.
#![allow(dead_code)]

pub(crate) mod sidecar;
pub(crate) mod store;
pub(crate) mod world;

use std::time::Duration;

use notch_placement::prelude::*;
use notch_types::prelude::*;

/// Fast paces, so that minutes of fleet time are enough.
pub(crate) fn fast_settings(vm: &str, incarnation: u64) -> PlannerSettings {
    PlannerSettings {
        lease: LeaseSettings {
            vm: VmName::new(vm),
            incarnation: Incarnation(incarnation),
            lease: Duration::from_millis(2_000),
            margin: Duration::from_millis(200),
            renew: Duration::from_millis(500),
            standby_poll: Duration::from_millis(700),
            backoff_min: Duration::from_millis(100),
            backoff_max: Duration::from_millis(400),
            call_timeout: Duration::from_millis(600),
            ..LeaseSettings::default()
        },
        settle: Duration::from_millis(1_500),
        plan_every: Duration::from_millis(100),
        list_lag: Duration::from_millis(600),
        silent_after: Duration::from_millis(3_000),
        repair_delay: Duration::from_millis(2_000),
        forget_after: Duration::from_millis(20_000),
        move_delay: Duration::from_millis(1_000),
        reserve_for: Duration::from_millis(6_000),
        rollout_soak: Duration::from_millis(200),
        order_timeout: Duration::from_millis(1_000),
        failure_pause: Duration::from_millis(1_000),
        failure_pause_max: Duration::from_millis(4_000),
        ..PlannerSettings::default()
    }
}

/// A model wanted at version `v1` in role `mixed`.
pub(crate) fn wanted(model: &str, replicas: u32, min_replicas: u32) -> ModelWanted {
    ModelWanted {
        model: TargetName::new(model),
        version: "v1".to_owned(),
        adapters: vec![],
        replicas,
        min_replicas,
        role: "mixed".to_owned(),
    }
}

/// A seeded source of numbers below `bound`.
#[derive(Debug, Clone)]
pub(crate) struct Dice(pub(crate) u64);

impl Dice {
    pub(crate) fn roll(&mut self, bound: u64) -> u64 {
        self.0 += 1;
        stable_hash64(&[&self.0.to_le_bytes()]) % bound.max(1)
    }
}
