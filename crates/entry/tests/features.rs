//! Which optional features the settings of a gateway turn on.

use notch_entry::features::GatewayFeatures;
use notch_settings::{EntryConfig, SettingsFile};
use rstest::rstest;

const NODE: &str = "[node]\nvm = g-1\ndomain = fd-1\nregion = r-1\n";

fn features(text: &str) -> GatewayFeatures {
    let file = SettingsFile::parse(&format!("{NODE}{text}"));
    GatewayFeatures::of(&EntryConfig::from_file(&file).expect("the settings are valid"))
}

/// Guards against a feature that changes a deployment whose settings do not call for it.
#[rstest]
#[case::no_section("")]
#[case::not_declared(
    "[fleet]\ndeclared = base,batch\nshare_item_slots = declared\nlearn_performance = declared\n"
)]
#[case::nothing_declared("[fleet]\nevict_gateways = declared\nshare_slots_fairly = declared\n")]
fn features_are_off_unless_called_for(#[case] text: &str) {
    assert_eq!(features(text), GatewayFeatures::default());
}

#[test]
fn features_are_on_where_shared_targets_are_declared() {
    let text = "[accounts]\nnew_requests_first = on\n[fleet]\ndeclared = base, pool\nshare_item_slots = declared\n\
                learn_performance = declared\nkeep_connections = declared\nevict_gateways = on\n\
                share_slots_fairly = declared\n";
    let all = GatewayFeatures {
        new_requests_first: true,
        item_slots: true,
        performance: true,
        keep_connections: true,
        eviction: true,
        fair_shares: true,
    };
    assert_eq!(features(text), all);
}

/// Guards against a misspelled switch that is taken for `off`.
#[test]
fn an_unknown_switch_is_an_error() {
    let file = SettingsFile::parse(&format!("{NODE}[fleet]\nevict_gateways = yes\n"));
    assert!(EntryConfig::from_file(&file).is_err());
}
