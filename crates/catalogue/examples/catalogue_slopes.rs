//! Prints what the catalogue costs a node against the number of gateways, and how soon a change is
//! in force everywhere.

#![allow(clippy::print_stdout)]

use notch_catalogue::{CatalogueSettings, probe::measure};
use notch_messages::gossip::GossipMessage;

const ENTRIES: usize = 1_000;

fn main() {
    println!("nodes fanout  msg/s  B/s  store calls/s  B/change  in force most, mean");
    for nodes in [4, 16, 64, 256, 370] {
        for push_fanout in [2, 4, 8] {
            let settings = CatalogueSettings { push_fanout, ..CatalogueSettings::default() };
            let started = std::time::Instant::now();
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
}

fn encoded_bytes(message: &GossipMessage) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    bytes.len()
}
