//! Whether a job can be done before it is due, told when it comes.

pub mod demand;
pub mod forecast;
pub mod place_mean;
pub mod table;
