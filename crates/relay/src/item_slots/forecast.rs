//! Forecast of the slots that online requests will take at the next peak of a regular load.
//!
//! It is designed for peaks of online requests every few seconds, between which items fill the free
//! slots: an item that starts just before a peak is preempted at once and repeats its prefill.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Run time below which an item is not started before a peak: a start costs the prefill of the
/// prompt, which takes up to a tenth of this.
const MIN_RUN: Duration = Duration::from_millis(400);
/// Minimum interval between two samples; a peak of 2.4 s has over twenty.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(90);
/// Age up to which samples are kept: twice the longest period.
const HISTORY: Duration = Duration::from_secs(24);
/// Longest period that is recognized. Over a longer one, the load changes for other reasons.
const MAX_PERIOD: Duration = Duration::from_secs(12);
/// Number of equal intervals between peaks after which the load counts as regular.
const REGULAR_INTERVALS: usize = 2;
/// Difference between two intervals, as a fraction of the longer one, up to which they are equal.
const INTERVAL_TOLERANCE: f64 = 0.08;
/// Levels at which a peak begins and ends, as fractions of the range between the lowest and the
/// highest sample. Their distance keeps random changes within a peak from beginning another one.
const PEAK_BEGINS: f64 = 0.6;
const PEAK_ENDS: f64 = 0.3;
/// Range of the samples, as a fraction of the slots, below which there are no peaks.
const MIN_RANGE: f64 = 0.15;
/// Slots that each home keeps free in a peak beside the expected ones. Where a peak brings each home
/// a request every 50 ms, the last free slot is taken long before an item has run for [`MIN_RUN`];
/// without it, a fifth to two fifths more runs were preempted in simulations.
const PEAK_MARGIN: u32 = 1;

/// Online requests in progress and slots of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OnlineLoad {
    /// Online requests at targets whose home is this gateway.
    pub here: u32,
    /// Online requests at all targets, as far as reports tell.
    pub all: u32,
    /// Slots of the targets whose home is this gateway.
    pub slots_here: u32,
    /// Slots of all targets.
    pub slots_all: u32,
}

/// Slots kept free for online requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReservedSlots {
    /// At targets whose home is this gateway.
    pub here: u32,
    /// At all targets.
    pub all: u32,
}

#[derive(Debug, Clone, Copy)]
struct LoadSample {
    at: MonoTime,
    /// Share of all slots that online requests use.
    share: f64,
}

/// Learned course of the online load of one service.
#[derive(Debug, Default)]
pub struct OnlineForecast {
    /// Samples in order of time. Invariant: none is older than [`HISTORY`], and they are at least
    /// [`SAMPLE_INTERVAL`] apart.
    samples: VecDeque<LoadSample>,
    /// When the last peaks began, newest last. Invariant: at most one more than
    /// [`REGULAR_INTERVALS`].
    peaks: VecDeque<MonoTime>,
    is_peak: bool,
    /// Share of the slots from which on a sample belongs to a peak.
    peak_level: f64,
}

impl OnlineForecast {
    /// Records the load at `now`.
    pub fn note(&mut self, load: OnlineLoad, now: MonoTime) {
        let newest = self.samples.back();
        if newest.is_some_and(|sample| now.since(sample.at) < SAMPLE_INTERVAL) {
            return;
        }
        let share = f64::from(load.all) / f64::from(load.slots_all.max(1));
        self.samples.push_back(LoadSample { at: now, share });
        while self.samples.front().is_some_and(|oldest| now.since(oldest.at) > HISTORY) {
            self.samples.pop_front();
        }
        let shares = || self.samples.iter().map(|sample| sample.share);
        let (low, high) = (shares().fold(f64::MAX, f64::min), shares().fold(0.0, f64::max));
        let range = high - low;
        self.peak_level = low + range * PEAK_BEGINS;
        if range < MIN_RANGE {
            self.is_peak = false;
        } else if !self.is_peak && share >= self.peak_level {
            self.is_peak = true;
            self.peaks.push_back(now);
            if self.peaks.len() > REGULAR_INTERVALS + 1 {
                self.peaks.pop_front();
            }
        } else if share <= low + range * PEAK_ENDS {
            self.is_peak = false;
        }
    }

    /// Time between two peaks; `None` while the load is irregular.
    pub fn period(&self, now: MonoTime) -> Option<Duration> {
        if self.peaks.len() <= REGULAR_INTERVALS {
            return None;
        }
        let pairs = self.peaks.iter().zip(self.peaks.iter().skip(1));
        let intervals: Vec<Duration> = pairs.map(|(first, next)| next.since(*first)).collect();
        let (shortest, longest) = (intervals.iter().min()?, intervals.iter().max()?);
        let is_regular = *longest - *shortest <= longest.mul_f64(INTERVAL_TOLERANCE);
        let period = intervals.iter().sum::<Duration>() / intervals.len() as u32;
        // A peak that did not come ends the regular load.
        let is_current =
            now.since(*self.peaks.back()?) <= *longest + longest.mul_f64(INTERVAL_TOLERANCE);
        (is_regular && is_current && period <= MAX_PERIOD).then_some(period)
    }

    /// Slots that online requests do not use at `now` but will use within `MIN_RUN`, as they did
    /// one period ago, and one more at each home in a peak. None while the load is irregular.
    pub fn reserved(&self, load: OnlineLoad, now: MonoTime) -> ReservedSlots {
        let Some(period) = self.period(now) else { return ReservedSlots::default() };
        let (from, until) = (now - period, now - period + MIN_RUN);
        let soon = self.samples.iter().filter(|sample| sample.at >= from && sample.at <= until);
        let share = soon.map(|sample| sample.share).fold(0.0, f64::max);
        let expected = |slots: u32| (share * f64::from(slots)).round() as u32;
        let margin = if share >= self.peak_level { PEAK_MARGIN } else { 0 };
        let homes = load.slots_all / load.slots_here.max(1);
        ReservedSlots {
            here: expected(load.slots_here).saturating_sub(load.here) + margin,
            all: expected(load.slots_all).saturating_sub(load.all) + margin * homes,
        }
    }
}
