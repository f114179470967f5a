//! Client accounts as configured.

use notch_types::prelude::AccountName;

use crate::accounts::key::AccountKey;

/// Rate limit of an account's online requests over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Sustained requests per second. Above 0.
    pub per_second: f64,
    /// Burst size in requests. At least 1.
    pub burst: f64,
}

/// One client account.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// Name of the account, unique in a configuration.
    pub name: AccountName,
    /// Priority of the account's requests, 0 being the highest. It takes precedence over the
    /// priority of the route.
    pub priority: u32,
    /// Rate limit; `None` if unlimited.
    pub limit: Option<AccountLimit>,
}

/// A client account with its keys, as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountEntry {
    /// The account.
    pub account: ClientAccount,
    /// Keys of the account. If empty, the account is currently unusable.
    pub keys: Vec<AccountKey>,
}
