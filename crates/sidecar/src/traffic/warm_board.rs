//! Prompt heads run lately: the target's prefix cache likely holds them.

use std::{
    collections::VecDeque,
    sync::{Mutex, PoisonError},
};

/// Most heads remembered.
const HEADS: usize = 256;

/// Prompt heads run lately, newest first; a hint only. Bounded by [`HEADS`].
///
/// The sidecar sees every prompt itself, so it needn't wait for the engine's late cache news to
/// learn what is held; that news only tells what is no longer held.
#[derive(Debug, Default)]
pub(crate) struct WarmBoard {
    heads: Mutex<VecDeque<u64>>,
}

impl WarmBoard {
    pub(crate) fn note(&self, head: u64) {
        let mut heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        if heads.front() == Some(&head) {
            return;
        }
        heads.retain(|known| *known != head);
        heads.push_front(head);
        heads.truncate(HEADS);
    }

    pub(crate) fn drop_head(&self, head: u64) {
        let mut heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        heads.retain(|known| *known != head);
    }

    /// The target lost its cache.
    pub(crate) fn clear(&self) {
        self.heads.lock().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// The newest `count` heads, sorted, so that a mere change of order is no news.
    pub(crate) fn newest(&self, count: usize) -> Vec<u64> {
        let heads = self.heads.lock().unwrap_or_else(PoisonError::into_inner);
        let mut newest: Vec<u64> = heads.iter().copied().take(count).collect();
        newest.sort_unstable();
        newest
    }
}
