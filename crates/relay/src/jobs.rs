//! Jobs that this gateway owns: their items, what is to run next, and the list of results.

pub mod board;
pub mod doubt;
pub mod owned;
pub mod pace;
pub mod result;
pub mod spec;
