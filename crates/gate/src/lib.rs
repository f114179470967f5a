//! gate
