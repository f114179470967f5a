//! Prints what membership costs a node against the number of gateways.

#![allow(clippy::print_stdout)]

use notch_membership::probe::{measure, measure_moves};
use notch_messages::gossip::GossipMessage;

fn main() {
    println!("nodes  msg/s  B/s  B/restart  death known  leave known");
    for nodes in [4, 16, 64, 256, 370] {
        let started = std::time::Instant::now();
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
}

fn encoded_bytes(message: &GossipMessage) -> usize {
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).expect("a message can be encoded");
    bytes.len()
}
