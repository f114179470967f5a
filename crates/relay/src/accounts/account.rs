//! One client account.

use notch_types::prelude::AccountName;

use crate::accounts::key::AccountKey;

/// How many online requests an account may send, at all gateways together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountLimit {
    /// Requests a second in the long run. Above 0.
    pub per_second: f64,
    /// Requests beyond that at once. At least 1.
    pub burst: f64,
}

/// One client account.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// Its name, unique in a configuration.
    pub name: AccountName,
    /// Rank of its requests, 0 the highest; goes before that of the route.
    pub priority: u32,
    /// `None` for no limit.
    pub limit: Option<AccountLimit>,
}

/// A client account with its keys, as the configuration names it.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountEntry {
    /// The account.
    pub account: ClientAccount,
    /// Its keys. None means that nobody can use it now.
    pub keys: Vec<AccountKey>,
}
