//! Streams of events.

pub mod event;
pub mod splitter;
