//! The command line of magnolianotch, and what development needs: a fleet inside one process, a
//! load of requests with known answers, the demo and the measurements.

pub mod cli;
pub mod demo;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod slopes;
