//! The other gateways: their registration, the links to them, and the messages on those links.

pub mod calls;
pub mod catch_up;
pub mod demands;
pub mod eviction;
pub mod links;
pub mod membership;
pub mod messages;
pub mod pushes;
pub mod registration;
pub mod reports;
pub mod roster;
pub mod store_forwarding;
pub mod table;
pub mod traffic;
