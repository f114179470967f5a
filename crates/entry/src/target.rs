//! Connections to targets.

pub mod connection;
pub mod ejections;
pub mod liveness;
pub mod pool;
