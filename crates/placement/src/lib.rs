//! placement
