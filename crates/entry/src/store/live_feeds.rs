//! Tracks whether this gateway follows the store itself.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts a gateway's feeds and how many of them are live. A feed is live from a complete list
/// until its watch fails.
#[derive(Debug, Default)]
pub struct LiveFeeds {
    live: AtomicUsize,
    feeds: AtomicUsize,
}

/// Counts a feed as live until it is dropped.
#[derive(Debug)]
pub struct LiveFeedGuard<'a>(&'a AtomicUsize);

impl Drop for LiveFeedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl LiveFeeds {
    /// Counts a feed that has to be live for other gateways to rely on this one.
    pub fn add_feed(&self) {
        self.feeds.fetch_add(1, Ordering::AcqRel);
    }

    /// Counts a feed as live until the returned guard is dropped.
    pub fn live_feed(&self) -> LiveFeedGuard<'_> {
        self.live.fetch_add(1, Ordering::AcqRel);
        LiveFeedGuard(&self.live)
    }

    /// Whether every feed is live, so that other gateways may rely on this one.
    pub fn is_watching(&self) -> bool {
        let feeds = self.feeds.load(Ordering::Acquire);
        feeds > 0 && self.live.load(Ordering::Acquire) >= feeds
    }
}
