//! Event streams.

pub mod event;
pub mod splitter;
