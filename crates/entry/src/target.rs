//! Connections to targets.

pub mod connection;
pub mod pool;
