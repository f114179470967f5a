//! One pattern under several policies and seeds, compared seed by seed.

use serde::Serialize;

use crate::{outcome::PlayOutcome, pattern::LoadPattern, policy::SelectionPolicy, world::LabWorld};

/// A 95% interval reaches so many standard errors to each side, for five seeds or more.
const INTERVAL_ERRORS: f64 = 2.3;

/// How much a figure differs between two policies, seed by seed.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct PairedDifference {
    /// Mean of the differences.
    pub mean: f64,
    /// Half of the width of its confidence interval.
    pub half_width: f64,
}

impl PairedDifference {
    /// Of `second` over `first`, in the same order of seeds.
    pub fn of(first: &[f64], second: &[f64]) -> Self {
        let pairs: Vec<f64> = first.iter().zip(second).map(|(a, b)| b - a).collect();
        let count = pairs.len().max(1) as f64;
        let mean = pairs.iter().sum::<f64>() / count;
        let squares: f64 = pairs.iter().map(|pair| (pair - mean).powi(2)).sum();
        let deviation = (squares / (count - 1.0).max(1.0)).sqrt();
        Self { mean, half_width: INTERVAL_ERRORS * deviation / count.sqrt() }
    }
}

/// Outcomes of one policy, one for each seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyOutcomes {
    /// Name of the policy.
    pub policy: String,
    /// In the order of the seeds.
    pub outcomes: Vec<PlayOutcome>,
}

impl PolicyOutcomes {
    /// Mean of a figure over the seeds.
    pub fn mean(&self, figure: impl Fn(&PlayOutcome) -> f64) -> f64 {
        let sum: f64 = self.outcomes.iter().map(figure).sum();
        sum / self.outcomes.len().max(1) as f64
    }

    fn figures(&self, figure: impl Fn(&PlayOutcome) -> f64) -> Vec<f64> {
        self.outcomes.iter().map(figure).collect()
    }
}

/// One pattern under several policies.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PatternComparison {
    /// Name of the pattern.
    pub pattern: String,
    /// Seeds, from 1 on.
    pub seeds: u64,
    /// In the order asked for.
    pub policies: Vec<PolicyOutcomes>,
}

impl PatternComparison {
    /// Plays a pattern under each policy with the seeds from 1 to `seeds`.
    pub fn run(pattern: &LoadPattern, policies: &[SelectionPolicy], seeds: u64) -> Self {
        let played = policies.iter().map(|policy| PolicyOutcomes {
            policy: policy.to_string(),
            outcomes: (1..=seeds).map(|seed| LabWorld::play(pattern, *policy, seed)).collect(),
        });
        Self { pattern: pattern.name.to_owned(), seeds, policies: played.collect() }
    }

    /// The figures as a table, with each policy's difference from the first one.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{}, {} seeds\n{:<12} {:>8} {:>15} {:>10} {:>10} {:>9} {:>8} {:>9} {:>6} {:>9}\n",
            self.pattern,
            self.seeds,
            "policy",
            "in time",
            "difference",
            "all taken",
            "place free",
            "refused",
            "failed",
            "items",
            "asks",
            "cut runs"
        );
        let Some(first) = self.policies.first() else { return text };
        let base = first.figures(PlayOutcome::online_share);
        for played in &self.policies {
            let part = |count: fn(&PlayOutcome) -> u64| {
                played.mean(|o| count(o) as f64 / o.online.max(1) as f64)
            };
            let difference =
                PairedDifference::of(&base, &played.figures(PlayOutcome::online_share));
            text += &format!(
                "{:<12} {:>8.4} {:>+8.4}±{:.4} {:>10.4} {:>10.4} {:>9.4} {:>8.4} {:>9.4} {:>6.3} {:>9.0}\n",
                played.policy,
                played.mean(PlayOutcome::online_share),
                difference.mean,
                difference.half_width,
                part(|o| o.late_all_taken),
                part(|o| o.late_place_free),
                part(|o| o.refused),
                part(|o| o.late_target_failed),
                played.mean(PlayOutcome::item_share),
                played.mean(PlayOutcome::asks_per_request),
                played.mean(|o| o.cut_runs as f64),
            );
        }
        text
    }
}
