//! Runs a load pattern under several policies and compares the results with paired seeds.

use serde::Serialize;

use crate::{
    outcome::SimOutcome, pattern::LoadPattern, policy::SelectionPolicy, simulation::Simulation,
};

/// Half-width of the 95% confidence interval in standard errors, valid for five seeds or more.
const INTERVAL_STANDARD_ERRORS: f64 = 2.3;

/// Difference of a metric between two policies, paired by seed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PairedDifference {
    /// Mean of the per-seed differences.
    pub mean: f64,
    /// Half of the width of the mean's confidence interval.
    pub half_width: f64,
}

impl PairedDifference {
    /// Difference `second - first`; both hold one value per seed, in the same order.
    pub fn of(first: &[f64], second: &[f64]) -> Self {
        let pairs: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
        let count = pairs.len().max(1) as f64;
        let mean = pairs.iter().sum::<f64>() / count;
        let squares: f64 = pairs.iter().map(|pair| (pair - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
        Self { mean, half_width: INTERVAL_STANDARD_ERRORS * deviation / count.sqrt() }
    }
}

/// Outcomes of one policy, one per seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyOutcomes {
    /// Name of the policy.
    pub policy: String,
    /// One outcome per seed, in the order of the seeds.
    pub outcomes: Vec<SimOutcome>,
}

impl PolicyOutcomes {
    /// Mean of a metric over the seeds.
    pub fn mean(&self, metric: impl Fn(&SimOutcome) -> f64) -> f64 {
        let sum: f64 = self.outcomes.iter().map(metric).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    fn values(&self, metric: impl Fn(&SimOutcome) -> f64) -> Vec<f64> {
        self.outcomes.iter().map(metric).collect()
    }
}

/// Results of one pattern under several policies.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PatternComparison {
    /// Name of the pattern.
    pub pattern: String,
    /// Number of seeds; they run from 1 to this.
    pub seeds: u64,
    /// One entry per policy, in the requested order.
    pub policies: Vec<PolicyOutcomes>,
}

impl PatternComparison {
    /// Simulates a pattern under each policy with the seeds from 1 to `seeds`.
    pub fn run(pattern: &LoadPattern, policies: &[SelectionPolicy], seeds: u64) -> Self {
        let results = policies.iter().map(|policy| PolicyOutcomes {
            policy: policy.to_string(),
            outcomes: (1..=seeds).map(|seed| Simulation::run(pattern, *policy, seed)).collect(),
        });
        Self { pattern: pattern.name.to_owned(), seeds, policies: results.collect() }
    }

    /// Formats the results as a table, with each policy's difference from the first one.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{}, {} seeds\n{:<12} {:>8} {:>15} {:>10} {:>10} {:>9} {:>8} {:>8} {:>9} {:>6} {:>9}\n",
            self.pattern,
            self.seeds,
            "policy",
            "in time",
            "difference",
            "all taken",
            "place free",
            "refused",
            "failed",
            "lost",
            "items",
            "asks",
            "cut runs"
        );
        let Some(first) = self.policies.first() else { return text };
        let base = first.values(SimOutcome::online_share);
        for result in &self.policies {
            let share = |count: fn(&SimOutcome) -> u64| {
                result.mean(|o| count(o) as f64 / o.online.max(1) as f64)
            };
            let difference = PairedDifference::of(&base, &result.values(SimOutcome::online_share));
            text += &format!(
                "{:<12} {:>8.4} {:>+8.4}±{:.4} {:>10.4} {:>10.4} {:>9.4} {:>8.4} {:>8.4} {:>9.4} {:>6.3} {:>9.0}\n",
                result.policy,
                result.mean(SimOutcome::online_share),
                difference.mean,
                difference.half_width,
                share(|o| o.late_all_taken),
                share(|o| o.late_place_free),
                share(|o| o.refused),
                share(|o| o.late_target_failed),
                share(|o| o.lost),
                result.mean(SimOutcome::item_share),
                result.mean(SimOutcome::slot_requests_per_request),
                result.mean(|o| o.cut_runs as f64),
            );
        }
        text
    }
}
