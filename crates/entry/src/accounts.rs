//! Client accounts: whose requests are let in.

pub mod admission;
pub mod credit;
pub mod freshness;
pub mod state;
