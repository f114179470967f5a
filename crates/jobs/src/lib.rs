//! jobs
