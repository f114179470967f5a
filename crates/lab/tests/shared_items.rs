//! Slots for items, offered by homes, under the load pattern that needs them.

use notch_lab::prelude::*;

const SEEDS: u64 = 3;

fn mean(results: &PatternComparison, policy: &str, metric: fn(&SimOutcome) -> f64) -> f64 {
    let found = results.policies.iter().find(|outcomes| outcomes.policy == policy);
    found.expect("a result per policy").mean(metric)
}

// Guards against items that wait at a few gateways while slots are free at the targets of others.
#[test]
fn offered_slots_run_items_of_few_gateways_in_time() {
    let pattern = LoadPattern::named("uneven-jobs").expect("a predefined pattern");
    let policies =
        [SelectionPolicy::HomeGateways, SelectionPolicy::SharedItems, SelectionPolicy::Oracle];
    let results = PatternComparison::run(&pattern, &policies, SEEDS);
    let late = |policy| mean(&results, policy, SimOutcome::late_items);
    let free = |policy| mean(&results, policy, SimOutcome::free_while_waiting_share);
    let online = |policy| mean(&results, policy, SimOutcome::online_share);
    assert!(late("homes") > 5.0, "the load is too low: {} items are late", late("homes"));
    assert!(late("shared-items") <= late("all-knowing") + 1.0, "{}", late("shared-items"));
    // The share includes slots kept for the next peak.
    assert!(free("shared-items") < 0.75 * free("homes"), "{}", free("shared-items"));
    assert!(online("shared-items") >= online("homes"), "{}", online("shared-items"));
}
