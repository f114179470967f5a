//! Peaks that need more slots than there are, with time-outs of the first byte.

use notch_lab::prelude::*;

const SEEDS: u64 = 5;

// Guards against healthy targets being ejected because requests that queued there got no answer in time.
#[test]
fn no_healthy_target_is_left_out_under_overload() {
    let pattern = LoadPattern::named("timed-peaks").expect("a predefined pattern");
    let pattern = LoadPattern { repeatable_share: 1.0, ..pattern };
    let policies = [SelectionPolicy::LearnedPerformance, SelectionPolicy::SharedItemsLearned];
    let comparison = PatternComparison::run(&pattern, &policies, SEEDS);
    for learned in &comparison.policies {
        assert!(learned.mean(|outcome| outcome.late_all_taken as f64) > 100.0, "no overload");
        assert!(learned.outcomes.iter().all(|o| o.max_excluded == 0), "{learned:?}");
    }
}
