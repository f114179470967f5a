//! platform
