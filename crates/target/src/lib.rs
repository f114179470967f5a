//! target
