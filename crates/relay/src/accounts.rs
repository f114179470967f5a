//! Client accounts: who asks, until when a key is honoured, and how much an account may send.

pub mod account;
pub mod bucket;
pub mod credits;
pub mod freshness;
pub mod key;
pub mod limiter;
pub mod quota;
pub mod table;
pub mod view;
