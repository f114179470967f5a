//! Maps with a fast hasher, and digests that are the same on every node and in every run.

use sha2::{Digest, Sha256};

/// Hash map with a fast, non-cryptographic hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
/// Hash set with a fast, non-cryptographic hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// A 128-bit digest of `parts`, stable across nodes, builds and runs.
/// Each part is length-prefixed, so that `("ab", "c")` and `("a", "bc")` differ.
pub fn stable_hash128(parts: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    let mut head = [0_u8; 16];
    head.copy_from_slice(&digest[..16]);
    u128::from_le_bytes(head)
}

/// The low 64 bits of [`stable_hash128`].
pub fn stable_hash64(parts: &[&[u8]]) -> u64 {
    stable_hash128(parts) as u64
}
