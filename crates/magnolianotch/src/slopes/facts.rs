//! Facts by gossip: what they cost, and how old they are where they arrive.

use std::time::Duration;

use notch_jobs::prelude::TargetBacklog;
use notch_link::codec;
use notch_membership::{
    MembershipEvent,
    probe::{listed_fleet, settled_fleet, usual_link},
};
use notch_messages::prelude::*;
use notch_settings::prelude::GatewayConfig;
use notch_types::prelude::*;

use super::{
    membership::{QUIET, bytes_of},
    report::{DOMAINS, GATEWAYS, SHARDS, SlopeReport},
    series::{RoleName::Gateway, SeriesName},
};

/// Facts a second while the number of gateways is varied: 64 shards, each every four seconds.
const FACTS: u64 = 16;

/// Measures what facts by gossip cost: shards tell their work once a second.
pub(super) fn measure_rumors(report: &mut SlopeReport) {
    let sizes = (1..=5).map(|targets| (f64::from(targets), backlog_value(targets).len() as f64));
    let name = SeriesName {
        role: Gateway,
        quantity: "fact of a shard's work: value (facts over 256 B are dropped)",
        unit: "B",
        against: "models with work in the shard",
    };
    report.add(name, 5.0, &sizes.collect::<Vec<_>>());
    let by_rate = [0_u64, 4, 16, 32, 64].map(|rate| (rate as f64, rumor_run(256, rate)));
    let against = "facts a second, fleet-wide (256 gateways)";
    add_runs(report, against, SHARDS, &by_rate);
    let by_nodes = [16, 64, 256, 370].map(|nodes| (nodes as f64, rumor_run(nodes, FACTS)));
    add_runs(report, "gateways (16 facts a second)", GATEWAYS, &by_nodes);
}

fn add_runs(report: &mut SlopeReport, against: &'static str, size: f64, runs: &[(f64, RumorRun)]) {
    let name = |quantity, unit| SeriesName { role: Gateway, quantity, unit, against };
    let series = |of: fn(&RumorRun) -> f64| -> Vec<(f64, f64)> {
        runs.iter().map(|(at, run)| (*at, of(run))).collect()
    };
    report.add(name("membership and facts: bytes", "B/s"), size, &series(|run| run.bytes_per_s));
    report.add(name("facts: age at a gateway, mean", "s"), size, &series(|run| run.mean_age));
    report.add(name("facts: age at a gateway, oldest", "s"), size, &series(|run| run.oldest));
}

/// What facts cost, and how old they are where they arrive.
#[derive(Debug, Clone, Copy)]
struct RumorRun {
    bytes_per_s: f64,
    mean_age: f64,
    oldest: f64,
}

/// A shard's work for `targets` models, as gossip carries it.
fn backlog_value(targets: u32) -> Vec<u8> {
    let line = |number| TargetBacklog {
        target: TargetName::new(&format!("model-{number}")),
        open: 860_000,
        least_laxity_ms: 3_600_000,
        floor: 0.1,
    };
    codec::encode(&(0..targets).map(line).collect::<Vec<_>>()).unwrap_or_default()
}

/// One minute with `rate` shards that each tell of one model once a second.
fn rumor_run(nodes: usize, rate: u64) -> RumorRun {
    let settings = notch_gateway::wiring::membership_settings(&GatewayConfig::default());
    let mut fleet = settled_fleet(nodes, DOMAINS, &settings, bytes_of);
    let list = listed_fleet(nodes, DOMAINS);
    let seconds = QUIET.as_secs();
    let (mut age, mut oldest, mut seen) = (0.0, 0_u64, 0_u64);
    for second in 0..seconds {
        for shard in 0..rate {
            let topic = RumorTopic::ShardBacklog(ShardId(shard as u16));
            let value = backlog_value(1).into();
            let rumor = Rumor { topic, version: second + 1, value };
            let vm = &list[shard as usize * nodes / rate as usize].vm;
            fleet.tell(vm, MembershipEvent::RumorLocal { rumor, urgent: false }, &mut usual_link);
        }
        let until = fleet.now() + Duration::from_secs(1);
        fleet.run_until(until, &mut usual_link);
        let topics = (0..rate).map(|shard| RumorTopic::ShardBacklog(ShardId(shard as u16)));
        for topic in topics.filter(|_| second >= seconds / 2) {
            for (_, table) in fleet.running() {
                let version = table.rumor(&topic).map_or(0, |rumor| rumor.version);
                age += (second + 1 - version) as f64;
                oldest = oldest.max(second + 1 - version);
                seen += 1;
            }
        }
    }
    let bytes_per_s = fleet.take_sent().bytes as f64 / nodes as f64 / seconds as f64;
    RumorRun { bytes_per_s, mean_age: age / seen.max(1) as f64, oldest: oldest as f64 }
}
