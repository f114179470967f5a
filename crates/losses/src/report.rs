//! The day's report: the score, and how much each part and price lowered it.

use serde::Deserialize;

/// The fields of a day's report that explain the score.
#[derive(Debug, Default, Deserialize)]
pub struct DayReport {
    /// Score of the day.
    #[serde(rename = "G", default)]
    pub score: f64,
    /// Name, weight and value of each part of the score.
    #[serde(default)]
    pub parts: Vec<(String, f64, f64)>,
    /// Name, amount and cost of each price that is deducted from the score.
    #[serde(default)]
    pub prices: Vec<(String, f64, f64)>,
    /// Number of client tries by how they ended.
    #[serde(default)]
    pub ends: std::collections::BTreeMap<String, u64>,
}

impl DayReport {
    /// Loss of score by part and by price, the largest first. Losses of less than half a thousandth are left
    /// out.
    pub fn losses(&self) -> Vec<(String, f64)> {
        let parts = self.parts.iter().map(|(name, weight, value)| {
            (format!("{name} ({value:.3}, weight {weight})"), weight * (1.0 - value))
        });
        let prices =
            self.prices.iter().map(|(name, amount, cost)| (format!("{name} ({amount:.0})"), *cost));
        let mut all: Vec<_> = parts.chain(prices).filter(|(_, lost)| *lost >= 0.0005).collect();
        all.sort_by(|a, b| b.1.total_cmp(&a.1));
        all
    }
}
