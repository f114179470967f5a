//! Connections to targets.

pub mod connection;
pub mod ejections;
pub(crate) mod event_buffer;
pub mod liveness;
pub mod pool;
pub mod restart_watch;
pub mod stream_pace;
