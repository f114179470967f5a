//! The HTTP front end: client connections, and the readiness and metrics endpoints.

pub mod answer;
pub mod body;
pub mod connection;
pub mod connection_gate;
pub mod endpoints;
pub mod listener;
