//! A straight line through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SlopePoint {
    /// What was varied.
    pub at: f64,
    /// What was measured.
    pub value: f64,
}

/// A line by least squares.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LineFit {
    /// Growth of the value for one more of what was varied.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
    /// Share of the points' variance that the line explains, 0 to 1; 1 when they don't vary.
    pub r2: f64,
    /// Largest distance of a point from the line, in the value's unit.
    pub worst: f64,
}

impl LineFit {
    /// The line through `points`; flat for fewer than two different places.
    pub fn through(points: &[SlopePoint]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_at = points.iter().map(|point| point.at).sum::<f64>() / count;
        let mean = points.iter().map(|point| point.value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|point| (point.at - mean_at).powi(2)).sum();
        let joint: f64 =
            points.iter().map(|point| (point.at - mean_at) * (point.value - mean)).sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
        let intercept = mean - slope * mean_at;
        let residual = |point: &SlopePoint| point.value - (intercept + slope * point.at);
        let left: f64 = points.iter().map(|point| residual(point).powi(2)).sum();
        let whole: f64 = points.iter().map(|point| (point.value - mean).powi(2)).sum();
        let r2 = if whole > 0.0 { 1.0 - left / whole } else { 1.0 };
        let worst = points.iter().map(|point| residual(point).abs()).fold(0.0, f64::max);
        Self { slope, intercept, r2, worst }
    }

    /// The line's value at a place.
    pub fn value_at(&self, at: f64) -> f64 {
        self.intercept + self.slope * at
    }
}
