//! Job admission: whether a new job can be done before it is due.

pub mod demand;
pub mod forecast;
pub mod slot_average;
pub mod table;
