//! Gateways among themselves: membership, facts by gossip, catalogue.

use std::time::Duration;

use notch_catalogue::{
    CatalogueSettings,
    probe::{measure, settled_fleet as settled_catalogue, usual_store},
};
use notch_jobs::prelude::TargetBacklog;
use notch_link::codec;
use notch_membership::{
    MembershipEvent,
    probe::{ProbeFleet, listed_fleet, run_until_gone, settled_fleet, usual_link},
};
use notch_messages::prelude::*;
use notch_settings::prelude::GatewayConfig;
use notch_types::prelude::*;

use super::{
    machine::{ProcessorClock, resident_bytes},
    report::{DOMAINS, GATEWAYS, NODE_COUNTS, SHARDS, SlopeReport},
    series::{
        RoleName::{Gateway, ObjectApi},
        SeriesName,
    },
};

/// Virtual time over which a quiet fleet is watched.
const QUIET: Duration = Duration::from_secs(60);
/// Entries while bytes are measured; the bytes don't depend on them.
const ENTRIES: usize = 1_000;
/// Entries at the size planned for: accounts, models and policy.
const ALL_ENTRIES: usize = 11_010;

fn bytes_of(message: &GossipMessage) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}

fn gateway(quantity: &'static str, unit: &'static str) -> SeriesName {
    SeriesName { role: Gateway, quantity, unit, against: "gateways" }
}

/// Measures membership.
pub(super) fn measure_membership(report: &mut SlopeReport) {
    let settings = notch_gateway::wiring::membership_settings(&GatewayConfig::default());
    let mut fleets: Vec<ProbeFleet> = Vec::new();
    let mut memory = Vec::new();
    for nodes in NODE_COUNTS {
        let before = resident_bytes();
        fleets.push(settled_fleet(nodes, DOMAINS, &settings, bytes_of));
        let held = resident_bytes().saturating_sub(before);
        memory.push((nodes as f64, held as f64 / nodes as f64 / 1e3));
    }
    report.add(gateway("membership: memory", "KB"), GATEWAYS, &memory);
    let (mut messages, mut bytes, mut share) = (Vec::new(), Vec::new(), Vec::new());
    let mut death = Vec::new();
    for (fleet, nodes) in fleets.iter_mut().zip(NODE_COUNTS) {
        let clock = ProcessorClock::start();
        let until = fleet.now() + QUIET;
        fleet.run_until(until, &mut usual_link);
        let per_node = 1.0 / nodes as f64 / QUIET.as_secs_f64();
        let sent = fleet.take_sent();
        let at = nodes as f64;
        messages.push((at, sent.messages as f64 * per_node));
        bytes.push((at, sent.bytes as f64 * per_node));
        share.push((at, clock.spent().as_secs_f64() * per_node * 100.0));
        let victim = listed_fleet(nodes, DOMAINS)[nodes / 2].vm.clone();
        fleet.stop(&victim);
        death.push((at, run_until_gone(fleet, &victim).as_secs_f64()));
    }
    report.add(gateway("membership: messages", "messages/s"), GATEWAYS, &messages);
    report.add(gateway("membership: bytes", "B/s"), GATEWAYS, &bytes);
    report.add(
        gateway("membership: processor, encoding included", "% of a core"),
        GATEWAYS,
        &share,
    );
    report.add(gateway("membership: death known everywhere", "s"), GATEWAYS, &death);
}

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
    let mut bytes = Vec::new();
    let mut late = Vec::new();
    for rate in [0_u64, 8, 16, 32, 64] {
        let (sent, reached) = rumor_run(64, rate);
        bytes.push((rate as f64, sent));
        late.push((rate as f64, reached));
    }
    let name = |quantity, unit| SeriesName {
        role: Gateway,
        quantity,
        unit,
        against: "facts a second, fleet-wide (64 gateways)",
    };
    report.add(name("membership and facts: bytes", "B/s"), SHARDS, &bytes);
    report.add(name("facts: age at a gateway, mean", "s"), SHARDS, &late);
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

/// Bytes a second and node, and the mean age of facts, with `rate` facts a second of one model.
fn rumor_run(nodes: usize, rate: u64) -> (f64, f64) {
    let settings = notch_gateway::wiring::membership_settings(&GatewayConfig::default());
    let mut fleet = settled_fleet(nodes, DOMAINS, &settings, bytes_of);
    let list = listed_fleet(nodes, DOMAINS);
    let seconds = QUIET.as_secs();
    let (mut age, mut seen) = (0.0, 0_u64);
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
                seen += 1;
            }
        }
    }
    let sent = fleet.take_sent().bytes as f64 / nodes as f64 / seconds as f64;
    (sent, age / seen.max(1) as f64)
}

/// Measures the catalogue.
pub(super) fn measure_catalogue(report: &mut SlopeReport) {
    let settings = notch_gateway::wiring::catalogue_settings(&GatewayConfig::default());
    measure_entries(report, &settings);
    let (mut bytes, mut change, mut calls, mut force) = (vec![], vec![], vec![], vec![]);
    let mut share = Vec::new();
    for nodes in NODE_COUNTS {
        let figures = measure(nodes, DOMAINS, ENTRIES, QUIET.as_secs(), 10, &settings, bytes_of);
        let at = nodes as f64;
        bytes.push((at, figures.bytes_per_s));
        change.push((at, figures.bytes_per_change));
        calls.push((at, figures.store_calls_per_s));
        force.push((at, figures.in_force_most.as_secs_f64()));
        let mut fleet = settled_catalogue(nodes, DOMAINS, 100, &settings, bytes_of);
        let clock = ProcessorClock::start();
        let until = fleet.now() + QUIET;
        fleet.run_until(until, &mut usual_link, &mut usual_store);
        let spent = clock.spent().as_secs_f64();
        share.push((at, spent / at / QUIET.as_secs_f64() * 100.0));
    }
    report.add(gateway("catalogue: bytes, nothing changes", "B/s"), GATEWAYS, &bytes);
    report.add(gateway("catalogue: bytes for one change", "B"), GATEWAYS, &change);
    report.add(gateway("catalogue: change in force at every gateway", "s"), GATEWAYS, &force);
    report.add(gateway("catalogue: processor, encoding included", "% of a core"), GATEWAYS, &share);
    let name = SeriesName {
        role: ObjectApi,
        quantity: "catalogue: watches and polls of all watchers",
        unit: "calls/s",
        against: "gateways",
    };
    report.add(name, GATEWAYS, &calls);
}

/// Memory by number of entries.
fn measure_entries(report: &mut SlopeReport, settings: &CatalogueSettings) {
    const NODES: usize = 4;
    let mut held = Vec::new();
    let mut points = Vec::new();
    for entries in [100, 1_000, 4_000, ALL_ENTRIES] {
        let before = resident_bytes();
        held.push(settled_catalogue(NODES, DOMAINS, entries, settings, |_| 0));
        let grown = resident_bytes().saturating_sub(before);
        points.push((entries as f64, grown as f64 / NODES as f64 / 1e6));
    }
    let name =
        SeriesName { role: Gateway, quantity: "catalogue: memory", unit: "MB", against: "entries" };
    report.add(name, ALL_ENTRIES as f64, &points);
}
