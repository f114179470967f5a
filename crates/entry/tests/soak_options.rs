//! Short soaks with accounts that have limits and with offers of slots for items.

use std::{path::PathBuf, time::Duration};

use async_std::task;
use notch_soak::prelude::*;
use rstest::rstest;

/// Runs a short soak and returns the gateways' logs.
fn run_with_logs(settings: SoakSettings) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(&settings.folder);
    let logs = ["gateway-0.log", "gateway-1.log", "gateway-2.log"].map(|name| folder.join(name));
    logs.iter().for_each(|log| drop(std::fs::remove_file(log)));
    let duration = Duration::from_secs(12);
    let program = PathBuf::from(env!("CARGO_BIN_EXE_notch-entry"));
    let settings = SoakSettings { duration, program, folder, ..settings };
    let report = task::block_on(run_soak(&settings)).expect("the gateways start");
    assert_eq!(report.broken, [], "faults: {:#?}", report.faults);
    assert!(report.jobs > 0 && report.requests > 0, "no load was generated: {report:?}");
    logs.iter().filter_map(|log| std::fs::read_to_string(log).ok()).collect()
}

/// Guards against an account that is admitted above its limit while gateways are killed, frozen and cut off from each
/// other.
#[test]
fn a_soak_with_a_hot_account_keeps_its_limit() {
    let folder = PathBuf::from("soak-accounts");
    let logs =
        run_with_logs(SoakSettings { limits_accounts: true, folder, ..SoakSettings::default() });
    let refused =
        |line: &&str| line.contains("reason=over_account_limit") && line.contains("account=hot");
    assert!(logs.lines().filter(refused).count() > 100, "the limit was hardly reached");
}

/// Guards against broken guarantees when homes are frozen that offer slots for items.
#[test]
fn a_soak_with_frozen_homes_breaks_no_guarantee() {
    let folder = PathBuf::from("soak-homes");
    let logs =
        run_with_logs(SoakSettings { offers_items: true, folder, ..SoakSettings::default() });
    assert!(logs.contains("slot=offered"), "no item started in an offered slot");
}

/// Guards against streams and results that two software versions wrote, under faults that make clients take streams up at
/// other gateways and targets of either version come and go.
#[test]
fn a_soak_with_two_versions_mixes_no_events() {
    let folder = PathBuf::from("soak-versions");
    let settings = SoakSettings { mixes_versions: true, folder, ..SoakSettings::default() };
    let logs = run_with_logs(settings);
    assert!(logs.contains("software=v1") && logs.contains("software=v2"), "both versions ran");
}

/// Guards against streams and results that two versions wrote where a gateway is out of step while a version is released.
/// Seeds 2 and 5 joined streams: the gateway took its view of the targets for current.
#[rstest]
fn a_soak_of_releases_beside_a_gateway_out_of_step_mixes_no_events(#[values(2, 5)] seed: u64) {
    let folder = PathBuf::from(format!("soak-releases-{seed}"));
    let settings =
        SoakSettings { seed, releases_versions: true, folder, ..SoakSettings::default() };
    let logs = run_with_logs(settings);
    assert!(logs.contains("software=v1") && logs.contains("software=v2"), "both versions ran");
}

/// Guards against results that reach the reader of another job, and items that run again and again, while gateways are
/// killed. Seed 13: an answer to a call of an earlier process was taken for the answer to another one.
#[test]
fn a_soak_with_failing_items_gives_each_reader_its_own_results() {
    let folder = PathBuf::from("soak-failing");
    run_with_logs(SoakSettings { seed: 13, fails_items: true, folder, ..SoakSettings::default() });
}

/// Guards against items that fail at each run and are tried again and again, as their failures break off or all gateways are
/// lost that counted them.
#[test]
fn a_soak_with_failing_items_keeps_their_bound_when_all_gateways_are_lost() {
    let folder = PathBuf::from("soak-failing-lost");
    let settings = SoakSettings { fails_items: true, kills_all: true, ..SoakSettings::default() };
    let logs = run_with_logs(SoakSettings { gateways: 4, targets: 18, folder, ..settings });
    assert!(logs.contains("event=item_failure_counted"), "items failed");
}

/// Guards against requests that crash target after target while gateways are killed, stopped and frozen.
#[test]
fn a_soak_with_a_crashing_prompt_part_crashes_few_targets() {
    let folder = PathBuf::from("soak-parts");
    let settings = SoakSettings { crashes_parts: true, folder, ..SoakSettings::default() };
    let logs = run_with_logs(settings);
    assert!(logs.contains("event=prompt_part_refused"), "the part was refused");
}

/// Guards against a request that comes again and crashes target after target while gateways are killed, stopped and frozen,
/// and sound requests that share a prompt part with it. Seed 1024: a gateway refused sound requests for good, and a request
/// that crashed targets used up the probes of its part.
#[rstest]
fn a_soak_with_crashing_requests_crashes_few_targets(#[values(1, 1024)] seed: u64) {
    let folder = PathBuf::from(format!("soak-requests-{seed}"));
    let settings = SoakSettings { seed, crashes_requests: true, folder, ..SoakSettings::default() };
    let logs = run_with_logs(settings);
    assert!(logs.contains("event=request_crashes_targets"), "a request was refused");
}

/// Guards against sound requests that stay refused because a probe of their part was broken off by the crash of another
/// suspect's, or used by the guilty request after the counting gateways were killed.
#[rstest]
#[case(SoakSettings { seed: 2106, mixes_versions: true, offers_items: true, ..SoakSettings::default() })]
#[case(SoakSettings { seed: 2110, mixes_versions: true, offers_items: true, ..SoakSettings::default() })]
#[case(SoakSettings { seed: 2308, limits_accounts: true, ..SoakSettings::default() })]
fn a_soak_with_several_culprits_serves_sound_requests(#[case] settings: SoakSettings) {
    let folder = PathBuf::from(format!("soak-culprits-{}", settings.seed));
    run_with_logs(SoakSettings { crashes_parts: true, crashes_requests: true, folder, ..settings });
}

/// Guards against broken guarantees at a gateway that gets most new connections, beside all other faults.
#[test]
fn a_soak_with_floods_of_connections_breaks_no_guarantee() {
    let folder = PathBuf::from("soak-floods");
    let settings = SoakSettings { floods_gateways: true, folder, ..SoakSettings::default() };
    run_with_logs(settings);
}

/// Guards against a sound request that stays refused for the crashes of a prompt part: a gateway was not ready within 30 s
/// after the faults of this seed.
#[test]
fn a_soak_of_all_options_breaks_no_guarantee() {
    let folder = PathBuf::from("soak-all");
    run_with_logs(SoakSettings {
        seed: 100,
        mixes_versions: true,
        crashes_parts: true,
        floods_gateways: true,
        offers_items: true,
        folder,
        ..SoakSettings::default()
    });
}

/// Guards against requests and items that crash one target after another: runs of items counted nowhere, and a request had a probe
/// whenever its pause was over.
#[test]
fn a_soak_of_requests_and_items_that_crash_targets_crashes_few() {
    let folder = PathBuf::from("soak-resent");
    let settings = SoakSettings {
        resends_crashing: true,
        names_deadlines: true,
        fault_gap: Some(Duration::from_secs(8)),
        ..SoakSettings::default()
    };
    let logs = run_with_logs(SoakSettings { gateways: 4, targets: 18, folder, ..settings });
    assert!(logs.contains("event=request_probe_started"), "a probe was claimed");
}
