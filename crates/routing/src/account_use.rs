//! How near a limit an account is at one gateway.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a gateway tells the others of an account near its limit; the payload of
/// `RumorTopic::AccountUse`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The account.
    pub account: AccountName,
    /// Requests a second asked for here, smoothed, refused ones included.
    pub demand_per_s: f64,
    /// Requests in flight here.
    pub in_flight: u32,
}
