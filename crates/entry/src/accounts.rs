//! Client accounts: authentication, configuration freshness and rate limits.

pub mod admission;
pub mod credit;
pub mod freshness;
pub mod lookup;
pub mod proof_age;
pub mod state;
