//! A mean that follows what is seen.

/// A mean in which the newest values count most; 0 until there is one.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Ewma(f64);

impl Ewma {
    /// A value was seen; `weight` is its part in the mean, but the first one is the mean.
    pub(crate) fn note(&mut self, newest: f64, weight: f64) {
        let weight = if self.is_known() { weight } else { 1.0 };
        self.0 += (newest - self.0) * weight;
    }

    /// The mean.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// Whether a value above 0 was seen.
    pub(crate) fn is_known(self) -> bool {
        self.0 > 0.0
    }
}
