//! Two routers, a ledger and three sidecars with random delays, losses, crashes and restarts,
//! against a naive world that simply writes down what ran.

#[path = "../support/mod.rs"]
mod support;

mod sidecars;
mod steps;
mod world;

use proptest::{prelude::*, test_runner::RngSeed};
use steps::{Step, steps};
use world::World;

fn run_world(steps: Vec<Step>, seed: u64, strict: bool) {
    let mut world = World::new(seed, strict);
    for step in steps {
        world.step(step);
    }
    world.store_down_until = 0;
    world.advance(200_000);
    world.check();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(2),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn promises_hold_whatever_order_things_happen_in(
        steps in steps(),
        seed in any::<u64>(),
        strict in any::<bool>(),
    ) {
        run_world(steps, seed, strict);
    }
}
