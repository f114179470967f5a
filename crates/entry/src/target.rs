//! Connections to targets.

pub mod connection;
pub mod liveness;
pub mod pool;
