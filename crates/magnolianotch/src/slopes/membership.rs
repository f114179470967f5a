//! Gateways among themselves: membership and catalogue.

use std::time::Duration;

use notch_catalogue::probe::{measure, settled_fleet as settled_catalogue, usual_store};
use notch_link::codec;
use notch_membership::probe::{listed_fleet, run_until_gone, settled_fleet, usual_link};
use notch_messages::prelude::*;
use notch_settings::prelude::GatewayConfig;

use super::{
    machine::ProcessorClock,
    report::{DOMAINS, GATEWAYS, NODE_COUNTS, SlopeReport},
    series::{
        RoleName::{Gateway, ObjectApi},
        SeriesName,
    },
};

/// Virtual time over which a fleet is watched.
pub(super) const QUIET: Duration = Duration::from_secs(60);
/// Entries while bytes are measured; the bytes don't depend on them.
const ENTRIES: usize = 1_000;

/// Bytes of a message as a link carries it.
pub(super) fn bytes_of(message: &GossipMessage) -> usize {
    codec::encode(message).map_or(0, |bytes| bytes.len())
}

fn gateway(quantity: &'static str, unit: &'static str) -> SeriesName {
    SeriesName { role: Gateway, quantity, unit, against: "gateways" }
}

/// Measures membership.
pub(super) fn measure_membership(report: &mut SlopeReport) {
    let settings = notch_gateway::wiring::membership_settings(&GatewayConfig::default());
    let (mut messages, mut bytes, mut share) = (Vec::new(), Vec::new(), Vec::new());
    let mut death = Vec::new();
    for nodes in NODE_COUNTS {
        let mut fleet = settled_fleet(nodes, DOMAINS, &settings, bytes_of);
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
        death.push((at, run_until_gone(&mut fleet, &victim).as_secs_f64()));
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

/// Measures the catalogue.
pub(super) fn measure_catalogue(report: &mut SlopeReport) {
    let settings = notch_gateway::wiring::catalogue_settings(&GatewayConfig::default());
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
