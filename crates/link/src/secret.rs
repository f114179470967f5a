//! The secret shared by all processes of a deployment.

use std::{fmt, sync::Arc};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// A shared secret. It is never logged and never sent; only proofs derived from it are sent.
#[derive(Clone)]
pub struct LinkSecret(Arc<[u8]>);

impl LinkSecret {
    /// Creates a secret from bytes without their trailing white space, because files end with a newline.
    pub fn new(bytes: &[u8]) -> Self {
        Self(Arc::from(bytes.trim_ascii_end()))
    }

    /// Whether the secret is empty, which the validation of settings rejects.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// HMAC-SHA256 of the parts, each length-prefixed.
    pub(crate) fn prove(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Checks a proof in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        self.mac(parts).verify_slice(proof).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(&self.0)
            .expect("HMAC takes keys of every length");
        for part in parts {
            mac.update(&(part.len() as u64).to_le_bytes());
            mac.update(part);
        }
        mac
    }
}

impl Default for LinkSecret {
    fn default() -> Self {
        Self::new(b"")
    }
}

impl fmt::Debug for LinkSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkSecret(hidden)")
    }
}
