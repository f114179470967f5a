//! Latencies gathered from many requests.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};

/// Longest latency told apart, microseconds.
const LONGEST_US: u64 = 120_000_000;

/// Latencies of one kind.
#[derive(Debug, Clone)]
pub struct LatencyReport {
    histogram: Histogram<u64>,
}

impl Default for LatencyReport {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
        Self { histogram }
    }
}

impl LatencyReport {
    /// Takes one latency.
    pub fn record(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }

    /// Takes all of another report.
    pub fn merge(&mut self, other: &LatencyReport) {
        let _ = self.histogram.add(&other.histogram);
    }

    /// Number of latencies.
    pub fn len(&self) -> u64 {
        self.histogram.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.histogram.is_empty()
    }

    /// The latency that `share` of all stay within, milliseconds.
    pub fn at(&self, share: f64) -> f64 {
        self.histogram.value_at_quantile(share) as f64 / 1_000.0
    }

    /// The usual percentiles as JSON, milliseconds.
    pub fn to_json(&self) -> Value {
        json!({
            "count": self.len(),
            "p50_ms": self.at(0.50),
            "p95_ms": self.at(0.95),
            "p99_ms": self.at(0.99),
            "max_ms": self.histogram.max() as f64 / 1_000.0,
        })
    }
}
