//! Targets: their state and load, the selection of a target for a request, and the classification
//! of failures.

pub mod choice;
pub mod entry;
pub mod failure;
pub mod first_byte;
pub mod grants;
pub mod health;
pub mod homes;
pub mod idle_reuse;
pub mod latency;
pub mod performance;
pub mod prefix_cache;
pub mod prompt;
pub mod record;
pub mod report_interval;
pub mod retry_detector;
pub mod slot_search;
pub mod suspects;
pub mod table;
pub mod version_history;
