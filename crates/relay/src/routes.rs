//! Configuration in force and look-up of routes.

pub mod absence;
pub mod configuration;
pub mod dropped;
pub mod route;
pub mod table;
