//! What the catalogue says about dispatch.

use std::collections::BTreeMap;

use notch_types::prelude::*;

/// Dispatch limits of one target.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetPolicy {
    /// Most items of one lot.
    pub lot_items: u32,
    /// Most items leased at once over all VMs.
    pub max_leased: u32,
    /// Share of the target that late jobs may claim as floor, `0.0..=1.0`.
    pub floor_share: f64,
    /// Whether items are handed out at all; false for a retired entry.
    pub open: bool,
}

impl Default for TargetPolicy {
    fn default() -> Self {
        Self { lot_items: 8, max_leased: u32::MAX, floor_share: 0.2, open: true }
    }
}

/// Dispatch limits of every target and weights of every account.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobPolicy {
    /// By target; a target without an entry gets the settings' lot size and the default limits.
    pub targets: BTreeMap<TargetName, TargetPolicy>,
    /// By account; 1 where there is no entry. An account of weight 2 gets twice the items of one
    /// of weight 1 while both have open items for the same target.
    pub account_weights: BTreeMap<AccountName, u32>,
}
