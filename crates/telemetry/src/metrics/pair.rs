//! Counters with two labels.

use prometheus::IntCounterVec;

/// Counter with two labels. Label values must be string literals, which bounds the number of time
/// series. Clones share their counts.
#[derive(Debug, Clone)]
pub struct PairCounter(pub(crate) IntCounterVec);

impl PairCounter {
    /// Adds one to the counter of a pair of label values.
    pub fn count(&self, first: &'static str, second: &'static str) {
        self.add(first, second, 1);
    }

    /// Adds `by` to the counter of a pair of label values.
    pub fn add(&self, first: &'static str, second: &'static str, by: u64) {
        self.0.with_label_values(&[first, second]).inc_by(by);
    }

    /// The value of the counter of a pair of label values; 0 if it was never incremented.
    pub fn counted(&self, first: &'static str, second: &'static str) -> u64 {
        self.0.with_label_values(&[first, second]).get()
    }
}
