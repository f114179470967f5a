//! Online requests, which are relayed to a target while the client waits.

mod answer;
pub mod crashes;
pub mod fairness;
pub mod lease;
pub mod origins;
pub mod part_crashes;
pub mod relay;
pub mod request;
pub mod slots;
pub mod stream;
