//! The prefix cache: which heads of prompts cost nothing to read again.

use std::collections::BTreeMap;

use super::{
    protocol::{CacheChange, CacheEvent},
    text::BLOCK_TOKENS,
};

/// Blocks by digest, least recently used first out.
#[derive(Debug)]
pub(super) struct PrefixCache {
    /// Most blocks held.
    room: usize,
    /// When each block was last used; at most `room` blocks.
    used: BTreeMap<u64, u64>,
    /// The same by use.
    order: BTreeMap<u64, u64>,
    clock: u64,
    /// Events of the current step, oldest first; taken away after it.
    events: Vec<CacheEvent>,
    event_number: u64,
}

impl PrefixCache {
    pub(super) fn new(tokens: u64) -> Self {
        Self {
            room: usize::try_from(tokens).unwrap_or(usize::MAX) / BLOCK_TOKENS,
            used: BTreeMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            events: Vec::new(),
            event_number: 0,
        }
    }

    /// Tokens at the head of a prompt that are held; marks them as used.
    pub(super) fn hit(&mut self, digests: &[u64]) -> u64 {
        let held = digests.iter().take_while(|digest| self.used.contains_key(digest)).count();
        for digest in &digests[..held] {
            self.touch(*digest);
        }
        (held * BLOCK_TOKENS) as u64
    }

    /// Holds the heads of a prompt that was read.
    pub(super) fn store(&mut self, digests: &[u64]) {
        for digest in digests.iter().take(self.room) {
            if !self.used.contains_key(digest) {
                self.note(CacheChange::Stored, *digest);
            }
            self.touch(*digest);
        }
        while self.used.len() > self.room {
            let Some((_, digest)) = self.order.pop_first() else { return };
            self.used.remove(&digest);
            self.note(CacheChange::Evicted, digest);
        }
    }

    /// Takes the events since the last time.
    pub(super) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn touch(&mut self, digest: u64) {
        self.clock += 1;
        if let Some(former) = self.used.insert(digest, self.clock) {
            self.order.remove(&former);
        }
        self.order.insert(self.clock, digest);
    }

    fn note(&mut self, change: CacheChange, block: u64) {
        self.event_number += 1;
        self.events.push(CacheEvent { number: self.event_number, change, block });
    }
}
