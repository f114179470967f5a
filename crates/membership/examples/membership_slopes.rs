//! Prints what membership costs a node against the number of gateways.

#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use notch_membership::{
    MemberTable, MembershipSettings,
    probe::{measure, measure_moves, settled_fleet, usual_link},
};
use notch_messages::gossip::GossipMessage;
use notch_types::prelude::*;

fn main() {
    print_memory();
    println!("nodes  msg/s  B/s  B/restart  death known  leave known");
    for nodes in [4, 16, 64, 256, 370] {
        let started = Instant::now();
        let figures = measure(nodes, 5, 120, encoded_bytes);
        println!(
            "{:5}  {:5.2}  {:4.0}  {:9.0}  {:?}  {:?}  ({:?} in all)",
            figures.nodes,
            figures.messages_per_s,
            figures.bytes_per_s,
            figures.bytes_per_restart,
            figures.death_known,
            figures.leave_known,
            started.elapsed(),
        );
    }
    for gateways in [4, 16, 64, 256, 370] {
        let moves = measure_moves(gateways, 5, 600, 3, 64, gateways.min(20));
        println!(
            "{gateways:5} gateways: links moved {:.4} (1/n {:.4}), owners moved {:.4}, most/mean {:.2}",
            moves.sidecar_links,
            1.0 / gateways as f64,
            moves.shard_owners,
            moves.most_to_mean,
        );
    }
    print_parting();
    print_processor_time();
}

/// The return of two halves that held each other dead.
fn print_parting() {
    for nodes in [16, 64, 256] {
        let mut fleet = settled_fleet(nodes, 4, &MembershipSettings::default(), encoded_bytes);
        let west = |vm: &VmName| vm.as_str().ends_with(['0', '2', '4', '6', '8']);
        let until = fleet.now() + Duration::from_secs(60);
        fleet.run_until(until, &mut |from: &VmName, to: &VmName, at| {
            if west(from) == west(to) { usual_link(from, to, at) } else { None }
        });
        fleet.take_sent();
        let healed = fleet.now();
        let whole = |table: &MemberTable| table.roster().len() == nodes;
        while fleet.running().any(|(_, table)| !whole(table)) {
            let until = fleet.now() + Duration::from_millis(500);
            fleet.run_until(until, &mut usual_link);
        }
        let taken = fleet.now().since(healed);
        let until = fleet.now() + Duration::from_secs(60);
        fleet.run_until(until, &mut usual_link);
        let bytes = fleet.take_sent().bytes / nodes as u64;
        println!(
            "{nodes:5} nodes: halves are one after {taken:?}, {bytes} bytes a node in that and 60 s"
        );
    }
}

/// Processor time of the decisions alone.
fn print_processor_time() {
    let settings = MembershipSettings::default();
    for nodes in [4, 16, 64, 256, 370] {
        let mut fleet = settled_fleet(nodes, 5, &settings, |_| 0);
        let span = Duration::from_secs(120);
        let started = Instant::now();
        let until = fleet.now() + span;
        fleet.run_until(until, &mut usual_link);
        let share = started.elapsed().as_secs_f64() / nodes as f64 / span.as_secs_f64();
        println!("{nodes:5} nodes: {:.4}% of a core a node when nothing changes", share * 100.0);
    }
}

/// Memory of the largest fleet; first of all, for freed memory would be used again.
fn print_memory() {
    const NODES: usize = 370;
    let before = resident_bytes();
    let fleet = settled_fleet(NODES, 5, &MembershipSettings::default(), |_| 0);
    let held = resident_bytes().saturating_sub(before) / fleet.running().count();
    println!("{NODES} nodes: {} KB resident a node", held / 1_024);
}

fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok());
    pages.unwrap_or_default() * PAGE
}

fn encoded_bytes(message: &GossipMessage) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    bytes.len()
}
