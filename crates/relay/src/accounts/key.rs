//! Digests of API keys. Keys themselves are never stored, logged or forwarded.

use notch_types::prelude::stable_hash128;

/// Digest of an API key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AccountKey(u128);

impl AccountKey {
    /// Computes the digest of `key`.
    pub fn of(key: &str) -> Self {
        Self(stable_hash128(&[b"account key", key.as_bytes()]))
    }

    /// Parses a digest written by [`to_hex`](Self::to_hex).
    pub fn from_hex(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(Self)
    }

    /// Formats the digest as hexadecimal text.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }
}
