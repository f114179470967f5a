//! Online requests: relayed to a target, an answer back.

pub mod crashes;
pub mod lease;
pub mod places;
pub mod relay;
pub mod request;
pub mod stream;
