//! Jobs owned by this gateway: their items, the scheduling of the items, and the list of results.

pub mod contact;
pub mod eviction;
pub mod failed_runs;
pub mod held_progress;
pub mod item_end;
pub mod item_failures;
mod item_progress;
pub mod json_size;
pub mod owned;
pub mod ownership;
pub mod pending_write;
pub mod registration_pause;
pub mod result;
pub mod run_time;
pub mod search;
pub mod spec;
pub mod table;
