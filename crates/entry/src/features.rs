//! Optional features of a gateway, as its settings call for them.

use notch_platform_wire::settings::declares_shared_targets;
use notch_settings::prelude::{EntryConfig, FeatureSwitch};

/// Optional features of a gateway.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GatewayFeatures {
    /// Near the limit of an account, new requests go before those of clients that were refused before.
    pub new_requests_first: bool,
    /// Home gateways offer free slots to the gateway with the most urgent items.
    pub item_slots: bool,
    /// Failures and pace of targets are learned and shared.
    pub performance: bool,
    /// The idle time after which connections to targets are still reused is learned.
    pub keep_connections: bool,
    /// Entries of gateways that were removed for good are deleted.
    pub eviction: bool,
    /// Slots are shared among accounts when nearly all are in use.
    pub fair_shares: bool,
}

impl GatewayFeatures {
    /// The features that `config` calls for.
    pub fn of(config: &EntryConfig) -> Self {
        let fleet = &config.fleet;
        let shares_targets = fleet.declared.as_deref().is_some_and(declares_shared_targets);
        let is_on = |switch: FeatureSwitch| switch.is_on(shares_targets);
        Self {
            new_requests_first: is_on(config.accounts.new_requests_first),
            item_slots: is_on(fleet.share_item_slots),
            performance: is_on(fleet.learn_performance),
            keep_connections: is_on(fleet.keep_connections),
            eviction: is_on(fleet.evict_gateways),
            fair_shares: is_on(fleet.share_slots_fairly),
        }
    }
}
