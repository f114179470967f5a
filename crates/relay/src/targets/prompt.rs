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

/// Prefixes of a request's prompt, shortest first; empty if the request does not describe its
/// prompt.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptPrefixes(Vec<PromptPrefix>);

impl PromptPrefixes {
    /// Prefixes of a prompt for `model` that consists of `parts`, each given as id and token count.
    pub fn of_parts<'a>(model: &str, parts: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let mut fingerprint = stable_hash64(&[model.as_bytes()]);
        let mut tokens = 0_u32;
        let prefixes = parts.into_iter().map(|(id, part_tokens)| {
            fingerprint = stable_hash64(&[&fingerprint.to_be_bytes(), id.as_bytes()]);
            tokens = tokens.saturating_add(part_tokens);
            PromptPrefix { fingerprint, tokens }
        });
        Self(prefixes.collect())
    }

    /// The prefixes, shortest first.
    pub fn as_slice(&self) -> &[PromptPrefix] {
        &self.0
    }
}
