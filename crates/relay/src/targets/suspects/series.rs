//! Crashes under requests with one suspect.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use super::{
    refusal::{PART_PROBE_PAUSES, PROBE_TIMEOUT},
    suspect::{CrashReport, CrashSuspect},
};

/// Number of incarnations that must crash under a suspect, without an answer between, until it is refused.
const CRASH_LIMIT: usize = 3;
/// Minimum time from the first of these crashes to the refusal of a prompt part. When several targets crash at once for
/// another reason, an answer with a sound part arrives within this time.
const MIN_PART_SERIES: Duration = Duration::from_millis(250);
/// Maximum time between two crashes of a series: a request can't run while a part of it waits for a probe.
const SERIES_GAP: Duration = Duration::from_secs(150);
const _: () = assert!(
    SERIES_GAP.as_secs()
        > PART_PROBE_PAUSES[PART_PROBE_PAUSES.len() - 1].as_secs() + PROBE_TIMEOUT.as_secs(),
    "the longest pause of a probe must not end a series"
);
/// Number of events by which a run must get further than all before it not to count against its request. A request that
/// crashes targets does so early or at some event; one that was interrupted goes on.
const MIN_PROGRESS: u64 = 16;
/// Maximum number of crashes and of requests for each that a series remembers; the oldest are evicted first.
const MAX_CRASHES: usize = 8;
const MAX_REQUESTS: usize = 16;

/// A crash and the requests that it interrupted.
#[derive(Debug)]
struct SeriesCrash {
    target: String,
    /// Fingerprints. Invariant: distinct, at most [`MAX_REQUESTS`].
    requests: VecDeque<u64>,
}

/// Crashes under requests with one suspect since it was last answered.
#[derive(Debug)]
pub struct CrashSeries {
    since: MonoTime,
    last: MonoTime,
    /// Invariant: distinct targets, at most [`MAX_CRASHES`].
    crashes: VecDeque<SeriesCrash>,
    /// The last event that any of the runs reached.
    furthest: Option<u64>,
}

impl CrashSeries {
    /// A series without crashes.
    pub fn new(now: MonoTime) -> Self {
        Self { since: now, last: now, crashes: VecDeque::new(), furthest: None }
    }

    /// When the last crash was recorded.
    pub fn last(&self) -> MonoTime {
        self.last
    }

    /// Whether the last crash was so long ago that the next one begins another series.
    pub fn is_over(&self, now: MonoTime) -> bool {
        now.since(self.last) >= SERIES_GAP
    }

    /// Records a crash. Returns whether the suspect is to be refused.
    pub fn note(&mut self, report: &CrashReport, now: MonoTime) -> bool {
        let has_progressed = !self.crashes.is_empty() && self.is_progress(report.reached);
        self.furthest = self.furthest.max(report.reached);
        match report.suspect {
            CrashSuspect::Request(_) if has_progressed => return false,
            CrashSuspect::Request(_) | CrashSuspect::Part(_) => self.add(report),
        }
        self.last = now;
        self.crashes.len() >= CRASH_LIMIT
            && match report.suspect {
                CrashSuspect::Request(_) => true,
                CrashSuspect::Part(_) => {
                    now.since(self.since) >= MIN_PART_SERIES && !self.is_one_request()
                }
            }
    }

    /// Requests that the crashes interrupted.
    pub fn requests(&self) -> impl Iterator<Item = u64> {
        self.crashes.iter().flat_map(|crash| crash.requests.iter().copied())
    }

    fn is_progress(&self, reached: Option<u64>) -> bool {
        let furthest = self.furthest.map_or(0, |id| id + 1);
        reached.is_some_and(|id| id + 1 >= furthest + MIN_PROGRESS)
    }

    fn add(&mut self, report: &CrashReport) {
        let known = self.crashes.iter_mut().find(|crash| crash.target == report.target);
        let Some(crash) = known else {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.pop_front();
            }
            let requests = VecDeque::from([report.request]);
            self.crashes.push_back(SeriesCrash { target: report.target.clone(), requests });
            return;
        };
        if crash.requests.contains(&report.request) {
            return;
        }
        if crash.requests.len() >= MAX_REQUESTS {
            crash.requests.pop_front();
        }
        crash.requests.push_back(report.request);
    }

    /// Whether one request, which is refused for itself, explains all crashes.
    fn is_one_request(&self) -> bool {
        let Some(first) = self.crashes.front() else { return false };
        let explains = |id: &u64| self.crashes.iter().all(|crash| crash.requests.contains(id));
        first.requests.iter().any(explains)
    }
}
