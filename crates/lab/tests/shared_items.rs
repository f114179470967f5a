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
    let policies = [
        SelectionPolicy::HomeGateways,
        SelectionPolicy::SharedItems,
        SelectionPolicy::UnsortedItems,
        SelectionPolicy::Oracle,
    ];
    let results = PatternComparison::run(&pattern, &policies, SEEDS);
    let late = |policy| mean(&results, policy, SimOutcome::late_items);
    let free = |policy| mean(&results, policy, SimOutcome::free_while_waiting_share);
    let online = |policy| mean(&results, policy, SimOutcome::online_share);
    assert!(late("homes") > 5.0, "the load is too low: {} items are late", late("homes"));
    for policy in ["shared-items", "unsorted-items"] {
        assert!(late(policy) <= late("all-knowing") + 1.0, "{policy}: {}", late(policy));
        assert!(online(policy) >= online("homes"), "{policy}: {}", online(policy));
    }
    // Where items with time leave the slots of the next peak free, these slots are free by intention while items wait.
    assert!(free("unsorted-items") < 0.75 * free("homes"), "{}", free("unsorted-items"));
    // A longer time or a larger margin for which they are kept would leave more of them unused.
    assert!(free("shared-items") < 0.2, "{}", free("shared-items"));
}

// Guards against items that start before a peak in the slots that it takes, although they have time to wait.
#[test]
fn items_with_time_leave_the_slots_of_peaks_free() {
    let pattern = LoadPattern::named("uneven-jobs").expect("a predefined pattern");
    let policies = [SelectionPolicy::UnsortedItems, SelectionPolicy::SharedItems];
    let results = PatternComparison::run(&pattern, &policies, SEEDS);
    let preempted = |policy| mean(&results, policy, |o| o.cut_runs as f64 / o.items as f64);
    let online = |policy| mean(&results, policy, SimOutcome::online_share);
    assert!(preempted("unsorted-items") > 1.0, "{}", preempted("unsorted-items"));
    assert!(preempted("shared-items") <= 0.8, "{}", preempted("shared-items"));
    assert_eq!(mean(&results, "shared-items", SimOutcome::late_items), 0.0);
    assert!(online("shared-items") >= 0.9993, "{}", online("shared-items"));
}

// Guards against items kept waiting until they are late, and against fewer requests in time, where peaks need nine
// tenths of all slots or more.
#[test]
fn slots_kept_for_peaks_make_no_items_late() {
    for (name, late, online) in [("crests", 0.0, 0.9959), ("high-crests", 16.6, 0.9070)] {
        let pattern = LoadPattern::named(name).expect("a predefined pattern");
        let results = PatternComparison::run(&pattern, &[SelectionPolicy::SharedItems], 5);
        let shown = mean(&results, "shared-items", SimOutcome::late_items);
        assert!(shown <= late, "{name}: {shown}");
        let shown = mean(&results, "shared-items", SimOutcome::online_share);
        assert!(shown >= online, "{name}: {shown}");
    }
}
