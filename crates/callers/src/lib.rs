//! callers
