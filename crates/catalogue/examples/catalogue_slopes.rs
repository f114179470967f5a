//! Prints what the catalogue costs a node against the number of gateways, and how soon a change is
//! in force everywhere.

#![allow(clippy::print_stdout)]

use std::time::{Duration, Instant};

use notch_catalogue::{
    CatalogueSettings,
    probe::{measure, settled_fleet, usual_store},
};
use notch_membership::probe::usual_link;
use notch_messages::gossip::GossipMessage;

const ENTRIES: usize = 1_000;
/// Entries of the two-year size, for memory.
const ALL_ENTRIES: usize = 11_010;

fn main() {
    print_memory();
    println!("nodes fanout  msg/s  B/s  store calls/s  B/change  in force most, mean");
    for nodes in [4, 16, 64, 256, 370] {
        for push_fanout in [2, 4, 8] {
            let settings = CatalogueSettings { push_fanout, ..CatalogueSettings::default() };
            let started = Instant::now();
            let figures = measure(nodes, 5, ENTRIES, 60, 20, &settings, encoded_bytes);
            println!(
                "{:5} {push_fanout:6}  {:5.2}  {:4.0}  {:13.2}  {:8.0}  {:?} {:?}  ({:.1?} in all)",
                figures.nodes,
                figures.messages_per_s,
                figures.bytes_per_s,
                figures.store_calls_per_s,
                figures.bytes_per_change,
                figures.in_force_most,
                figures.in_force_mean,
                started.elapsed(),
            );
        }
    }
    print_processor_time();
}

/// Processor time of the decisions alone.
fn print_processor_time() {
    let settings = CatalogueSettings::default();
    for nodes in [16, 64, 256] {
        let mut fleet = settled_fleet(nodes, 5, 100, &settings, |_| 0);
        let span = Duration::from_secs(120);
        let started = Instant::now();
        let until = fleet.now() + span;
        fleet.run_until(until, &mut usual_link, &mut usual_store);
        let share = started.elapsed().as_secs_f64() / nodes as f64 / span.as_secs_f64();
        println!("{nodes:5} nodes: {:.4}% of a core a node when nothing changes", share * 100.0);
    }
}

/// Memory with a full catalogue; first of all, for freed memory would be used again.
fn print_memory() {
    const NODES: usize = 8;
    let before = resident_bytes();
    let fleet = settled_fleet(NODES, 4, ALL_ENTRIES, &CatalogueSettings::default(), |_| 0);
    let held = resident_bytes().saturating_sub(before) / NODES;
    println!(
        "{ALL_ENTRIES} entries: {} KB resident a node, {:?} of virtual time until all were ready",
        held / 1_024,
        fleet.now(),
    );
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
