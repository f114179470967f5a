//! Sharing of slots among accounts, under the flood of one of them.

use notch_lab::prelude::*;

const SEEDS: u64 = 5;

fn mean(pattern: &LoadPattern, policy: SelectionPolicy) -> PolicyOutcomes {
    let results = PatternComparison::run(pattern, &[policy], SEEDS);
    results.policies.into_iter().next().expect("a result per policy")
}

/// The pattern `flooding-account` with the flood and without it.
fn patterns() -> [LoadPattern; 2] {
    let flooded = LoadPattern::named("flooding-account").expect("a predefined pattern");
    let accounts = flooded.accounts.map(|accounts| AccountLoad { flood: None, ..accounts });
    let calm = LoadPattern { accounts, ..flooded.clone() };
    [flooded, calm]
}

fn light_missed(outcomes: &PolicyOutcomes) -> f64 {
    outcomes.mean(|outcome| outcome.accounts.light_missed_share())
}

// Guards against a flood from one account that takes the slots of all others, and against a rule that
// leaves slots unused while that account asks for them.
#[test]
fn a_flood_leaves_the_light_accounts_their_slots() {
    let [flooded, calm] = patterns();
    let without_flood = light_missed(&mean(&calm, SelectionPolicy::FairShares));
    let former = light_missed(&mean(&flooded, SelectionPolicy::HomeGateways));
    assert!(former > without_flood + 0.01, "the load is too low: {former} of {without_flood}");
    let fair = mean(&flooded, SelectionPolicy::FairShares);
    let missed = light_missed(&fair);
    let heavy = fair.mean(|outcome| outcome.accounts.heavy_share_of_rest());
    assert!(missed <= without_flood + 0.01, "{missed} of {without_flood}: {fair:?}");
    assert!(heavy >= 0.9, "{heavy}: {fair:?}");
}

// Guards against refusals in peaks that fit, in which no account uses more than the others.
#[test]
fn even_peaks_lose_little() {
    let pattern = LoadPattern::named("crests").expect("a predefined pattern");
    let accounts = Some(AccountLoad { light: 40, flood: None });
    let pattern = LoadPattern { accounts, span: std::time::Duration::from_secs(12), ..pattern };
    let in_time = |policy| mean(&pattern, policy).mean(SimOutcome::online_share);
    let (former, fair) =
        (in_time(SelectionPolicy::HomeGateways), in_time(SelectionPolicy::FairShares));
    assert!(fair >= former - 0.01, "{fair} of {former}");
}
