//! The target selection policies that the simulator compares.

use std::{fmt, str::FromStr};

/// How gateways select targets for requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Uses only the periodic usage reports of the other gateways.
    UsageReports,
    /// Requests slots for online requests from the home gateways of other targets. This is the production behaviour
    /// where slots for items are not shared.
    HomeGateways,
    /// As `HomeGateways`, and home gateways offer free slots to the gateway with the most urgent items.
    SharedItems,
    /// As `SharedItems`, but gateways do not report how many items are urgent, as in builds before that report: items
    /// that could wait for the end of the next peak start in its slots.
    UnsortedItems,
    /// As `HomeGateways`, and learns failures and pace of targets. This is the production behaviour where it is enabled.
    LearnedPerformance,
    /// `SharedItems` and `LearnedPerformance` together.
    SharedItemsLearned,
    /// As `HomeGateways`, and refuses requests of accounts that use more than their fair share of the slots. This is the
    /// production behaviour where it is enabled.
    FairShares,
    /// Sees the current state of every target without delay: a baseline that no real gateway can reach.
    Oracle,
}

impl SelectionPolicy {
    /// Every policy with its command-line name.
    pub const ALL: [(&'static str, Self); 8] = [
        ("reports", Self::UsageReports),
        ("homes", Self::HomeGateways),
        ("shared-items", Self::SharedItems),
        ("unsorted-items", Self::UnsortedItems),
        ("performance", Self::LearnedPerformance),
        ("shared-performance", Self::SharedItemsLearned),
        ("fair-shares", Self::FairShares),
        ("all-knowing", Self::Oracle),
    ];

    /// Whether online requests ask home gateways for slots.
    pub fn has_homes(self) -> bool {
        match self {
            Self::HomeGateways
            | Self::SharedItems
            | Self::UnsortedItems
            | Self::LearnedPerformance
            | Self::SharedItemsLearned
            | Self::FairShares => true,
            Self::UsageReports | Self::Oracle => false,
        }
    }

    /// Whether home gateways offer free slots for items.
    pub fn offers_items(self) -> bool {
        matches!(self, Self::SharedItems | Self::UnsortedItems | Self::SharedItemsLearned)
    }

    /// Whether gateways learn failures and pace of targets.
    pub fn learns_performance(self) -> bool {
        matches!(self, Self::LearnedPerformance | Self::SharedItemsLearned)
    }
}

impl fmt::Display for SelectionPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = Self::ALL.iter().find(|(_, policy)| policy == self);
        f.write_str(named.map_or("", |(name, _)| name))
    }
}

impl FromStr for SelectionPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL.iter().find(|(name, _)| *name == text);
        named.map(|(_, policy)| *policy).ok_or_else(|| format!("no policy {text}"))
    }
}
