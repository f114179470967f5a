//! Finds the account of a request by its key.

use std::sync::Arc;

use notch_types::prelude::*;

use crate::accounts::{
    account::{AccountEntry, ClientAccount},
    key::AccountKey,
};

/// Who sends a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerIdentity {
    /// Nobody in particular: there are no accounts, or the route is open to all.
    Anyone,
    /// This account.
    Account(Arc<ClientAccount>),
    /// Somebody without a key of any account, where one is needed.
    Unknown,
}

impl CallerIdentity {
    /// The account's name; empty for nobody in particular.
    pub fn account_name(&self) -> &str {
        match self {
            Self::Account(account) => account.name.as_str(),
            Self::Anyone | Self::Unknown => "",
        }
    }
}

/// The accounts of one configuration.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: FastMap<AccountKey, Arc<ClientAccount>>,
    by_name: FastMap<AccountName, Arc<ClientAccount>>,
}

impl AccountTable {
    /// Orders accounts for look-ups.
    pub fn new(entries: Vec<AccountEntry>) -> Self {
        let mut table = Self::default();
        for AccountEntry { account, keys } in entries {
            let account = Arc::new(account);
            for key in keys {
                table.by_key.insert(key, Arc::clone(&account));
            }
            table.by_name.insert(account.name.clone(), account);
        }
        table
    }

    /// The account of a key.
    pub fn find(&self, key: AccountKey) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(&key)
    }

    /// The account of that name.
    pub fn named(&self, name: &AccountName) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name)
    }
}

/// Whether a caller may see or end a job of the account `owner`. Jobs of no account are open to all.
pub fn may_access(owner: &str, caller: &str) -> bool {
    owner.is_empty() || owner == caller
}
