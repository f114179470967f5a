//! Forecast of the slots that online requests will take at the next peak of a regular load.
//!
//! It is designed for peaks of online requests every few seconds, between which items fill the free
//! slots: an item that starts just before a peak is preempted at once and repeats its prefill.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Run time below which an item is not started before a peak: a start costs the prefill of the
/// prompt, which takes up to a tenth of this.
const MIN_RUN: Duration = Duration::from_millis(400);
/// Run time before a peak below which an item that has time is not started in a slot of the peak: a
/// third of the run time of the items for which this is designed (2 to 10 s). If such items never
/// start in these slots, too many become urgent in the same trough, and 8% of all were late in
/// simulations; with 3 s, 5 of 1,350 were late, and more at peaks that need all slots.
const MIN_PATIENT_RUN: Duration = Duration::from_secs(2);
/// Time between two peaks below which no slots are kept from items that have time. If slots were kept
/// for all of a shorter time, such items would never start in them and all become urgent at once.
const MIN_PATIENT_TROUGH: Duration = MIN_PATIENT_RUN.saturating_add(MIN_RUN);
/// Minimum interval between two samples; a peak of 2.4 s has over twenty.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(90);
/// Age up to which samples are kept: three of the longest periods and the tolerance of the last one,
/// so that [`REGULAR_INTERVALS`] are known until the next peak.
const HISTORY: Duration = Duration::from_secs(37);
/// Age up to which samples belong to the range of the load: twice the longest period.
const RANGE_HISTORY: Duration = Duration::from_secs(24);
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

/// Slots that each home keeps from items that have time, beside those that a peak is expected to
/// take: at a home with two targets of eight slots, of which a peak takes five of six, the number of
/// online requests has a standard deviation of 1.5. With 1, a tenth more runs were preempted in
/// simulations.
const PATIENT_MARGIN: u32 = 2;

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

impl OnlineLoad {
    /// Slots that online requests do not use yet but will use at a load of `share`, and `margin` more
    /// at each home.
    fn missing(self, share: f64, margin: u32) -> ReservedSlots {
        let expected = |slots: u32| (share * f64::from(slots)).round() as u32;
        let homes = self.slots_all / self.slots_here.max(1);
        ReservedSlots {
            here: expected(self.slots_here).saturating_sub(self.here) + margin,
            all: expected(self.slots_all).saturating_sub(self.all) + margin * homes,
        }
    }
}

/// Slots kept free for online requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReservedSlots {
    /// At targets whose home is this gateway.
    pub here: u32,
    /// At all targets.
    pub all: u32,
}

/// The next peak, or the rest of the current one.
#[derive(Debug, Clone, Copy)]
struct NextPeak {
    /// Share of all slots that online requests use at its highest load.
    share: f64,
    /// Time until it begins; zero in the peak.
    begins_in: Duration,
    /// Time until its end.
    ends_in: Duration,
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
    /// Share of the slots from which on a sample belongs to a peak.
    peak_level: f64,
    /// Share of the slots down to which a peak lasts.
    trough_level: f64,
    /// Time from the end of a peak to the start of the next one, between the last two peaks.
    trough: Duration,
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
        self.find_peaks(now);
    }

    /// Finds the peaks among the samples by the present range of the load, which the first peaks widen.
    fn find_peaks(&mut self, now: MonoTime) {
        let recent = self.samples.iter().filter(|sample| now.since(sample.at) <= RANGE_HISTORY);
        let shares = || recent.clone().map(|sample| sample.share);
        let (low, high) = (shares().fold(f64::MAX, f64::min), shares().fold(0.0, f64::max));
        let range = high - low;
        self.peak_level = low + range * PEAK_BEGINS;
        self.trough_level = low + range * PEAK_ENDS;
        self.peaks.clear();
        if range < MIN_RANGE {
            return;
        }
        // When a peak began that is older than the samples is not known.
        let mut is_peak = true;
        let mut ended_at = None;
        for sample in &self.samples {
            match is_peak {
                true if sample.share <= self.trough_level => {
                    is_peak = false;
                    ended_at = Some(sample.at);
                }
                false if sample.share >= self.peak_level => {
                    is_peak = true;
                    self.peaks.push_back(sample.at);
                    self.trough = ended_at.map_or(Duration::ZERO, |ended| sample.at.since(ended));
                }
                true | false => {}
            }
        }
        while self.peaks.len() > REGULAR_INTERVALS + 1 {
            self.peaks.pop_front();
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

    /// The peak that the load of the last period predicts; `None` while the load is irregular.
    fn next_peak(&self, now: MonoTime) -> Option<NextPeak> {
        let period = self.period(now)?;
        let mut recent = self.samples.iter().filter(|sample| sample.at >= now - period);
        let first = recent.by_ref().find(|sample| sample.share >= self.peak_level)?;
        let (mut share, mut end) = (first.share, first.at);
        for sample in recent.take_while(|sample| sample.share > self.trough_level) {
            (share, end) = (share.max(sample.share), sample.at);
        }
        let begins_in = (first.at + period).since(now);
        Some(NextPeak { share, begins_in, ends_in: (end + period).since(now) })
    }

    /// Time until the end of the next peak, or of the current one; `None` while the load is irregular.
    pub fn peak_ends_in(&self, now: MonoTime) -> Option<Duration> {
        Some(self.next_peak(now)?.ends_in)
    }

    /// Slots that online requests do not use at `now` but will use at the highest load of a peak that
    /// begins within `MIN_PATIENT_RUN`, and `PATIENT_MARGIN` more at each home. They are kept from items that
    /// have time until the end of the peak. None while the load is irregular, and none if the time between two
    /// peaks is shorter than `MIN_PATIENT_TROUGH`.
    pub fn peak_reserved(&self, load: OnlineLoad, now: MonoTime) -> ReservedSlots {
        if self.trough < MIN_PATIENT_TROUGH {
            return ReservedSlots::default();
        }
        let peak = self.next_peak(now).filter(|peak| peak.begins_in <= MIN_PATIENT_RUN);
        peak.map_or_else(ReservedSlots::default, |peak| load.missing(peak.share, PATIENT_MARGIN))
    }

    /// Slots that online requests do not use at `now` but will use within `MIN_RUN`, as they did
    /// one period ago, and one more at each home in a peak. None while the load is irregular.
    pub fn reserved(&self, load: OnlineLoad, now: MonoTime) -> ReservedSlots {
        let Some(period) = self.period(now) else { return ReservedSlots::default() };
        let (from, until) = (now - period, now - period + MIN_RUN);
        let soon = self.samples.iter().filter(|sample| sample.at >= from && sample.at <= until);
        let share = soon.map(|sample| sample.share).fold(0.0, f64::max);
        load.missing(share, if share >= self.peak_level { PEAK_MARGIN } else { 0 })
    }
}
