//! Exponentially weighted moving average.

/// Exponentially weighted moving average; 0 before the first value.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ewma(f64);

impl Ewma {
    /// Adds a value with `weight`, or with full weight if it is the first.
    pub(crate) fn note(&mut self, newest: f64, weight: f64) {
        let weight = if self.is_known() { weight } else { 1.0 };
        self.0 += (newest - self.0) * weight;
    }

    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// Whether a value above 0 has been added.
    pub(crate) fn is_known(self) -> bool {
        self.0 > 0.0
    }
}
