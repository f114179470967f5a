//! Detection of requests that crash the targets running them.
//!
//! Such a request can take down one target after another, because its client sends it again. No
//! single target reveals the cause: each of them only closes its connections.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Number of different targets that must interrupt a request before its first event until the
/// request is refused. Two could be a coincidence when one answer in twenty is lost.
const CRASH_LIMIT: usize = 3;
/// How long an interruption counts and how long a request stays refused. Clients resend such a
/// request within seconds, and a new version of the targets may be able to run it.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// Time for which an answer proves that a request does not crash targets.
const PROOF_TIME: Duration = Duration::from_secs(10);
/// Maximum number of requests remembered; the oldest are evicted first. Ten requests a second are
/// interrupted in bad conditions.
const MAX_CRASH_RECORDS: usize = 1_024;

/// Time before the refusal of a prompt part from which interruptions are put down to that part.
const FORGIVEN_TIME: Duration = Duration::from_secs(10);

/// Interruptions of one request.
#[derive(Debug)]
struct CrashRecord {
    at: MonoTime,
    /// Targets that interrupted the request. Invariant: distinct, at most [`CRASH_LIMIT`].
    targets: Vec<String>,
}

/// Requests that targets interrupted before the first event, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTable {
    records: FastMap<u64, CrashRecord>,
    /// Fingerprints in insertion order.
    ages: VecDeque<u64>,
    /// When requests were answered here.
    proven: FastMap<u64, MonoTime>,
    /// Fingerprints in the order in which they were first proven. Invariant: contains every key of
    /// `proven`.
    proven_ages: VecDeque<u64>,
    /// Refused requests, as determined by this or another gateway, with the end of the refusal.
    refused: FastMap<u64, MonoTime>,
}

impl CrashTable {
    /// Fingerprint of a request. A resent request has the same path and body.
    pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
        stable_hash64(&[path.as_bytes(), body])
    }

    /// Records that a target interrupted a request before its first event. Returns true if the
    /// request is refused from now on.
    pub fn note_interruption(&mut self, fingerprint: u64, target: &str, now: MonoTime) -> bool {
        if self.is_proven(fingerprint, now) {
            return false;
        }
        self.expire(now);
        let record = self.records.entry(fingerprint).or_insert_with(|| {
            self.ages.push_back(fingerprint);
            CrashRecord { at: now, targets: Vec::new() }
        });
        if !record.targets.iter().any(|known| known == target) {
            record.targets.push(target.to_owned());
        }
        if record.targets.len() < CRASH_LIMIT {
            return false;
        }
        self.refuse(fingerprint, now);
        true
    }

    /// Refuses a request from now on.
    pub fn refuse(&mut self, fingerprint: u64, now: MonoTime) {
        self.refuse_for(fingerprint, CRASH_RETENTION, now);
    }

    /// Refuses a request for a time, at most the usual one.
    pub fn refuse_for(&mut self, fingerprint: u64, left: Duration, now: MonoTime) {
        self.records.remove(&fingerprint);
        self.refused.insert(fingerprint, now + left.min(CRASH_RETENTION));
    }

    /// Refused requests, each with the time for which it is refused: at most `max` of them.
    pub fn refusals(&self, max: usize, now: MonoTime) -> impl Iterator<Item = (u64, Duration)> {
        let refused = self.refused.iter().filter(move |(_, until)| now < **until);
        refused.take(max).map(move |(fingerprint, until)| (*fingerprint, until.since(now)))
    }

    /// Discards the interruptions of a request after a target has run it at `now`: the request did not
    /// cause them.
    pub fn clear(&mut self, fingerprint: u64, now: MonoTime) {
        self.records.remove(&fingerprint);
        if self.proven.insert(fingerprint, now).is_none() {
            self.proven_ages.push_back(fingerprint);
        }
        while self.proven_ages.len() > MAX_CRASH_RECORDS {
            let Some(oldest) = self.proven_ages.pop_front() else { return };
            self.proven.remove(&oldest);
        }
    }

    /// Whether a request was answered here so recently that interruptions are not its fault.
    pub fn is_proven(&self, fingerprint: u64, now: MonoTime) -> bool {
        self.proven.get(&fingerprint).is_some_and(|at| now.since(*at) < PROOF_TIME)
    }

    /// Discards the interruptions and refusals of a short time before `now`, when the prompt part was
    /// found that crashed the targets.
    pub fn forgive(&mut self, now: MonoTime) {
        self.records.retain(|_, record| now.since(record.at) >= FORGIVEN_TIME);
        self.refused.retain(|_, until| until.since(now) + FORGIVEN_TIME <= CRASH_RETENTION);
    }

    /// Ends the refusal of a request that another gateway knows to be sound.
    pub fn end_refusal(&mut self, fingerprint: u64) {
        self.refused.remove(&fingerprint);
        self.records.remove(&fingerprint);
    }

    /// Whether a request is refused at `now`.
    pub fn is_refused(&self, fingerprint: u64, now: MonoTime) -> bool {
        self.refused.get(&fingerprint).is_some_and(|until| now < *until)
    }

    fn expire(&mut self, now: MonoTime) {
        self.refused.retain(|_, until| now < *until);
        while let Some(oldest) = self.ages.front() {
            let record = self.records.get(oldest);
            let is_over = record.is_none_or(|record| now.since(record.at) > CRASH_RETENTION);
            if !is_over && self.ages.len() < MAX_CRASH_RECORDS {
                return;
            }
            self.records.remove(oldest);
            self.ages.pop_front();
        }
    }
}
