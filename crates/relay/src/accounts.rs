//! Client accounts: identification of callers, freshness of the configuration, and rate limits.

pub mod account;
pub mod bucket;
pub mod credits;
pub mod demand;
pub mod freshness;
pub mod key;
pub mod limiter;
pub mod quota;
pub mod retry_spread;
pub mod table;
pub mod view;
