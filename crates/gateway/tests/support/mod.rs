//! A shard on two gateways over one small store, in virtual time.

pub(crate) mod store;
pub(crate) mod world;
