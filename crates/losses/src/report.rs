//! The day's report: what the users' measure took off, and for what.

use serde::Deserialize;

/// The parts of a day's report that tell where worth went.
#[derive(Debug, Default, Deserialize)]
pub struct DayReport {
    /// The day's worth.
    #[serde(rename = "G", default)]
    pub worth: f64,
    /// Name, weight and value of each part that the worth consists of.
    #[serde(default)]
    pub parts: Vec<(String, f64, f64)>,
    /// Name, amount and cost of each price.
    #[serde(default)]
    pub prices: Vec<(String, f64, f64)>,
    /// How tries ended, as clients saw it.
    #[serde(default)]
    pub ends: std::collections::BTreeMap<String, u64>,
}

impl DayReport {
    /// What each part and each price took off, the largest first; what took less than half a
    /// thousandth is left out.
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
