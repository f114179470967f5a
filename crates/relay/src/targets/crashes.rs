//! Requests that crash the targets which run them.
//!
//! A request may take down each target that begins to run it, and its client sends it again. Nobody
//! notices from one target alone: each one only closes its connections.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

/// Different targets that broke off a request before its first event until it is refused: it may
/// have been bad luck with two, on a day when one answer of twenty is lost.
const CRASH_LIMIT: usize = 3;
/// How long a break counts, and how long a request stays refused: clients send such a request again
/// within seconds, and a new version of the targets may be able to run it.
const CRASH_MEMORY: Duration = Duration::from_secs(60);
/// Requests remembered, at most; the oldest are forgotten first. Ten a second break off on a bad day.
const CRASHES_KEPT: usize = 1_024;

/// What is known of one request.
#[derive(Debug)]
struct CrashRecord {
    at: MonoTime,
    /// Targets that broke it off. Invariant: different ones, [`CRASH_LIMIT`] at most.
    targets: Vec<String>,
}

/// Requests that targets broke off before their first event, by fingerprint.
#[derive(Debug, Default)]
pub struct CrashTable {
    records: FastMap<u64, CrashRecord>,
    /// Fingerprints in the order in which they came.
    ages: VecDeque<u64>,
    /// Requests that are refused, as this or another gateway found, and until when.
    refused: FastMap<u64, MonoTime>,
}

impl CrashTable {
    /// The fingerprint of a request: what is sent again has the same path and body.
    pub fn fingerprint(path: &str, body: &[u8]) -> u64 {
        stable_hash64(&[path.as_bytes(), body])
    }

    /// A target broke a request off before its first event; true when the request is to be refused
    /// from now on.
    pub fn note_interruption(&mut self, fingerprint: u64, target: &str, now: MonoTime) -> bool {
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

    /// A request is to be refused from now on.
    pub fn refuse(&mut self, fingerprint: u64, now: MonoTime) {
        self.records.remove(&fingerprint);
        self.refused.insert(fingerprint, now + CRASH_MEMORY);
    }

    /// A target ran the request: the breaks before were not its doing.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Whether a request is to be refused.
    pub fn is_refused(&self, fingerprint: u64, now: MonoTime) -> bool {
        self.refused.get(&fingerprint).is_some_and(|until| now < *until)
    }

    fn expire(&mut self, now: MonoTime) {
        self.refused.retain(|_, until| now < *until);
        while let Some(oldest) = self.ages.front() {
            let record = self.records.get(oldest);
            let is_over = record.is_none_or(|record| now.since(record.at) > CRASH_MEMORY);
            if !is_over && self.ages.len() < CRASHES_KEPT {
                return;
            }
            self.records.remove(oldest);
            self.ages.pop_front();
        }
    }
}
