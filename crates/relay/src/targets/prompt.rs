//! What a request says of its prompt.

use notch_types::prelude::*;

/// The beginning of a prompt, up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Of all its parts and the model: a target that has read them needn't read them again.
    pub fingerprint: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// The beginnings of a request's prompt, the shortest first; none where the request doesn't say.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PromptPrefixes(Vec<PromptPrefix>);

impl PromptPrefixes {
    /// The beginnings of a prompt for `model` that consists of `parts`, each with its id and tokens.
    pub fn of_parts<'a>(model: &str, parts: impl IntoIterator<Item = (&'a str, u32)>) -> Self {
        let mut fingerprint = stable_hash64(&[model.as_bytes()]);
        let mut tokens = 0_u32;
        let heads = parts.into_iter().map(|(id, part_tokens)| {
            fingerprint = stable_hash64(&[&fingerprint.to_be_bytes(), id.as_bytes()]);
            tokens = tokens.saturating_add(part_tokens);
            PromptPrefix { fingerprint, tokens }
        });
        Self(heads.collect())
    }

    /// The beginnings, the shortest first.
    pub fn as_slice(&self) -> &[PromptPrefix] {
        &self.0
    }
}
