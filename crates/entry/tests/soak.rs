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

/// Guards against broken guarantees when a gateway that was frozen is evicted, comes back and registers again while other
/// faults go on.
#[test]
fn a_soak_with_an_evicted_gateway_breaks_no_guarantee() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-evicted");
    let settings = SoakSettings {
        seed: 5,
        duration: Duration::from_secs(20),
        program: PathBuf::from(env!("CARGO_BIN_EXE_notch-entry")),
        folder: folder.clone(),
        evicts_gateways: true,
        ..SoakSettings::default()
    };
    let logs = ["gateway-0.log", "gateway-1.log", "gateway-2.log"].map(|name| folder.join(name));
    logs.iter().for_each(|log| drop(std::fs::remove_file(log)));
    let report = task::block_on(run_soak(&settings)).expect("the gateways start");
    assert_eq!(report.broken, [], "faults: {:#?}", report.faults);
    assert!(report.jobs > 0 && report.requests > 0, "no load was generated: {report:?}");
    let texts = logs.iter().filter_map(|log| std::fs::read_to_string(log).ok());
    let evicted = texts.filter(|text| text.contains("outcome=evicted")).count();
    assert!(evicted > 0, "the frozen gateway was not evicted");
}
