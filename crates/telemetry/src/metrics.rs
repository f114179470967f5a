//! Metrics of one node. Each node has its own registry, so that several nodes in one process don't
//! share metrics.

mod gauge;
mod pair;
mod registry;
mod timing;

pub use self::{gauge::Gauge, pair::PairCounter, registry::Metrics, timing::Timing};
