//! Jobs owned by this gateway: their items, the scheduling of the items, and the list of results.

pub mod eviction;
pub mod json_size;
pub mod owned;
pub mod ownership;
pub mod registration_pause;
pub mod result;
pub mod run_time;
pub mod search;
pub mod spec;
pub mod table;
