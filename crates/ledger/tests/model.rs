//! Long random sequences with every fault, against a plain list.

mod support;

use notch_ledger::{AppendUrgency, ShardEvent, ShardStanding};
use proptest::{prelude::*, test_runner::RngSeed};
use support::world::{Weather, World};

#[derive(Debug, Clone)]
enum Step {
    Append { node: usize, count: usize, size: usize },
    Chunked { node: usize, delay: u64 },
    Withdraw { back: u64 },
    Run(u64),
    Weather(Weather),
    Pause { node: usize, millis: u64 },
    Crash(usize),
    Restart(usize),
    Release(usize),
    Stand { node: usize, standing: ShardStanding },
    Snapshot(usize),
    Missed(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..3_usize;
    let standing = prop_oneof![
        3 => Just(ShardStanding::Preferred),
        3 => Just(ShardStanding::Standby(1)),
        1 => Just(ShardStanding::Standby(2)),
        1 => Just(ShardStanding::Bystander),
    ];
    let weather = prop_oneof![
        2 => Just(Weather::Fair),
        4 => Just(Weather::Foul),
        1 => Just(Weather::Outage),
        1 => Just(Weather::Mute),
    ];
    prop_oneof![
        30 => (node.clone(), 1..8_usize, 0..200_usize)
            .prop_map(|(node, count, size)| Step::Append { node, count, size }),
        4 => (node.clone(), 0..6_000_u64).prop_map(|(node, delay)| Step::Chunked { node, delay }),
        2 => (0..4_u64).prop_map(|back| Step::Withdraw { back }),
        20 => (1..60_u64).prop_map(Step::Run),
        6 => (60..2_500_u64).prop_map(Step::Run),
        6 => weather.prop_map(Step::Weather),
        3 => (node.clone(), 100..6_000_u64)
            .prop_map(|(node, millis)| Step::Pause { node, millis }),
        1 => node.clone().prop_map(Step::Crash),
        2 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Release),
        2 => (node.clone(), standing).prop_map(|(node, standing)| Step::Stand { node, standing }),
        1 => node.clone().prop_map(Step::Snapshot),
        1 => node.prop_map(Step::Missed),
    ]
}

fn play(steps: Vec<Step>, seed: u64) {
    let mut world = World::new(3, seed);
    world.run(600);
    let mut tickets = Vec::new();
    let mut chunks = Vec::new();
    for step in steps {
        match step {
            Step::Append { node, count, size } => {
                let node = world.believer(node);
                tickets.push(world.append(node, count, size));
            }
            Step::Chunked { node, delay } => {
                chunks.push((node, world.now + delay * 1_000, world.write_chunk()));
            }
            Step::Withdraw { back } => {
                let Some(ticket) = tickets.iter().rev().nth(back as usize).copied() else {
                    continue;
                };
                let node = (ticket % 16) as usize;
                if world.nodes[node].paused_until <= world.now {
                    let ticket = notch_ledger::AppendTicket(ticket);
                    world.tell(node, ShardEvent::Withdraw { ticket });
                }
            }
            Step::Run(millis) => world.run(millis),
            Step::Weather(weather) => world.weather = weather,
            Step::Pause { node, millis } => {
                let node = world.believer(node);
                world.pause(node, millis);
            }
            Step::Crash(node) => world.crash(node),
            Step::Restart(node) => world.restart(node),
            Step::Release(node) if world.nodes[node].paused_until > world.now => {}
            Step::Release(node) => world.tell(node, ShardEvent::Release),
            Step::Stand { node, standing } => world.tell(node, ShardEvent::Stand(standing)),
            Step::Snapshot(node) => world.give_snapshot(node),
            Step::Missed(node) => world.tell(node, ShardEvent::SegmentMissed),
        }
        let (due, later) = chunks.into_iter().partition(|(_, at, _)| *at <= world.now);
        chunks = later;
        for (node, _, key) in due {
            let node = world.believer(node);
            world.append_with(node, 1, 10, AppendUrgency::Prompt, Some(key));
        }
        world.check_reads();
    }
    // Those that gave the shard up, or stand aside, come back as new processes.
    for node in 0..3 {
        world.restart(node);
    }
    world.finish();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0x6c65_6467),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_lost_and_nothing_is_there_twice(
        steps in prop::collection::vec(step(), 40..260),
        seed in any::<u64>(),
    ) {
        play(steps, seed);
    }
}
