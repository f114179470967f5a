//! settings
