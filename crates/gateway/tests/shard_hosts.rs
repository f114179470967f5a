//! Ledger and jobs joined: a job on a shard that moves between gateways while the store fails.

#![allow(clippy::unwrap_used, reason = "a failed step of the set-up is the failure of the test")]

mod support;

use notch_messages::prelude::*;
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use support::world::{FaultShare, ITEMS, World};

/// Steps under faults, and most steps to finish after them.
const FAULTY_STEPS: usize = 900;
const HEALED_STEPS: usize = 60_000;

/// Submits until some owner says that it has the job; a resend is safe.
fn accept(world: &mut World) {
    for _ in 0..400 {
        let call = world.submit();
        for _ in 0..150 {
            world.step(false);
            if let Some(ShardAnswer::JobAccepted { progress, .. }) = world.answers.get(&call) {
                assert_eq!(progress.total, ITEMS);
                return;
            }
        }
    }
    panic!("nobody accepted the job");
}

/// Runs until the job is done, and checks every item's one result.
fn finish(world: &mut World) {
    world.heal();
    for step in 0..HEALED_STEPS {
        world.step(false);
        if step % 50 == 0 {
            let request = world.job_request();
            let call = world.ask(request);
            if let Some(ShardAnswer::Job(progress)) = world.answers.get(&call)
                && progress.phase == JobPhase::Done
            {
                assert_eq!((progress.answered, progress.failed), (ITEMS, 0));
                break;
            }
        }
    }
    for _ in 0..400 {
        world.read_results();
        world.step(false);
    }
    assert_eq!(world.read.len(), ITEMS as usize, "every item has its result");
    for (item, outcome) in &world.read {
        let body = Payload::from(format!("{{\"n\":{}}}", item.0).as_str());
        assert_eq!(outcome, &ItemOutcome::Answered { status: 200, body });
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 60, rng_seed: RngSeed::Fixed(23), failure_persistence: None, ..Config::default()
    })]

    // Symptom: an item of a job has no result, two, or one that changes.
    // Sequence: owners are lost and paused beyond their lease at any point; writes take effect
    // and their answers are lost, or neither; the sidecar sends its results to whoever says that
    // it owns the shard, again and again.
    // Cause: any place where something is promised before the head's version decided it.
    #[test]
    fn every_item_has_one_result_whoever_is_lost(
        seed in any::<u64>(),
        lost_after in 0_u32..15,
        lost_before in 0_u32..10,
        unavailable in 0_u32..20,
    ) {
        let mut world = World::new(seed, FaultShare { lost_after, lost_before, unavailable });
        accept(&mut world);
        for _ in 0..FAULTY_STEPS {
            world.step(true);
        }
        finish(&mut world);
    }
}

// Symptom: without any fault items run twice.
// Sequence: one owner, one sidecar, a healthy store.
// Cause: a lease that is too short for its own sidecar's results.
#[test]
fn without_faults_each_item_starts_once() {
    let mut world = World::new(5, FaultShare { lost_after: 0, lost_before: 0, unavailable: 0 });
    accept(&mut world);
    finish(&mut world);
    assert!(world.starts.values().all(|starts| *starts == 1), "{:?}", world.starts);
}
