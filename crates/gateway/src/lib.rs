//! gateway
