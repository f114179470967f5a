//! Pace of targets: the time between two events of a stream, compared with what is usual.

use std::time::Duration;

use notch_types::prelude::*;

use crate::ewma::Ewma;

/// Shortest time that one measurement covers: several events, and few enough measurements to take
/// the lock of the target table ten times per second for each stream.
const SAMPLE_TIME: Duration = Duration::from_millis(100);
/// A measurement does not count if more than one part in this many of its time was not spent on
/// waiting for the target: its client reads slowly.
const MAX_OTHER_PART: u32 = 10;
/// Weight of the newest measurement of a target. One stream alone replaces five sixths of the figure
/// within 0.5 s.
const NEWEST_WEIGHT: f64 = 0.3;
/// Weight of one measurement in what is usual: a gateway with six streams makes 200 of them in three
/// seconds, five times as long as a target is slow at a time.
const USUAL_WEIGHT: f64 = 0.005;
/// How long a figure that was measured here is current.
const OWN_LIFETIME: Duration = Duration::from_millis(500);
/// How long a figure of another gateway is current. An unusual one is repeated twice in this time.
const REPORTED_LIFETIME: Duration = Duration::from_secs(1);
/// Interval at which an unusual figure is repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(400);
/// Minimum interval between two reports of a target's figure by any gateway, as far as is known here.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Change of a figure, as a fraction, from which it is reported again.
const REPORTED_CHANGE: f64 = 0.1;
/// Bounds of a pace compared with the usual one: beyond them the figure says less than the load.
const RATIO_RANGE: (f64, f64) = (0.5, 4.0);
/// Requests in progress that are told apart.
const MAX_LOAD: usize = 16;

/// Targets whose pace counts in target selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PaceUse {
    /// All targets.
    AllTargets,
    /// Those without a free slot. Few slots are free then, and if all gateways preferred the fast
    /// ones, most of their requests would find them taken while slower ones stay free.
    FullTargets,
}

/// Measures the time between the events of one stream. It does not allocate.
#[derive(Debug, Clone, Copy)]
pub struct PaceMeter {
    /// Start of the measurement: when the last event before it was read.
    since: MonoTime,
    events: u32,
    waited: Duration,
}

impl PaceMeter {
    /// Starts to measure at `now`, when an event was read.
    pub fn new(now: MonoTime) -> Self {
        Self { since: now, events: 0, waited: Duration::ZERO }
    }

    /// Records that `events` events were read after a wait from `began` to `now`. Returns the time
    /// between two events if the measurement is complete; then the next one begins.
    pub fn note(&mut self, events: u32, began: MonoTime, now: MonoTime) -> Option<Duration> {
        self.events += events;
        self.waited += now.since(began);
        let span = now.since(self.since);
        if span < SAMPLE_TIME || self.events == 0 {
            return None;
        }
        let is_valid = span.saturating_sub(self.waited) * MAX_OTHER_PART <= span;
        let gap = span / self.events;
        *self = Self::new(now);
        is_valid.then_some(gap)
    }
}

/// Usual time between two events at the targets of one service, by the number of requests in
/// progress.
#[derive(Debug, Clone, Default)]
pub(crate) struct UsualPace {
    /// In microseconds.
    gaps: [Ewma; MAX_LOAD + 1],
}

impl UsualPace {
    fn note(&mut self, gap: f64, load: u32) {
        // A first measurement at this number of requests may come from a slow target.
        let nearest = self.gap(load);
        let usual = &mut self.gaps[load_index(load)];
        if let Some(nearest) = nearest.filter(|_| !usual.is_known()) {
            usual.note(nearest, USUAL_WEIGHT);
        }
        usual.note(gap, USUAL_WEIGHT);
    }

    /// The usual time at `load` requests, in microseconds, or at the nearest number for which it is
    /// known; `None` before the first measurement.
    fn gap(&self, load: u32) -> Option<f64> {
        let index = load_index(load);
        let known = (0..=MAX_LOAD).filter(|other| self.gaps[*other].is_known());
        known.min_by_key(|other| other.abs_diff(index)).map(|nearest| self.gaps[nearest].value())
    }
}

fn load_index(load: u32) -> usize {
    (load as usize).min(MAX_LOAD)
}

/// Pace of one target.
///
/// It is designed for targets of different speeds of which some are slow for 0.6 s at a time.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TargetPace {
    /// Time between events as a multiple of the usual time.
    ratio: Ewma,
    /// Until when the figure is current.
    until: MonoTime,
    /// Until when it is current and was measured here.
    own_until: MonoTime,
    /// The figure that this or another gateway reported last, and when.
    reported: f64,
    reported_at: MonoTime,
}

impl TargetPace {
    /// Records the time between events at a target with `load` requests in progress; `is_own` if it
    /// was measured here.
    pub(crate) fn note(
        &mut self,
        gap: Duration,
        load: u32,
        is_own: bool,
        usual: &mut UsualPace,
        now: MonoTime,
    ) {
        let gap = gap.as_micros() as f64;
        usual.note(gap, load);
        let Some(usual) = usual.gap(load) else { return };
        let ratio = (gap / usual).clamp(RATIO_RANGE.0, RATIO_RANGE.1);
        let weight = if now < self.until { NEWEST_WEIGHT } else { 1.0 };
        self.ratio.note(ratio, weight);
        let lifetime = if is_own { OWN_LIFETIME } else { REPORTED_LIFETIME };
        self.until = self.until.max(now + lifetime);
        if is_own {
            self.own_until = now + OWN_LIFETIME;
        } else {
            (self.reported, self.reported_at) = (ratio, now);
        }
    }

    /// Time between events as a multiple of the usual time; 1 without a current figure.
    pub(crate) fn ratio(&self, now: MonoTime) -> f64 {
        if now < self.until { self.ratio.value() } else { 1.0 }
    }

    /// The time between events at `load` requests if it is to be reported at `now`: it was measured
    /// here and changed by a tenth, or is to be repeated because it is unusual.
    pub(crate) fn take_report(
        &mut self,
        load: u32,
        usual: &UsualPace,
        now: MonoTime,
    ) -> Option<Duration> {
        let age = now.since(self.reported_at);
        if now >= self.own_until || age < REPORT_INTERVAL {
            return None;
        }
        let ratio = self.ratio.value();
        // Without a current figure, the other gateways count the target as usual.
        let known = if age < REPORTED_LIFETIME { self.reported } else { 1.0 };
        let is_changed = (ratio - known).abs() > known * REPORTED_CHANGE;
        let is_unusual = (ratio - 1.0).abs() > REPORTED_CHANGE;
        let is_repeated = is_unusual && age >= REPEAT_INTERVAL;
        if !is_changed && !is_repeated {
            return None;
        }
        let gap = usual.gap(load)? * ratio;
        (self.reported, self.reported_at) = (ratio, now);
        Some(Duration::from_micros(gap as u64))
    }
}
