//! Attempts of suspects that may still run, here and at other gateways.

use std::collections::VecDeque;

use notch_types::prelude::*;

/// Where an attempt of this gateway runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunPlace {
    /// The sidecar's VM.
    pub vm: VmName,
    /// The target.
    pub target: TargetName,
}

/// An attempt that is out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SuspectRun {
    /// What it runs.
    pub fingerprint: Fingerprint,
    /// `None` for another gateway's.
    pub place: Option<RunPlace>,
}

/// Attempts that are out, by what they run.
///
/// What goes wrong without it: an attempt whose caller has left, or whose seal came late, goes on
/// at its sidecar; the next send of the same request runs beside it, and both targets crash. One
/// would notice a third target lost to one request.
///
/// Each is held until its sidecar says that it is over, or until it is sure to be. Bounded; the oldest is forgotten first, which costs at most one more crash.
#[derive(Debug)]
pub struct SuspectRuns {
    runs: FastMap<AttemptId, SuspectRun>,
    out: FastMap<Fingerprint, Vec<(AttemptId, MonoTime)>>,
    /// In order of their beginnings; may name some that are over.
    ages: VecDeque<AttemptId>,
    bound: usize,
}

impl SuspectRuns {
    /// Nothing is out; at most `bound` attempts are held.
    pub fn new(bound: usize) -> Self {
        Self {
            runs: FastMap::default(),
            out: FastMap::default(),
            ages: VecDeque::new(),
            bound: bound.max(1),
        }
    }

    /// The attempt may run until it is told as over, and not after `until`.
    pub fn began(&mut self, run: SuspectRun, attempt: AttemptId, until: MonoTime) {
        if self.runs.contains_key(&attempt) {
            return;
        }
        self.out.entry(run.fingerprint).or_default().push((attempt, until));
        self.runs.insert(attempt, run);
        self.ages.push_back(attempt);
        while self.runs.len() > self.bound {
            let Some(oldest) = self.ages.pop_front() else { return };
            self.over(oldest);
        }
        if self.ages.len() > 2 * self.bound {
            let runs = &self.runs;
            self.ages.retain(|attempt| runs.contains_key(attempt));
        }
    }

    /// The attempt is over. Returns what was held of it.
    pub fn over(&mut self, attempt: AttemptId) -> Option<SuspectRun> {
        let run = self.runs.remove(&attempt)?;
        if let Some(attempts) = self.out.get_mut(&run.fingerprint) {
            attempts.retain(|(other, _)| *other != attempt);
            if attempts.is_empty() {
                self.out.remove(&run.fingerprint);
            }
        }
        Some(run)
    }

    /// Whether an attempt of it may still run.
    pub fn is_out(&self, now: MonoTime, fingerprint: Fingerprint) -> bool {
        self.out
            .get(&fingerprint)
            .is_some_and(|attempts| attempts.iter().any(|(_, until)| *until > now))
    }
}
