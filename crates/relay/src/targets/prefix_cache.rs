//! Index of the prompt prefixes that targets are likely to have cached.

use std::collections::VecDeque;

use notch_types::prelude::*;

use crate::targets::prompt::PromptPrefixes;

/// Maximum number of prefixes remembered; the oldest are evicted first. A gateway forwards 20
/// requests a second with two or three prefixes each, and targets keep prefixes for some seconds.
const MAX_PREFIXES: usize = 4_096;
/// Maximum number of targets remembered for one prefix: the most recent ones.
const MAX_TARGETS_PER_PREFIX: usize = 4;

/// Prompt prefixes that targets are likely to have cached, based on the requests that this gateway
/// sent them.
#[derive(Debug, Default)]
pub struct PrefixCacheIndex {
    /// Targets by prefix fingerprint, most recent first.
    targets: FastMap<u64, Vec<String>>,
    /// Fingerprints in insertion order.
    ages: VecDeque<u64>,
}

impl PrefixCacheIndex {
    /// Records that a request with this prompt is sent to `target`.
    pub fn note(&mut self, prompt: &PromptPrefixes, target: &str) {
        for prefix in prompt.as_slice() {
            let list = self.targets.entry(prefix.fingerprint).or_insert_with(|| {
                self.ages.push_back(prefix.fingerprint);
                Vec::new()
            });
            list.retain(|known| known != target);
            list.insert(0, target.to_owned());
            list.truncate(MAX_TARGETS_PER_PREFIX);
        }
        while self.ages.len() > MAX_PREFIXES {
            let Some(oldest) = self.ages.pop_front() else { return };
            self.targets.remove(&oldest);
        }
    }

    /// Number of prompt tokens that each target is likely to have cached.
    pub fn cached_tokens(&self, prompt: &PromptPrefixes) -> FastMap<&str, u32> {
        let mut tokens = FastMap::default();
        for prefix in prompt.as_slice() {
            let readers = self.targets.get(&prefix.fingerprint).into_iter().flatten();
            for target in readers {
                // Prefixes come in order of increasing length, so the longest one wins.
                tokens.insert(target.as_str(), prefix.tokens);
            }
        }
        tokens
    }
}
