//! sidecar
