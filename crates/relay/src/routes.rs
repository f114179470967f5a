//! Configuration in force and look-up of routes.

pub mod configuration;
pub mod dropped;
pub mod route;
pub mod table;
