//! Memory that a process may spend on data it holds for others.

pub mod budget;
