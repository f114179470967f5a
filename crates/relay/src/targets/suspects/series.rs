//! Crashes under requests with one suspect.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use super::{
    refusal::{PART_PROBE_PAUSES, PROBE_TIMEOUT},
    suspect::{CrashReport, CrashSuspect, RequestCrashes},
};

/// Number of incarnations that must crash under a suspect, without an answer between, until it is refused.
const CRASH_LIMIT: usize = 3;
/// Minimum time from the first of these crashes to the refusal of a prompt part. When several targets crash at once for
/// another reason, an answer with a sound part arrives within this time.
const MIN_PART_SERIES: Duration = Duration::from_millis(250);
/// Maximum time between two crashes of a part's series: longer than the part waits for a probe. A request's series has no
/// such end, as its client may send it again however late.
const PART_SERIES_GAP: Duration = Duration::from_secs(150);
const _: () = assert!(
    PART_SERIES_GAP.as_secs()
        > PART_PROBE_PAUSES[PART_PROBE_PAUSES.len() - 1].as_secs() + PROBE_TIMEOUT.as_secs(),
    "the longest pause of a probe must not end a series"
);
/// Number of events by which a run must get further than all before it not to count against its request. A request that
/// crashes targets does so early or at some event; one that was interrupted goes on.
const MIN_PROGRESS: u64 = 16;
/// Maximum number of crashes and of requests for each that a series remembers; the oldest are evicted first.
const MAX_CRASHES: usize = 8;
const MAX_REQUESTS: usize = 16;

/// Time after which another crash of an incarnation under one request counts. A target may have restarted under its name, which
/// isn't known yet; one that fails breaks several runs off at once.
const SAME_TARGET_GAP: Duration = Duration::from_millis(500);

/// A crash and the requests that it interrupted.
#[derive(Debug)]
struct SeriesCrash {
    /// Fingerprint of the incarnation.
    target: u64,
    /// When it was counted.
    at: MonoTime,
    /// Fingerprints. Invariant: distinct, at most [`MAX_REQUESTS`].
    requests: VecDeque<u64>,
}

/// Crashes under requests with one suspect since it was last answered.
#[derive(Debug)]
pub struct CrashSeries {
    since: MonoTime,
    last: MonoTime,
    /// Invariant: at most [`MAX_CRASHES`]; of a part, distinct targets.
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
    pub fn is_over(&self, suspect: CrashSuspect, now: MonoTime) -> bool {
        matches!(suspect, CrashSuspect::Part(_)) && now.since(self.last) >= PART_SERIES_GAP
    }

    /// Order of eviction, the first to be evicted first: by how much it would take to count it again.
    pub fn eviction_order(&self) -> (usize, MonoTime) {
        (self.crashes.len(), self.last)
    }

    /// What is counted, to be counted on by another process.
    pub fn count(&self, request: u64) -> RequestCrashes {
        let targets = self.crashes.iter().map(|crash| crash.target).collect();
        RequestCrashes { request, targets, reached: self.furthest }
    }

    /// Records a crash. Returns whether the suspect is to be refused.
    pub fn note(&mut self, report: &CrashReport, now: MonoTime) -> bool {
        let has_progressed = !self.crashes.is_empty() && self.is_progress(report.reached);
        self.furthest = self.furthest.max(report.reached);
        match report.suspect {
            CrashSuspect::Request(_) if has_progressed => return false,
            CrashSuspect::Request(_) | CrashSuspect::Part(_) => {
                let target = stable_hash64(&[report.target.as_bytes()]);
                let since = match report.suspect {
                    CrashSuspect::Request(_) => now - SAME_TARGET_GAP,
                    CrashSuspect::Part(_) => MonoTime::default(),
                };
                self.add((target, since), report.request, now);
            }
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

    /// Adds what another process counted of a request. Returns whether the request is to be refused.
    pub fn join(&mut self, count: &RequestCrashes, now: MonoTime) -> bool {
        self.furthest = self.furthest.max(count.reached);
        for target in &count.targets {
            let counted = |targets: &mut dyn Iterator<Item = u64>| {
                targets.filter(|known| known == target).count()
            };
            let told = counted(&mut count.targets.iter().copied());
            if counted(&mut self.crashes.iter().map(|crash| crash.target)) < told {
                self.push(*target, count.request, now);
            }
        }
        self.last = now;
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Requests that the crashes interrupted.
    pub fn requests(&self) -> impl Iterator<Item = u64> {
        self.crashes.iter().flat_map(|crash| crash.requests.iter().copied())
    }

    fn is_progress(&self, reached: Option<u64>) -> bool {
        let furthest = self.furthest.map_or(0, |id| id + 1);
        reached.is_some_and(|id| id + 1 >= furthest + MIN_PROGRESS)
    }

    fn push(&mut self, target: u64, request: u64, at: MonoTime) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let requests = VecDeque::from([request]);
        self.crashes.push_back(SeriesCrash { target, at, requests });
    }

    /// Adds a crash, unless one of that target was counted at `since` or later.
    fn add(&mut self, (target, since): (u64, MonoTime), request: u64, now: MonoTime) {
        let is_known = |crash: &&mut SeriesCrash| crash.target == target && crash.at >= since;
        let Some(crash) = self.crashes.iter_mut().find(is_known) else {
            return self.push(target, request, now);
        };
        if crash.requests.contains(&request) {
            return;
        }
        if crash.requests.len() >= MAX_REQUESTS {
            crash.requests.pop_front();
        }
        crash.requests.push_back(request);
    }

    /// Whether one request, which is refused for itself, explains all crashes.
    fn is_one_request(&self) -> bool {
        let Some(first) = self.crashes.front() else { return false };
        let explains = |id: &u64| self.crashes.iter().all(|crash| crash.requests.contains(id));
        first.requests.iter().any(explains)
    }
}
