//! Gateways that restart, a failure domain that is lost, halves that part and meet again.

use std::time::Duration;

use notch_membership::{
    MembershipEvent, MembershipSettings,
    probe::{
        ProbeFleet, identity_of, listed_fleet, measure_moves, run_until_gone, settled_fleet,
        usual_link,
    },
};
use notch_settings::prelude::GatewayConfig;
use notch_types::prelude::*;

use super::{
    membership::{QUIET, bytes_of},
    report::{DOMAINS, GATEWAYS, SHARDS, SIDECARS, SlopeReport},
    series::{RoleName::Gateway, SeriesName},
};

/// How long halves are parted. Within it all members of the other half are held dead; a longer
/// parting adds nothing until they are forgotten, after hours.
const PARTED: Duration = Duration::from_secs(60);
/// Gateways that each sidecar is linked to.
const LINKS_EACH: usize = 8;
const STEP: Duration = Duration::from_millis(250);
/// Longest wait for a fleet to agree.
const MOST: Duration = Duration::from_secs(120);

fn settings() -> MembershipSettings {
    notch_gateway::wiring::membership_settings(&GatewayConfig::default())
}

/// Measures losses.
pub(super) fn measure_losses(report: &mut SlopeReport) {
    let nodes = [16_usize, 64, 256, 370];
    let restarts = nodes.map(|nodes| (nodes as f64, restart_bytes(nodes)));
    let domains = nodes.map(|nodes| (nodes as f64, domain_loss(nodes)));
    let partings = nodes.map(|nodes| (nodes as f64, parting(nodes)));
    let name = |quantity, unit| SeriesName { role: Gateway, quantity, unit, against: "gateways" };
    report.add(name("a death and return: bytes a node", "B"), GATEWAYS, &restarts);
    let known = domains.map(|(at, (seconds, _))| (at, seconds));
    let bytes = domains.map(|(at, (_, bytes))| (at, bytes));
    report.add(name("a domain lost: known everywhere", "s"), GATEWAYS, &known);
    report.add(name("a domain lost: bytes a node in 60 s", "B/s"), GATEWAYS, &bytes);
    let known = partings.map(|(at, (seconds, _))| (at, seconds));
    let bytes = partings.map(|(at, (_, bytes))| (at, bytes));
    report.add(name("halves meet again: one roster after", "s"), GATEWAYS, &known);
    report.add(name("halves meet again: bytes a node in 60 s", "B/s"), GATEWAYS, &bytes);
}

/// Measures how links and shards lie, and how many move when one gateway goes.
pub(super) fn measure_assignments(report: &mut SlopeReport) {
    const TRIALS: usize = 20;
    let moves = [16_usize, 64, 256, 370].map(|nodes| {
        let (sidecars, shards) = (SIDECARS as usize, SHARDS as u16);
        let moved = measure_moves(nodes, DOMAINS, sidecars, LINKS_EACH, shards, TRIALS.min(nodes));
        (nodes as f64, moved)
    });
    let name = |quantity, unit| SeriesName { role: Gateway, quantity, unit, against: "gateways" };
    let fullest =
        moves.map(|(at, moved)| (at, moved.most_to_mean * SIDECARS * LINKS_EACH as f64 / at));
    let links = moves.map(|(at, moved)| (at, moved.sidecar_links * 100.0));
    let owners = moves.map(|(at, moved)| (at, moved.shard_owners * 100.0));
    report.add(name("sidecar links of the fullest", "links"), GATEWAYS, &fullest);
    report.add(name("one gateway goes: sidecar links moved", "%"), GATEWAYS, &links);
    report.add(name("one gateway goes: shards moved", "%"), GATEWAYS, &owners);
}

/// Bytes a node above those of a quiet fleet.
fn restart_bytes(nodes: usize) -> f64 {
    let settings = settings();
    let mut fleet = settled_fleet(nodes, DOMAINS, &settings, bytes_of);
    let start = fleet.now();
    fleet.run_until(start + QUIET, &mut usual_link);
    let quiet = fleet.take_sent().bytes as f64 / QUIET.as_secs_f64();
    let list = listed_fleet(nodes, DOMAINS);
    let victim = &list[nodes / 2];
    let start = fleet.now();
    fleet.stop(&victim.vm);
    run_until_gone(&mut fleet, &victim.vm);
    fleet.start(identity_of(victim, 1), &settings);
    fleet.tell(&victim.vm, MembershipEvent::VmListed(list.clone()), &mut usual_link);
    let until = fleet.now() + QUIET;
    fleet.run_until(until, &mut usual_link);
    let span = fleet.now().since(start).as_secs_f64();
    (fleet.take_sent().bytes as f64 - quiet * span).max(0.0) / nodes as f64
}

/// Seconds until no survivor holds any of a lost domain, and bytes a second and node.
fn domain_loss(nodes: usize) -> (f64, f64) {
    let mut fleet = settled_fleet(nodes, DOMAINS, &settings(), bytes_of);
    let lost = listed_fleet(nodes, DOMAINS).into_iter().step_by(DOMAINS);
    let lost: Vec<VmName> = lost.map(|listed| listed.vm).collect();
    lost.iter().for_each(|vm| fleet.stop(vm));
    let left = nodes - lost.len();
    let seconds = seconds_until(&mut fleet, left);
    rest_of_minute(&mut fleet, seconds);
    (seconds, fleet.take_sent().bytes as f64 / left as f64 / QUIET.as_secs_f64())
}

/// Seconds until two halves that were parted are one again, and bytes a second and node.
fn parting(nodes: usize) -> (f64, f64) {
    let mut fleet = settled_fleet(nodes, DOMAINS, &settings(), bytes_of);
    let in_west = |vm: &VmName| vm.as_str().ends_with(['0', '2', '4', '6', '8']);
    let until = fleet.now() + PARTED;
    fleet.run_until(until, &mut |from: &VmName, to: &VmName, at| {
        if in_west(from) == in_west(to) { usual_link(from, to, at) } else { None }
    });
    fleet.take_sent();
    let seconds = seconds_until(&mut fleet, nodes);
    rest_of_minute(&mut fleet, seconds);
    (seconds, fleet.take_sent().bytes as f64 / nodes as f64 / QUIET.as_secs_f64())
}

/// Runs until every running node's roster has `members` members; the seconds it took.
fn seconds_until(fleet: &mut ProbeFleet, members: usize) -> f64 {
    let start = fleet.now();
    while fleet.running().any(|(_, table)| table.roster().len() != members)
        && fleet.now().since(start) < MOST
    {
        let until = fleet.now() + STEP;
        fleet.run_until(until, &mut usual_link);
    }
    fleet.now().since(start).as_secs_f64()
}

fn rest_of_minute(fleet: &mut ProbeFleet, seconds: f64) {
    let rest = QUIET.saturating_sub(Duration::from_secs_f64(seconds));
    let until = fleet.now() + rest;
    fleet.run_until(until, &mut usual_link);
}
