//! The gateway of an entry VM: it relays client requests to targets and runs batch jobs. Its only external
//! dependency is the platform's store.

pub mod accounts;
pub mod batch;
pub mod clock;
pub mod constants;
pub mod disk;
pub mod error;
pub mod features;
pub mod front;
pub mod gateway;
pub mod memory;
pub mod node;
pub mod online;
pub mod options;
pub mod peers;
pub mod retirements;
pub mod route_cleanup;
pub mod stop;
pub mod store;
pub mod target;

/// The types that binaries and tests need.
pub mod prelude {
    pub use crate::{
        error::EntryError,
        node::EntryNode,
        options::{EntryOptions, RoleOption},
    };
}
