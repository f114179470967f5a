//! A short seeded soak of real gateway processes.

use std::{path::PathBuf, time::Duration};

use async_std::task;
use notch_soak::prelude::*;
use rstest::rstest;

#[rstest]
#[case(1)]
#[case(2)]
// An accepted job was run by no gateway: it was read before its acceptance was settled.
#[case(324)]
fn a_short_soak_breaks_no_guarantee(#[case] seed: u64) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let settings = SoakSettings {
        seed,
        duration: Duration::from_secs(8),
        program: PathBuf::from(env!("CARGO_BIN_EXE_notch-entry")),
        folder,
        ..SoakSettings::default()
    };
    let report = task::block_on(run_soak(&settings)).expect("the gateways start");
    assert_eq!(report.broken, [], "faults: {:#?}", report.faults);
    assert!(report.jobs > 0 && report.requests > 0, "no load was generated: {report:?}");
}
