//! When to request a newer configuration or target list from another gateway, and which gateway pushes changes to
//! which.

use std::time::Duration;

use notch_types::prelude::*;

/// How long a gateway waits for a change to be pushed to it before it requests the change: several times what a push
/// takes, and short compared to the seconds within which a change must be in force.
const PUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without an answer after which another gateway is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Period in which a gateway answers requests for [`WINDOW_BYTES`].
const ANSWER_WINDOW: Duration = Duration::from_millis(500);
/// What a gateway sends in one [`ANSWER_WINDOW`]: four lists of 3,000 targets, whose parts arrive in turn within
/// [`ANSWER_TIMEOUT`] on a link of 22 Mbit/s, or two hundred lists of sixty targets. Without a limit, hundreds of gateways
/// that start together all ask the first one that reports, wait longer than the time-out for its answer, and ask the next
/// one, while every answer is still sent.
const WINDOW_BYTES: usize = 2_000_000;
/// Pause after a gateway that may not answer now. Hundreds of gateways that start together ask each one that reports.
const DEFERRED_PAUSE: Duration = Duration::from_millis(10);
/// Size of one target's entry in a message.
const ENTRY_BYTES: usize = 160;
/// Two gateways whose digests differ at the same revision for this long have permanently missed a change. Entries that
/// expired in a store outage also make digests differ, but are renewed or removed sooner.
const DIGEST_MISMATCH_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Versions of the store's state that a gateway knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Version of the configuration; 0 for none.
    pub configuration: u64,
    /// Revision of the targets; 0 until a whole list is known.
    pub targets: u64,
    /// Digest of the target list.
    pub digest: u64,
}

impl KnownVersions {
    fn is_behind(self, other: Self) -> bool {
        other.configuration > self.configuration || other.targets > self.targets
    }

    fn is_incomplete(self) -> bool {
        self.configuration == 0 || self.targets == 0
    }
}

/// Limit on the answers to requests for state.
///
/// Designed for hundreds of gateways that start together and all lack a list of thousands of targets. A request beyond
/// the limit is answered by an empty message, and its sender asks another gateway.
#[derive(Debug, Default)]
pub struct AnswerBudget {
    /// When the current window began; `None` before the first answer.
    window_start: Option<MonoTime>,
    /// Bytes answered since `window_start`.
    bytes: usize,
}

impl AnswerBudget {
    /// Whether an answer with `entries` entries may be sent now. One of any size may be the first of a window.
    pub fn take(&mut self, entries: usize, now: MonoTime) -> bool {
        if self.window_start.is_none_or(|start| now.since(start) >= ANSWER_WINDOW) {
            *self = Self { window_start: Some(now), bytes: 0 };
        }
        let bytes = entries.saturating_mul(ENTRY_BYTES);
        let fits = self.bytes == 0 || self.bytes.saturating_add(bytes) <= WINDOW_BYTES;
        if fits {
            self.bytes = self.bytes.saturating_add(bytes);
        }
        fits
    }
}

/// What to request from another gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateRequest {
    /// The changes since the versions known here.
    Changes,
    /// The whole list of targets.
    WholeList,
}

/// Decides when to request newer state from another gateway, one request at a time.
///
/// The worst case is a change for hundreds of gateways, each of which learns from all others that it is behind.
#[derive(Debug, Default)]
pub struct CatchUp {
    /// What was known here when `behind_since` was set.
    known: KnownVersions,
    /// Since when some gateway is known to have newer state than `known`.
    behind_since: Option<MonoTime>,
    /// When the pending request counts as unanswered, or a pause ends.
    ask_again_at: Option<MonoTime>,
    /// Gateways whose last reported digest differs at the same revision, and since when. Reset with `known`.
    differs_since: FastMap<VmName, MonoTime>,
}

impl CatchUp {
    /// Handles another gateway's report of its versions; returns what to request from it now.
    pub fn note_report(
        &mut self,
        peer: &VmName,
        own: KnownVersions,
        theirs: KnownVersions,
        now: MonoTime,
    ) -> Option<StateRequest> {
        if self.known != own {
            *self = Self { known: own, ask_again_at: self.ask_again_at, ..Self::default() };
        }
        let request = self.due_request(peer, own, theirs, now)?;
        if self.ask_again_at.is_some_and(|at| now < at) {
            return None;
        }
        self.ask_again_at = Some(now + ANSWER_TIMEOUT);
        Some(request)
    }

    /// Records that a part of an answer came.
    pub fn note_part(&mut self, is_last: bool, now: MonoTime) {
        let is_pending = self.ask_again_at.is_some() && !is_last;
        self.ask_again_at = is_pending.then(|| now + ANSWER_TIMEOUT);
    }

    /// Records that the gateway that was asked may not answer now.
    pub fn note_deferred(&mut self, now: MonoTime) {
        self.ask_again_at = Some(now + DEFERRED_PAUSE);
    }

    fn due_request(
        &mut self,
        peer: &VmName,
        own: KnownVersions,
        theirs: KnownVersions,
        now: MonoTime,
    ) -> Option<StateRequest> {
        if own.is_behind(theirs) {
            let since = *self.behind_since.get_or_insert(now);
            let is_due = own.is_incomplete() || now.since(since) >= PUSH_TIMEOUT;
            return is_due.then_some(StateRequest::Changes);
        }
        if own.targets != theirs.targets || own.is_incomplete() {
            return None;
        }
        // Gateways that missed the same change have equal digests, so an equal one says nothing of the others.
        if own.digest == theirs.digest {
            self.differs_since.remove(peer);
            return None;
        }
        let since = *self.differs_since.entry(peer.clone()).or_insert(now);
        if now.since(since) < DIGEST_MISMATCH_TIMEOUT {
            return None;
        }
        self.differs_since.clear();
        Some(StateRequest::WholeList)
    }
}

/// Whether `own`, which follows the store, is the follower that pushes changes to `receiver`. All gateways compute the
/// same (rendezvous hashing), so that each change is pushed to each gateway once.
pub fn is_pusher(own: &VmName, followers: &[VmName], receiver: &VmName) -> bool {
    let rank = |vm: &VmName| {
        stable_hash64(&[b"push", vm.as_str().as_bytes(), receiver.as_str().as_bytes()])
    };
    let others = followers.iter().filter(|vm| *vm != own && *vm != receiver);
    others.map(rank).all(|other| other < rank(own))
}
