//! Event streams.

pub mod event;
pub mod origin;
pub mod splitter;
