//! Detection of prompt parts that crash the targets running them.
//!
//! Requests with such a part need not be alike otherwise, so no single request reveals it. A crash
//! interrupts every request at the target, most of them sound, and all of them may share parts with
//! the one at fault. What tells the part apart is that no request with it is ever answered.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Number of different targets that must crash under a part without any answer until the part is
/// refused.
const CRASH_LIMIT: usize = 3;
/// Minimum time from the first of these crashes to the refusal. When several targets crash at once
/// for another reason, an answer with a sound part arrives within this time.
const MIN_SERIES: Duration = Duration::from_millis(250);
/// Maximum time between two crashes of a series.
const SERIES_GAP: Duration = Duration::from_secs(30);
/// Time for which an answer proves that a part did not cause a crash: longer than targets that crash
/// together take to be noticed, and short enough for a part that new software can't run.
const PROOF_TIME: Duration = Duration::from_secs(2);
/// Pauses from a refusal, and from the crash of each probe, to the next probe. The first is short, as
/// a sound part may have been refused.
const PROBE_PAUSES: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_secs(3),
    Duration::from_secs(30),
    Duration::from_secs(120),
];
/// Time after which a probe counts as lost and another one is granted: longer than most answers take.
const PROBE_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum interval between two requests of this gateway for a probe.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after a refusal in which interruptions of other requests are put down to the part: the targets
/// that crashed under it are down for some seconds.
const AFTERMATH: Duration = Duration::from_secs(3);
/// Time after the end of its pause for which a refused part is remembered while nobody sends it.
const REFUSAL_RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of parts remembered for each purpose; the oldest are evicted first.
const MAX_PARTS: usize = 4_096;
/// Maximum number of refused parts.
const MAX_REFUSED: usize = 256;

/// Whether a request may run, by its prompt parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PartAdmission {
    /// No part is refused.
    Admitted,
    /// A part is refused; this request is the granted probe of it.
    Probe,
    /// A part is refused.
    Refused {
        /// The part.
        part: u64,
        /// Time until the next probe.
        left: Duration,
        /// Whether the gateway that counts the crashes is to be asked for a probe now.
        asks_probe: bool,
    },
}

/// A refused part, as announced between gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartRefusal {
    /// The part.
    pub part: u64,
    /// Number of probes that crashed.
    pub level: u32,
    /// Time until the next probe.
    pub left: Duration,
}

/// Crashes under one part since it was last proven sound.
#[derive(Debug)]
struct CrashSeries {
    since: MonoTime,
    last: MonoTime,
    /// Ids of the crashed incarnations. Invariant: distinct, at most [`CRASH_LIMIT`].
    targets: Vec<String>,
}

#[derive(Debug, Clone, Copy)]
struct RefusedPart {
    level: u32,
    /// When the next probe may be granted.
    until: MonoTime,
    /// Until when a probe granted to any gateway may be running; only known at the counting gateway.
    probed_until: MonoTime,
    /// Until when this gateway may start the probe that it was granted.
    granted_until: MonoTime,
    asked_at: MonoTime,
}

/// Prompt parts that crash targets, as known to one gateway. For each part one gateway, chosen by its
/// fingerprint, counts the crashes for all.
#[derive(Debug, Default)]
pub struct PartCrashTable {
    /// When a request with the part was last answered here.
    proven: FastMap<u64, MonoTime>,
    /// Parts in the order in which they were first proven. Invariant: contains every key of `proven`.
    proven_ages: VecDeque<u64>,
    series: FastMap<u64, CrashSeries>,
    refused: FastMap<u64, RefusedPart>,
    /// When a part was last refused, or refused for longer; `None` before the first time.
    refused_at: Option<MonoTime>,
}

impl PartCrashTable {
    /// Whether any part is refused.
    pub fn has_refusals(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Whether targets may still be down that crashed under a refused part.
    pub fn is_aftermath(&self, now: MonoTime) -> bool {
        self.refused_at.is_some_and(|at| now.since(at) < AFTERMATH)
    }

    /// Whether a request with these parts may run at `now`.
    pub fn admit(&mut self, parts: &[u64], now: MonoTime) -> PartAdmission {
        if self.refused.is_empty() {
            return PartAdmission::Admitted;
        }
        let mut probed = None;
        for part in parts {
            let Some(refused) = self.refused.get_mut(part) else { continue };
            if refused.granted_until > now && probed.is_none() {
                probed = Some(*part);
                continue;
            }
            let left = refused.until.since(now);
            let asks_probe = left.is_zero() && now.since(refused.asked_at) >= ASK_INTERVAL;
            if asks_probe {
                refused.asked_at = now;
            }
            return PartAdmission::Refused { part: *part, left, asks_probe };
        }
        let Some(refused) = probed.and_then(|part| self.refused.get_mut(&part)) else {
            return PartAdmission::Admitted;
        };
        refused.granted_until = MonoTime::default();
        PartAdmission::Probe
    }

    /// Records a complete answer to a request with these parts. Returns those that were refused and are
    /// not any more.
    pub fn note_answer(&mut self, parts: &[u64], now: MonoTime) -> Vec<u64> {
        for part in parts {
            self.series.remove(part);
            if self.proven.insert(*part, now).is_none() {
                self.proven_ages.push_back(*part);
            }
        }
        while self.proven_ages.len() > MAX_PARTS {
            let Some(oldest) = self.proven_ages.pop_front() else { break };
            self.proven.remove(&oldest);
        }
        parts.iter().copied().filter(|part| self.refused.remove(part).is_some()).collect()
    }

    /// The parts that may have caused the crash under a request with these parts: those that were
    /// answered longest ago, or never. A part that was answered a moment ago is not blamed.
    pub fn suspects(&self, parts: &[u64], now: MonoTime) -> Vec<u64> {
        let oldest = parts.iter().map(|part| self.proven.get(part)).min().flatten();
        if oldest.is_some_and(|at| now.since(*at) < PROOF_TIME) {
            return Vec::new();
        }
        parts.iter().copied().filter(|part| self.proven.get(part) == oldest).collect()
    }

    /// Records that a target crashed under a part, on behalf of all gateways. Returns the refusal if the
    /// part is refused from now on, or for longer.
    pub fn note_crash(&mut self, part: u64, target: &str, now: MonoTime) -> Option<PartRefusal> {
        if let Some(refused) = self.refused.get(&part).copied() {
            // Requests that were running when the part was refused crash targets, too. A crash after the pause is that
            // of a probe, granted by this gateway or by the one that counted before.
            let is_probe = now < refused.probed_until || now >= refused.until;
            return is_probe.then(|| self.refuse(part, refused.level + 1, now));
        }
        if self.proven.get(&part).is_some_and(|at| now.since(*at) < PROOF_TIME) {
            return None;
        }
        self.expire(now);
        let series = self.series.entry(part).or_insert_with(|| CrashSeries {
            since: now,
            last: now,
            targets: Vec::new(),
        });
        series.last = now;
        if series.targets.len() < CRASH_LIMIT && !series.targets.iter().any(|id| id == target) {
            series.targets.push(target.to_owned());
        }
        let is_over = series.targets.len() >= CRASH_LIMIT && now.since(series.since) >= MIN_SERIES;
        is_over.then(|| self.refuse(part, 0, now))
    }

    fn refuse(&mut self, part: u64, level: u32, now: MonoTime) -> PartRefusal {
        self.series.remove(&part);
        let pause = PROBE_PAUSES[(level as usize).min(PROBE_PAUSES.len() - 1)];
        let refusal = PartRefusal { part, level, left: pause };
        self.apply_refusal(refusal, now);
        refusal
    }

    /// Applies a refusal, as determined by this or another gateway. False if this gateway has answered
    /// a request with the part a moment ago, so that the part is sound.
    pub fn apply_refusal(&mut self, refusal: PartRefusal, now: MonoTime) -> bool {
        let PartRefusal { part, level, left } = refusal;
        if level == 0 && self.proven.get(&part).is_some_and(|at| now.since(*at) < PROOF_TIME) {
            return false;
        }
        self.evict_refused(now);
        let until = now + left;
        let refused = self.refused.entry(part).or_insert(RefusedPart {
            level,
            until,
            probed_until: MonoTime::default(),
            granted_until: MonoTime::default(),
            asked_at: MonoTime::default(),
        });
        if (refused.level, refused.until) <= (level, until) {
            let (probed_until, granted_until) = (MonoTime::default(), MonoTime::default());
            *refused = RefusedPart { level, until, probed_until, granted_until, ..*refused };
            self.refused_at = Some(now);
        }
        true
    }

    /// Ends the refusal of a part that was found sound.
    pub fn clear(&mut self, part: u64) {
        self.refused.remove(&part);
        self.series.remove(&part);
    }

    /// Decides, at the counting gateway, whether a gateway may probe a part; `refusal` is what that
    /// gateway knows, as this one may have just started.
    pub fn grant_probe(&mut self, refusal: PartRefusal, now: MonoTime) -> bool {
        if !self.refused.contains_key(&refusal.part) {
            self.apply_refusal(refusal, now);
        }
        let Some(refused) = self.refused.get_mut(&refusal.part) else { return false };
        let is_granted = refused.until <= now && refused.probed_until <= now;
        if is_granted {
            refused.probed_until = now + PROBE_TIMEOUT;
        }
        is_granted
    }

    /// Records that this gateway may start one request with the part.
    pub fn note_granted(&mut self, part: u64, now: MonoTime) {
        if let Some(refused) = self.refused.get_mut(&part) {
            refused.granted_until = now + PROBE_TIMEOUT;
        }
    }

    /// All refused parts.
    pub fn refusals(&self, now: MonoTime) -> impl Iterator<Item = PartRefusal> {
        self.refused.iter().map(move |(part, refused)| PartRefusal {
            part: *part,
            level: refused.level,
            left: refused.until.since(now),
        })
    }

    /// What is known of a refused part.
    pub fn refusal(&self, part: u64, now: MonoTime) -> Option<PartRefusal> {
        self.refusals(now).find(|refusal| refusal.part == part)
    }

    fn expire(&mut self, now: MonoTime) {
        self.series.retain(|_, series| now.since(series.last) < SERIES_GAP);
        if self.series.len() >= MAX_PARTS
            && let Some(oldest) = self.series.iter().min_by_key(|(_, series)| series.last)
        {
            let oldest = *oldest.0;
            self.series.remove(&oldest);
        }
    }

    fn evict_refused(&mut self, now: MonoTime) {
        self.refused.retain(|_, refused| now.since(refused.until) < REFUSAL_RETENTION);
        if self.refused.len() >= MAX_REFUSED
            && let Some(oldest) = self.refused.iter().min_by_key(|(_, refused)| refused.until)
        {
            let oldest = *oldest.0;
            self.refused.remove(&oldest);
        }
    }
}
