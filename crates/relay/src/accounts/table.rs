//! Look-up of accounts by key.

use std::sync::Arc;

use notch_types::prelude::*;

use crate::{
    accounts::{
        account::{AccountEntry, ClientAccount},
        key::AccountKey,
    },
    fairness::key::{MAX_KEY_BYTES, share_key},
};

/// Sender of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerIdentity {
    /// No particular account: no accounts are configured, or the route is public.
    Anyone,
    /// An account.
    Account(Arc<ClientAccount>),
    /// A key is required, but none of a known account was given.
    Unknown,
}

impl CallerIdentity {
    /// Name of the account; empty if there is none.
    pub fn account_name(&self) -> &str {
        match self {
            Self::Account(account) => account.name.as_str(),
            Self::Anyone | Self::Unknown => "",
        }
    }
}

/// Accounts of one configuration.
#[derive(Debug, Default)]
pub struct AccountTable {
    by_key: FastMap<AccountKey, Arc<ClientAccount>>,
    by_name: FastMap<AccountName, Arc<ClientAccount>>,
    /// Accounts whose share key is a hash, as their names are long.
    by_hashed_key: FastMap<String, Arc<ClientAccount>>,
}

impl AccountTable {
    /// Indexes accounts by key and name.
    pub fn new(entries: Vec<AccountEntry>) -> Self {
        let mut table = Self::default();
        for AccountEntry { account, keys } in entries {
            let account = Arc::new(account);
            for key in keys {
                table.by_key.insert(key, Arc::clone(&account));
            }
            if account.name.as_str().len() > MAX_KEY_BYTES {
                let key = share_key(Some(account.name.as_str()), "").into_owned();
                table.by_hashed_key.insert(key, Arc::clone(&account));
            }
            table.by_name.insert(account.name.clone(), account);
        }
        table
    }

    /// The account of a key.
    pub fn find(&self, key: AccountKey) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(&key)
    }

    /// The account with a name.
    pub fn named(&self, name: &AccountName) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name)
    }

    /// The account whose use is counted by a share key.
    pub fn with_share_key(&self, key: &str) -> Option<&Arc<ClientAccount>> {
        self.named(&AccountName::new(key)).or_else(|| self.by_hashed_key.get(key))
    }
}

/// Whether a caller may read or end a job of account `owner`. Jobs without an account are
/// accessible to all callers.
pub fn may_access(owner: &str, caller: &str) -> bool {
    owner.is_empty() || owner == caller
}
