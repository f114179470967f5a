//! Which news of members still has to travel.

use std::collections::BTreeMap;

/// How far one piece of news has got.
#[derive(Debug, Clone, Copy, Default)]
struct NewsState {
    /// Messages that carried it.
    sent: u32,
    /// Whether it was pushed.
    pushed: bool,
}

/// News that still has to travel, by subject; what it says is looked up when it leaves, so that
/// only the newest of each goes out.
///
/// Bound: one element a member or topic held.
#[derive(Debug)]
pub(crate) struct NewsQueue<K> {
    news: BTreeMap<K, NewsState>,
}

impl<K: Ord + Clone> NewsQueue<K> {
    pub(crate) fn new() -> Self {
        Self { news: BTreeMap::new() }
    }

    /// Queues news; `urgent` news is pushed once before it rides on pings.
    pub(crate) fn add(&mut self, subject: &K, urgent: bool) {
        self.news.insert(subject.clone(), NewsState { sent: 0, pushed: !urgent });
    }

    pub(crate) fn remove(&mut self, subject: &K) {
        self.news.remove(subject);
    }

    /// Whether something waits to be pushed.
    pub(crate) fn is_urgent(&self) -> bool {
        self.news.values().any(|state| !state.pushed)
    }

    /// Up to `count` subjects for a message, least sent first. Each is dropped from the queue once
    /// `limit` messages carried it.
    pub(crate) fn take(&mut self, count: usize, limit: u32) -> Vec<K> {
        let mut order: Vec<(u32, K)> =
            self.news.iter().map(|(subject, state)| (state.sent, subject.clone())).collect();
        order.sort();
        order.truncate(count);
        let taken: Vec<K> = order.into_iter().map(|(_, subject)| subject).collect();
        for subject in &taken {
            self.sent(subject, limit);
        }
        taken
    }

    /// Up to `count` subjects that wait to be pushed.
    pub(crate) fn take_urgent(&mut self, count: usize) -> Vec<K> {
        let urgent = self.news.iter_mut().filter(|(_, state)| !state.pushed).take(count);
        urgent
            .map(|(subject, state)| {
                state.pushed = true;
                subject.clone()
            })
            .collect()
    }

    fn sent(&mut self, subject: &K, limit: u32) {
        let Some(state) = self.news.get_mut(subject) else { return };
        state.sent += 1;
        if state.sent >= limit && state.pushed {
            self.news.remove(subject);
        }
    }
}

/// Messages that carry one piece of news until it has reached a fleet of `members` that nobody
/// pushed it to.
pub(crate) fn ride_limit(members: usize) -> u32 {
    usize::BITS - members.leading_zeros() + 1
}
