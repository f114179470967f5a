//! Failed runs of an item, as several gateways count them.

use notch_relay::prelude::{FailedRun, FailedRuns};

/// Attempts of an item that are more than the runs that are named.
const ATTEMPTS: u32 = 100;

fn run(number: u32) -> FailedRun {
    FailedRun { id: u64::from(number), is_impossible: false }
}

/// Guards against an item with many attempts that is run for ever: failures beyond those that are named were not counted.
#[test]
fn an_item_with_many_attempts_is_given_up_after_them() {
    let mut failed = FailedRuns::default();
    for number in 1..=ATTEMPTS {
        assert!(!failed.exhausts(ATTEMPTS), "given up after {} runs", failed.count);
        assert!(failed.note(run(number)));
    }
    assert!(failed.exhausts(ATTEMPTS));
    let mut other = FailedRuns::default();
    assert!(other.join(&failed), "what the next owner is told");
    assert!(other.exhausts(ATTEMPTS));
}
