//! Metrics of one node. Each node has a registry of its own, so that many nodes in one process
//! don't share counts.

mod gauge;
mod pair;
mod registry;
mod timing;

pub use self::{gauge::Gauge, pair::PairCounter, registry::Metrics, timing::Timing};
