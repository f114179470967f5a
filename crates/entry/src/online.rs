//! Online requests, which are relayed to a target while the client waits.

mod answer;
mod buffered;
pub mod crash_counts;
pub mod fairness;
mod give_up;
pub mod lease;
pub mod origin_reply;
pub mod origins;
pub mod refusal_records;
pub mod relay;
pub mod request;
pub mod slots;
pub mod stream;
pub mod suspects;
pub mod target_views;
pub mod version_records;
