//! Connections to targets.

pub mod connection;
pub mod pool;
pub mod signs;
