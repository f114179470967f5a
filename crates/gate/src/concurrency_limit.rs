//! Learned limits: how much may run at once, and how much of it may be batch.
//!
//! Both are raised step by step and cut by a share (AIMD), once for each learning window, by what
//! online work measured in it. Batch is blamed first: while batch runs, a slow window cuts its
//! fill; only a slow window without batch, or with a fill of one, cuts the limit itself.

use std::time::Duration;

use crate::{
    event::{GapSum, TimingSample},
    settings::{PolicyWeights, TargetPolicy},
};

/// Fewest gaps of online runs that make a window count.
const MIN_GAPS: u64 = 16;
/// Fewest first tokens of online runs that make a window count.
const MIN_FIRST_TOKENS: u64 = 8;
/// Below this share of what is allowed there is room to grow.
const GROW_BELOW: f64 = 0.95;
/// What is left of the limit after a slow window.
const LIMIT_CUT: f64 = 0.9;
/// What is left of the batch fill after a slow window.
const FILL_CUT: f64 = 0.8;
/// Growth by window: one, or this part of the value.
const GROWTH_PART: u32 = 8;
/// How much slower than without batch tokens may come when latency has all the weight.
const STRICT_GAP: f64 = 1.1;
/// The same for first tokens, whose prompts differ more.
const STRICT_FIRST_TOKEN: f64 = 1.25;
/// Above one, a weight near one binds more: engines batch well, so that even full ones stay far
/// below a loose target.
const LOOSENESS_POWER: f64 = 1.5;
/// Weight of a new window in the time between tokens without batch.
const BASELINE_GAIN: f64 = 0.2;
/// Batch alone may stretch its time between tokens to this multiple of the online target.
const BATCH_ALONE_STRETCH: f64 = 2.0;

/// Above this multiple of what is allowed, batch above its new fill is stopped at once; below,
/// it ends by itself, for a stopped run costs its prompt again.
const TRIM_ABOVE: f64 = 1.25;
/// Windows after a cut in which the fill grows one by one: what was too much is near.
const CAUTIOUS_WINDOWS: u32 = 40;

/// What one learning window saw.
#[derive(Debug, Clone, Copy, Default)]
struct LearningWindow {
    gaps: TimingSample,
    first_tokens: GapSum,
    /// Most runs at once.
    peak: u32,
    /// Most batch runs at once.
    batch_peak: u32,
}

/// The learned limits of one target.
///
/// Invariants: `1 <= limit <= policy.max_concurrency`; `1 <= fill <= limit`.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: u32,
    fill: u32,
    window: LearningWindow,
    /// Smoothed time between tokens of online runs in windows without batch, microseconds.
    baseline_us: Option<f64>,
    /// Smoothed time to first token of online runs in windows without batch, microseconds.
    first_baseline_us: Option<f64>,
    /// Smoothed time to first token of online runs, microseconds.
    first_token_us: f64,
    /// Whether the last window was so slow that batch must be stopped.
    trims: bool,
    /// Windows left in which the fill grows one by one.
    caution: u32,
}

impl ConcurrencyLimit {
    pub(crate) fn new(policy: &TargetPolicy) -> Self {
        let limit = policy.start_concurrency.clamp(1, policy.max_concurrency.max(1));
        Self {
            limit,
            fill: limit,
            window: LearningWindow::default(),
            baseline_us: None,
            first_baseline_us: None,
            first_token_us: 0.0,
            trims: false,
            caution: 0,
        }
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    /// Most batch runs at once.
    pub(crate) fn fill(&self) -> u32 {
        self.fill
    }

    /// Batch runs to stop now, out of `batch` running.
    pub(crate) fn trim(&self, batch: u32) -> u32 {
        if self.trims { batch.saturating_sub(self.fill) } else { 0 }
    }

    pub(crate) fn first_token_us(&self) -> u64 {
        self.first_token_us as u64
    }

    /// Puts a changed catalogue bound in force.
    pub(crate) fn bound(&mut self, policy: &TargetPolicy) {
        self.limit = self.limit.clamp(1, policy.max_concurrency.max(1));
        self.fill = self.fill.clamp(1, self.limit);
    }

    pub(crate) fn note_running(&mut self, running: u32, batch: u32) {
        self.window.peak = self.window.peak.max(running);
        self.window.batch_peak = self.window.batch_peak.max(batch);
    }

    pub(crate) fn note_first_token(&mut self, took: Duration) {
        self.window.first_tokens.add(took);
        let micros = took.as_micros() as f64;
        let gain = if self.first_token_us == 0.0 { 1.0 } else { BASELINE_GAIN };
        self.first_token_us += (micros - self.first_token_us) * gain;
    }

    pub(crate) fn note_gaps(&mut self, sample: TimingSample) {
        self.window.gaps.online.merge(sample.online);
        self.window.gaps.batch.merge(sample.batch);
    }

    /// Ends the window and learns from it; the next one starts with what runs now.
    pub(crate) fn close_window(
        &mut self,
        policy: &TargetPolicy,
        weights: &PolicyWeights,
        running: u32,
        batch: u32,
    ) {
        let window = std::mem::take(&mut self.window);
        self.note_running(running, batch);
        self.learn_baseline(&window);
        self.caution = self.caution.saturating_sub(1);
        let strain = self.strain(&window, policy, weights);
        self.trims = strain.is_some_and(|strain| strain > TRIM_ABOVE);
        match strain {
            Some(strain) if strain > 1.0 => self.cut(&window),
            Some(strain) if strain > GROW_BELOW => {}
            Some(_) => self.grow(&window, policy),
            None if self.batch_is_stretched(&window, policy) => {}
            None => self.grow(&window, policy),
        }
        self.bound(policy);
    }

    fn learn_baseline(&mut self, window: &LearningWindow) {
        if window.batch_peak > 0 {
            return;
        }
        smooth(&mut self.baseline_us, window.gaps.online, MIN_GAPS);
        smooth(&mut self.first_baseline_us, window.first_tokens, MIN_FIRST_TOKENS);
    }

    /// Measured over allowed, the worse of first token and gaps; `None` without enough samples.
    fn strain(
        &self,
        window: &LearningWindow,
        policy: &TargetPolicy,
        weights: &PolicyWeights,
    ) -> Option<f64> {
        let strain = |sum: GapSum, least: u64, target: Duration, strict: Option<f64>| {
            let mean = sum.mean_us().filter(|_| sum.count >= least)?;
            Some(mean as f64 / allowed_us(target, strict, weights))
        };
        let gap_strict = self.baseline_us.map(|base| base * STRICT_GAP);
        let by_gap = strain(window.gaps.online, MIN_GAPS, policy.between_token_target, gap_strict);
        let first_strict = self.first_baseline_us.map(|base| base * STRICT_FIRST_TOKEN);
        let by_first =
            strain(window.first_tokens, MIN_FIRST_TOKENS, policy.first_token_target, first_strict);
        match (by_gap, by_first) {
            (Some(gap), Some(first)) => Some(gap.max(first)),
            (one, other) => one.or(other),
        }
    }

    fn batch_is_stretched(&self, window: &LearningWindow, policy: &TargetPolicy) -> bool {
        let bound = policy.between_token_target.as_micros() as f64 * BATCH_ALONE_STRETCH;
        window.gaps.batch.mean_us().is_some_and(|mean| mean as f64 > bound)
    }

    fn cut(&mut self, window: &LearningWindow) {
        if window.batch_peak > 0 && self.fill > 1 {
            let used = self.fill.min(window.batch_peak);
            self.fill = ((f64::from(used) * FILL_CUT) as u32).max(1);
            self.caution = CAUTIOUS_WINDOWS;
            return;
        }
        let used = self.limit.min(window.peak.max(1));
        self.limit = ((f64::from(used) * LIMIT_CUT) as u32).max(1);
    }

    fn grow(&mut self, window: &LearningWindow, policy: &TargetPolicy) {
        if window.peak >= self.limit {
            self.limit = (self.limit + step(self.limit)).min(policy.max_concurrency.max(1));
        }
        if window.batch_peak >= self.fill || window.batch_peak == 0 {
            self.fill += if self.caution > 0 { 1 } else { step(self.fill) };
        }
    }
}

fn step(value: u32) -> u32 {
    (value / GROWTH_PART).max(1)
}

/// The target, moved by the latency weight towards what was measured without batch. By ratio:
/// the two may lie far apart. What is left of the weight counts by [`LOOSENESS_POWER`].
fn allowed_us(target: Duration, strict: Option<f64>, weights: &PolicyWeights) -> f64 {
    let target = target.as_micros().max(1) as f64;
    let strict = strict.map_or(target, |strict| strict.clamp(1.0, target));
    let looseness = 1.0 - weights.latency_weight.clamp(0.0, 1.0);
    strict * (target / strict).powf(looseness.powf(LOOSENESS_POWER))
}

fn smooth(baseline: &mut Option<f64>, sum: GapSum, least: u64) {
    if let Some(mean) = sum.mean_us().filter(|_| sum.count >= least) {
        let value = baseline.get_or_insert(mean as f64);
        *value += (mean as f64 - *value) * BASELINE_GAIN;
    }
}
