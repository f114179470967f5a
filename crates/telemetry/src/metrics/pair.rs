//! Counters by two labels.

use prometheus::IntCounterVec;

/// Counts by two labels whose values are literals of the code, so their number is bounded by it.
/// Clones count together.
#[derive(Debug, Clone)]
pub struct PairCounter(pub(crate) IntCounterVec);

impl PairCounter {
    /// Counts one thing that happened.
    pub fn count(&self, first: &'static str, second: &'static str) {
        self.add(first, second, 1);
    }

    /// Counts `by` things that happened together.
    pub fn add(&self, first: &'static str, second: &'static str, by: u64) {
        self.0.with_label_values(&[first, second]).inc_by(by);
    }

    /// What the counter of a pair stands at; 0 when it never counted.
    pub fn counted(&self, first: &'static str, second: &'static str) -> u64 {
        self.0.with_label_values(&[first, second]).get()
    }
}
