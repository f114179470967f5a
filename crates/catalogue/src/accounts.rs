//! Callers' keys: found by hash, compared in constant time.

use std::collections::BTreeSet;

use notch_types::prelude::*;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// A caller's key as the catalogue keeps it.
pub type KeyDigest = [u8; 32];

/// The digest of a caller's key.
pub fn key_digest(key: &str) -> KeyDigest {
    Sha256::digest(key.as_bytes()).into()
}

/// Accounts by the digest of their key.
///
/// Bound: one element an account in force. Two accounts with one key are an operator's mistake;
/// the lower name is found, on every node alike.
#[derive(Debug, Clone, Default)]
pub struct AccountIndex {
    names: FastMap<KeyDigest, BTreeSet<AccountName>>,
}

impl AccountIndex {
    /// Files an account.
    pub fn insert(&mut self, digest: KeyDigest, account: &AccountName) {
        self.names.entry(digest).or_default().insert(account.clone());
    }

    /// Forgets an account under this digest.
    pub fn remove(&mut self, digest: &KeyDigest, account: &AccountName) {
        let Some(names) = self.names.get_mut(digest) else { return };
        names.remove(account);
        if names.is_empty() {
            self.names.remove(digest);
        }
    }

    /// The account whose key this is.
    ///
    /// The look-up goes by a digest that the caller can't steer, and the comparison takes the
    /// same time wherever the digests differ, so that timing tells nothing of a stored one.
    pub fn find(&self, key: &str) -> Option<&AccountName> {
        let digest = key_digest(key);
        let (stored, names) = self.names.get_key_value(&digest)?;
        let same = bool::from(stored.as_slice().ct_eq(digest.as_slice()));
        names.first().filter(|_| same)
    }
}
