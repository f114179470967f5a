//! Connections to targets.

pub mod connection;
pub mod ejections;
pub mod liveness;
pub mod pool;
pub mod stream_pace;
