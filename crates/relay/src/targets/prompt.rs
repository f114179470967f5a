//! Prompt prefixes of a request.

use notch_types::prelude::*;

/// A prefix of a prompt that ends with one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Fingerprint of the model and all parts of the prefix. A target that has processed them need
    /// not process them again.
    pub fingerprint: u64,
    /// Length of the prefix in tokens.
    pub tokens: u32,
}

/// Maximum number of shared parts of one prompt that are considered.
const MAX_SHARED_PARTS: usize = 16;

/// Prefixes of a request's prompt, shortest first; empty if the request does not describe its
/// prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptPrefixes {
    prefixes: Vec<PromptPrefix>,
    /// Fingerprints of the single parts but the last, which belongs to the request alone. Invariant:
    /// at most [`MAX_SHARED_PARTS`].
    shared_parts: Vec<u64>,
}

impl PromptPrefixes {
    /// Prefixes of a prompt for `model` that consists of `parts`, each given as id and token count.
    pub fn of_parts<'a>(model: &str, parts: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let mut fingerprint = stable_hash64(&[model.as_bytes()]);
        let mut tokens = 0_u32;
        let mut shared_parts = Vec::new();
        let prefixes = parts.into_iter().map(|(id, part_tokens)| {
            shared_parts.push(stable_hash64(&[id.as_bytes()]));
            fingerprint = stable_hash64(&[&fingerprint.to_be_bytes(), id.as_bytes()]);
            tokens = tokens.saturating_add(part_tokens);
            PromptPrefix { fingerprint, tokens }
        });
        let prefixes = prefixes.collect();
        shared_parts.pop();
        shared_parts.truncate(MAX_SHARED_PARTS);
        Self { prefixes, shared_parts }
    }

    /// The prefixes, shortest first.
    pub fn as_slice(&self) -> &[PromptPrefix] {
        &self.prefixes
    }

    /// Fingerprints of the parts that other prompts may share, whatever precedes them there.
    pub fn shared_parts(&self) -> &[u64] {
        &self.shared_parts
    }
}
