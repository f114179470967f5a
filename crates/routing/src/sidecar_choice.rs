//! Two random choices among the sidecars that can take a request.

use rand::{Rng, RngExt};

use crate::settings::ChoiceSettings;

/// A sidecar that can take the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ChoiceCandidate {
    /// The sidecar's place in the sidecar table.
    pub sidecar: usize,
    /// Load over limit.
    pub score: f64,
    /// Whether it is in the gateway's own failure domain.
    pub near: bool,
    /// Whether its prefix cache likely holds the prompt's head.
    pub warm: bool,
}

impl ChoiceCandidate {
    /// The score after the tilts. A warm sidecar at the ceiling gets none: cache hints come late
    /// and with gaps, and following them blindly would send a hot prefix to one sidecar only.
    pub fn tilted(&self, settings: &ChoiceSettings) -> f64 {
        let near = if self.near { settings.near_tilt } else { 0.0 };
        let is_warm = self.warm && self.score < settings.warm_ceiling;
        let warm = if is_warm { settings.warm_tilt } else { 0.0 };
        self.score - near - warm
    }
}

/// Picks the best of two candidates drawn at random, and of one drawn among those that get the
/// warm tilt. `None` when there is no candidate.
///
/// Two draws keep gateways that decide on the same late reports from all picking the same
/// least loaded sidecar; the warm one is drawn as well since two draws among many would seldom hit it.
pub fn choose(
    candidates: &[ChoiceCandidate],
    settings: &ChoiceSettings,
    rng: &mut impl Rng,
) -> Option<usize> {
    if candidates.len() <= 1 {
        return candidates.first().map(|candidate| candidate.sidecar);
    }
    let first = rng.random_range(0..candidates.len());
    let mut second = rng.random_range(0..candidates.len() - 1);
    if second >= first {
        second += 1;
    }
    let mut best = better(&candidates[first], &candidates[second], settings);
    if let Some(warm) = draw_warm(candidates, settings, rng) {
        best = better(best, warm, settings);
    }
    Some(best.sidecar)
}

fn draw_warm<'a>(
    candidates: &'a [ChoiceCandidate],
    settings: &ChoiceSettings,
    rng: &mut impl Rng,
) -> Option<&'a ChoiceCandidate> {
    let is_warm =
        |candidate: &&ChoiceCandidate| candidate.warm && candidate.score < settings.warm_ceiling;
    let count = candidates.iter().filter(is_warm).count();
    if count == 0 {
        return None;
    }
    candidates.iter().filter(is_warm).nth(rng.random_range(0..count))
}

fn better<'a>(
    first: &'a ChoiceCandidate,
    second: &'a ChoiceCandidate,
    settings: &ChoiceSettings,
) -> &'a ChoiceCandidate {
    if second.tilted(settings) < first.tilted(settings) { second } else { first }
}
