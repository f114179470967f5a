//! A gateway that gets most new connections.

use notch_lab::prelude::*;

const SEEDS: u64 = 10;

/// Guards against requests that are lost at a crowded gateway while the others have processor time to spare: at least three
/// quarters as many must be served as before the crowd.
#[test]
fn a_crowded_gateway_leaves_connections_to_the_others() {
    for seed in 1..=SEEDS {
        let outcome = CrowdedGatewayStudy::default().run(seed);
        println!("{outcome:?}");
        assert!(outcome.kept_share() >= 0.75, "seed {seed}: {outcome:?}");
        assert!(outcome.turned_away > 0);
    }
}

/// Guards against a study that could not tell the difference: without the gate requests are lost.
#[test]
fn without_the_gate_requests_are_lost() {
    let study = CrowdedGatewayStudy { turns_away: false, ..CrowdedGatewayStudy::default() };
    for seed in 1..=SEEDS {
        let outcome = study.run(seed);
        println!("{outcome:?}");
        assert!(outcome.kept_share() < 0.75, "seed {seed}: {outcome:?}");
    }
}
