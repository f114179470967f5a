//! The demo: a small fleet under online bursts and a batch job, with a gateway and a target lost
//! in the middle. Ends by itself; succeeds only if every accepted item has exactly one result.

pub mod batch;
pub mod online;
pub mod run;
pub mod summary;

pub use run::{DemoError, DemoSettings, run_demo};
pub use summary::DemoSummary;
