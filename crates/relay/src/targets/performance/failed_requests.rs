//! Requests that failed, by which failures of a request are told from failures of targets.

use std::{collections::VecDeque, time::Duration};

use notch_types::prelude::*;

use crate::targets::performance::failure_window::FAILURE_WINDOW;

/// How long a failed request is remembered. A job item that fails is run again some seconds later.
const FAILURE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of requests remembered; the oldest are evicted first. A gateway with a twentieth
/// of 200 requests per second would have to fail all of them for this many within a minute.
const MAX_FAILED_REQUESTS: usize = 512;
/// Number of unresponsive targets within the window from which the network of this gateway is the
/// likely cause.
const MANY_TARGETS: usize = 3;

#[derive(Debug)]
struct FailedRequest {
    /// Target that it failed at first.
    target: String,
    /// Whether it has failed at another target as well.
    is_suspect: bool,
    /// When it was remembered.
    since: MonoTime,
    /// When its last failure counted against the target.
    counted: MonoTime,
}

/// Failed requests of one gateway, by fingerprint.
///
/// It is designed for requests that fail at every target and are sent again by their client, and for
/// gateways that lose the connection to most targets at once.
#[derive(Debug, Default)]
pub struct FailedRequests {
    records: FastMap<u64, FailedRequest>,
    /// Fingerprints in insertion order.
    ages: VecDeque<(u64, MonoTime)>,
    /// Targets that sent nothing, with the time of the last such failure. Invariant: one entry for
    /// each target, and none older than the failure window when one is added.
    unresponsive: Vec<(String, MonoTime)>,
}

impl FailedRequests {
    /// Records a failure of a request. Returns whether it counts against the target: a request that
    /// also failed at another target may be the cause itself, and a client that repeats one request
    /// at the same target counts once in a window.
    pub fn note_failure(&mut self, fingerprint: u64, target: &str, now: MonoTime) -> bool {
        self.expire(now);
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.is_suspect |= record.target != target;
            let is_counted = !record.is_suspect && now.since(record.counted) >= FAILURE_WINDOW;
            if is_counted {
                record.counted = now;
            }
            return is_counted;
        }
        let target = target.to_owned();
        let record = FailedRequest { target, is_suspect: false, since: now, counted: now };
        self.records.insert(fingerprint, record);
        self.ages.push_back((fingerprint, now));
        true
    }

    /// Discards the failure of a request that a target has answered: the request did not cause it.
    pub fn clear(&mut self, fingerprint: u64) {
        self.records.remove(&fingerprint);
    }

    /// Records that a target sent nothing. Returns whether that counts against it: a gateway that is
    /// cut off from many targets at once is the likely cause itself.
    pub fn note_silence(&mut self, target: &str, now: MonoTime) -> bool {
        self.unresponsive.retain(|(known, at)| known != target && now.since(*at) < FAILURE_WINDOW);
        self.unresponsive.push((target.to_owned(), now));
        self.unresponsive.len() < MANY_TARGETS
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some((oldest, at)) = self.ages.front().copied() {
            let is_over = now.since(at) > FAILURE_RETENTION;
            let is_known = self.records.get(&oldest).is_some_and(|record| record.since == at);
            if !is_over && is_known && self.ages.len() < MAX_FAILED_REQUESTS {
                return;
            }
            if is_known {
                self.records.remove(&oldest);
            }
            self.ages.pop_front();
        }
    }
}
