//! The gateway: callers' and operators' HTTP, online routing, the ledger shards it owns,
//! membership and catalogue. Keeps nothing that can't be lost.
//!
//! Data flows one way: `edge` and `traffic` turn what happens outside into control events, the
//! `control` thread decides, and effects go back out through `edge` and `traffic`.

pub mod control;
pub mod edge;
pub mod error;
pub mod gateway;
pub mod options;
pub mod traffic;
pub mod wiring;

/// What embedders need.
pub mod prelude {
    pub use crate::{
        error::GatewayError,
        gateway::{GatewayEdges, GatewayHandle},
    };
}
