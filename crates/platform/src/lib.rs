//! The edges to the platform: its object API, its VM list and its weight store.
//!
//! Each edge is a trait, so that tests can put a stand-in in its place, and a client that speaks
//! HTTP/1.1. [`wire`] holds the published protocol; nothing else knows it.

pub mod budget;
pub mod exchange;
pub mod http_objects;
pub mod http_vms;
pub mod http_weights;
pub mod meter;
pub mod object_api;
pub mod vm_listing;
pub mod weight_permits;
pub mod wire;

pub use budget::{BudgetSettings, CallBudget};
pub use http_objects::{HttpObjects, ObjectsSettings};
pub use http_vms::HttpVms;
pub use http_weights::HttpWeights;
pub use meter::{CallEnd, CallKind, CallMeter};
pub use object_api::ObjectApi;
pub use vm_listing::{ListingFailure, VmListing, VmRecord, VmRole, VmState};
pub use weight_permits::{LoadPermit, PermitFailure, PermitRequest, WeightPermits};
