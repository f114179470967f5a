//! The relaying gateway of an entry VM. It runs against the platform's store alone.

pub mod accounts;
pub mod batch;
pub mod clock;
pub mod constants;
pub mod disk;
pub mod error;
pub mod front;
pub mod gateway;
pub mod node;
pub mod online;
pub mod options;
pub mod peers;
pub mod retirements;
pub mod route_cleanup;
pub mod stop;
pub mod store;
pub mod target;

/// What programs and tests use.
pub mod prelude {
    pub use crate::{
        error::EntryError,
        node::EntryNode,
        options::{EntryOptions, RoleOption},
    };
}
