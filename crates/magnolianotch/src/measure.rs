//! Measurements on a fleet inside this process: real daemons' libraries, stand-ins outside.
//!
//! Figures of one run are comparable with each other; between runs the machine differs.

pub mod batch_load;
pub mod capacity;
pub mod hop_cost;
pub mod inside;
pub mod online_run;
pub mod plot;
pub mod process_time;
pub mod report;
pub mod segment;
pub mod settings;

pub use online_run::{MeasureError, run_online};
pub use report::{OnlineReport, ProfileReport};
pub use settings::OnlineSettings;
