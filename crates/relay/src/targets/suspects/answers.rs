//! When suspects were answered, at this gateway and at others.

use notch_types::prelude::*;

use super::{
    proofs::ProofTable,
    suspect::{CrashSuspect, RequestSuspects},
};

/// Maximum number of answered parts and requests that are remembered.
const MAX_PROVEN_PARTS: usize = 4_096;
const MAX_PROVEN_REQUESTS: usize = 1_024;
/// Maximum number of suspects that are remembered as found to be sound by other gateways.
const MAX_CLEARED: usize = 1_024;

/// When suspects were answered, at this gateway and at others.
#[derive(Debug)]
pub struct AnswerHistory {
    requests: ProofTable,
    parts: ProofTable,
    /// Suspects that other gateways have found to be sound, and when. Invariant: at most [`MAX_CLEARED`].
    cleared: FastMap<CrashSuspect, MonoTime>,
    /// When the last refusal of a part ended: until then it held up requests that find out more about other parts.
    part_cleared_at: MonoTime,
}

impl Default for AnswerHistory {
    fn default() -> Self {
        Self {
            requests: ProofTable::new(MAX_PROVEN_REQUESTS),
            parts: ProofTable::new(MAX_PROVEN_PARTS),
            cleared: FastMap::default(),
            part_cleared_at: MonoTime::default(),
        }
    }
}

impl AnswerHistory {
    /// Records an answer of this gateway to a request with these suspects.
    pub fn note(&mut self, suspects: RequestSuspects<'_>, now: MonoTime) {
        self.requests.note(suspects.request, now);
        for part in suspects.parts {
            self.parts.note(*part, now);
        }
    }

    /// Records that the refusal of a suspect ended.
    pub fn note_cleared(&mut self, suspect: CrashSuspect, now: MonoTime) {
        match suspect {
            CrashSuspect::Part(_) => self.part_cleared_at = now,
            CrashSuspect::Request(_) => {}
        }
    }

    /// Records that another gateway has answered a suspect.
    pub fn note_elsewhere(&mut self, suspect: CrashSuspect, now: MonoTime) {
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared.clear();
        }
        self.cleared.insert(suspect, now);
        self.note_cleared(suspect, now);
    }

    /// When the last refusal of a part ended.
    pub fn part_cleared_at(&self) -> MonoTime {
        self.part_cleared_at
    }

    /// When this gateway last answered a part; `None` if that isn't known.
    pub fn part(&self, part: u64) -> Option<MonoTime> {
        self.parts.last(part)
    }

    /// When the suspect was last answered, as far as this gateway knows.
    pub fn last(&self, suspect: CrashSuspect) -> Option<MonoTime> {
        let own = match suspect {
            CrashSuspect::Request(id) => self.requests.last(id),
            CrashSuspect::Part(id) => self.parts.last(id),
        };
        own.max(self.cleared.get(&suspect).copied())
    }

    /// Whether this gateway answered the suspect so recently that a crash is not its fault.
    pub fn is_fresh(&self, suspect: CrashSuspect, now: MonoTime) -> bool {
        match suspect {
            CrashSuspect::Request(id) => self.requests.is_fresh(id, now),
            CrashSuspect::Part(id) => self.parts.is_fresh(id, now),
        }
    }
}
