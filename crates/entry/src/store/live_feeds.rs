//! Whether this gateway follows the store itself.

use std::sync::atomic::{AtomicUsize, Ordering};

/// How many of a gateway's feeds are live now. A feed is live between a whole list and the first
/// failure of its watch.
#[derive(Debug, Default)]
pub struct LiveFeeds {
    live: AtomicUsize,
    feeds: AtomicUsize,
}

/// Counts a live feed for as long as it lives.
#[derive(Debug)]
pub struct LiveFeedGuard<'a>(&'a AtomicUsize);

impl Drop for LiveFeedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl LiveFeeds {
    /// Counts a feed that the duty is about.
    pub fn add_feed(&self) {
        self.feeds.fetch_add(1, Ordering::AcqRel);
    }

    /// A feed is live until the guard is dropped.
    pub fn live_feed(&self) -> LiveFeedGuard<'_> {
        self.live.fetch_add(1, Ordering::AcqRel);
        LiveFeedGuard(&self.live)
    }

    /// Whether every feed is live: the others may rely on this gateway.
    pub fn is_watching(&self) -> bool {
        let feeds = self.feeds.load(Ordering::Acquire);
        feeds > 0 && self.live.load(Ordering::Acquire) >= feeds
    }
}
