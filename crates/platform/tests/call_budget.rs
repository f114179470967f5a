//! The call budget against a naive count over every window.

use std::time::Duration;

use notch_platform::{BudgetSettings, CallBudget};
use notch_types::time::MonoTime;
use proptest::{prelude::*, test_runner::RngSeed};

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41), cases: 200, failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_window_holds_more_than_burst_and_rate(
        rate in 1_u32..500,
        burst in 1_u32..50,
        gaps in prop::collection::vec(0_u64..200_000, 1..200),
    ) {
        let settings = BudgetSettings { calls_per_second: rate.into(), burst: burst.into() };
        let mut budget = CallBudget::new(settings, MonoTime::default());
        let mut now = MonoTime::default();
        let mut taken: Vec<MonoTime> = Vec::new();
        for gap in gaps {
            now = now + Duration::from_micros(gap);
            if let Err(wait) = budget.take(now) {
                // The wait it names is neither too short nor more than a step too long.
                now = now + wait + Duration::from_micros(2);
                prop_assert!(budget.take(now).is_ok());
            }
            taken.push(now);
        }
        for (first, from) in taken.iter().enumerate() {
            for (last, to) in taken.iter().enumerate().skip(first) {
                let allowed = f64::from(burst) + to.since(*from).as_secs_f64() * f64::from(rate);
                prop_assert!(((last - first + 1) as f64) <= allowed + 1e-6);
            }
        }
        let span = Duration::from_secs(10);
        let recent = taken.iter().filter(|at| now.since(**at) < span).count();
        let counted = budget.rate(now) * span.as_secs_f64();
        // Cells are half a second wide: calls at the far edge may be left out, never added.
        prop_assert!(counted <= recent as f64 + 1e-6);
        let surely = taken.iter().filter(|at| now.since(**at).as_millis() < 9_500).count();
        prop_assert!(counted + 1e-6 >= surely as f64);
    }
}
