//! Failures of an item, as told to gateways that may take its job over.

use serde::{Deserialize, Serialize};

/// Failures of an item that its targets reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Id of the item.
    pub item: String,
    /// Number of runs that failed.
    pub count: u32,
    /// Whether a target reported that it can never be done.
    pub is_impossible: bool,
}
