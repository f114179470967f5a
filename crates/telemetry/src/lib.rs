//! telemetry
