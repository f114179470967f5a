//! Configuration in force and the route that a request takes.

pub mod configuration;
pub mod dropped;
pub mod route;
pub mod table;
