//! Which targets have read which beginnings of prompts.

use std::collections::VecDeque;

use notch_types::prelude::*;

use crate::targets::prompt::PromptPrefixes;

/// Beginnings remembered, at most; the oldest are forgotten first. A gateway passes on 20 requests a
/// second with two or three parts, and targets keep parts for some seconds.
const HEADS_KEPT: usize = 4_096;
/// Targets remembered for one beginning, at most: those that read it last.
const TARGETS_KEPT: usize = 4;

/// Which targets have read which beginnings of prompts, as far as this gateway sent them there.
#[derive(Debug, Default)]
pub struct WarmPrompts {
    /// By a beginning's fingerprint, the target that read it last first.
    targets: FastMap<u64, Vec<String>>,
    /// Fingerprints in the order in which they came.
    ages: VecDeque<u64>,
}

impl WarmPrompts {
    /// A request with this prompt goes to `target`.
    pub fn note(&mut self, prompt: &PromptPrefixes, target: &str) {
        for head in prompt.as_slice() {
            let list = self.targets.entry(head.fingerprint).or_insert_with(|| {
                self.ages.push_back(head.fingerprint);
                Vec::new()
            });
            list.retain(|known| known != target);
            list.insert(0, target.to_owned());
            list.truncate(TARGETS_KEPT);
        }
        while self.ages.len() > HEADS_KEPT {
            let Some(oldest) = self.ages.pop_front() else { return };
            self.targets.remove(&oldest);
        }
    }

    /// Tokens of the prompt that each target has likely read.
    pub fn warm_tokens(&self, prompt: &PromptPrefixes) -> FastMap<&str, u32> {
        let mut tokens = FastMap::default();
        for head in prompt.as_slice() {
            let readers = self.targets.get(&head.fingerprint).into_iter().flatten();
            for target in readers {
                // Beginnings come in growing length.
                tokens.insert(target.as_str(), head.tokens);
            }
        }
        tokens
    }
}
