//! The platform's store: its client, and feeds of its objects.

pub mod call_cause;
pub mod call_counts;
pub mod client;
pub mod configuration;
pub mod feed;
pub mod feed_clock;
pub mod feed_event;
pub mod forwarding;
pub mod live_feeds;
pub mod object_kinds;
pub mod outage;
pub mod reply;
pub mod retry;
pub mod target;
