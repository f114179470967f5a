//! The other gateways: who they are, links to them, and what is told on those.

pub mod calls;
pub mod catch_up;
pub mod demands;
pub mod detours;
pub mod hub;
pub mod pushes;
pub mod registration;
pub mod reports;
pub mod table;
pub mod traffic;
