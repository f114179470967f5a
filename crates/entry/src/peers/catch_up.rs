//! When to ask another gateway for newer configuration or targets, and who tells whom unasked.

use std::time::Duration;

use notch_types::prelude::*;

/// A change is pushed to each gateway by one that follows the store. Who has missed it for this long asks:
/// several times what a push takes, and short beside the seconds in which a change must be in force.
const PUSH_PATIENCE: Duration = Duration::from_millis(250);
/// Longest wait for an answer before another gateway is asked.
const ANSWER_PATIENCE: Duration = Duration::from_millis(300);
/// Two gateways whose digests differ this long at the same revision have missed a change for good: what the
/// store lets lapse in an outage comes back or is removed sooner.
const DIGEST_PATIENCE: Duration = Duration::from_millis(5_000);

/// Versions of what a gateway knows from the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct KnownVersions {
    /// Of the configuration; 0 for none.
    pub configuration: u64,
    /// Revision of targets; 0 before a whole list.
    pub targets: u64,
    /// Digest over the targets.
    pub digest: u64,
}

impl KnownVersions {
    fn is_behind(self, other: Self) -> bool {
        other.configuration > self.configuration || other.targets > self.targets
    }

    fn has_nothing(self) -> bool {
        self.configuration == 0 || self.targets == 0
    }
}

/// What to ask another gateway for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StateRequest {
    /// What changed since the versions known here.
    Changes,
    /// The whole list of targets.
    WholeList,
}

/// Decides when to ask another gateway for newer state, one question at a time.
///
/// Load pattern: a change reaches hundreds of gateways, which all hear from all others that they are behind.
#[derive(Debug, Default)]
pub struct CatchUp {
    /// What was known here when `behind_since` was set.
    known: KnownVersions,
    /// Since when another gateway has known more than `known`.
    behind_since: Option<MonoTime>,
    /// When a question was asked that isn't answered yet.
    asked_at: Option<MonoTime>,
    /// Since when the digests heard at the same revision differ. Reset by one that is the same.
    differs_since: Option<MonoTime>,
}

impl CatchUp {
    /// Another gateway told its versions; what to ask it for now.
    pub fn note_report(
        &mut self,
        own: KnownVersions,
        theirs: KnownVersions,
        now: MonoTime,
    ) -> Option<StateRequest> {
        if self.known != own {
            *self = Self { known: own, asked_at: self.asked_at, ..Self::default() };
        }
        let question = self.question(own, theirs, now)?;
        if self.asked_at.is_some_and(|asked| now.since(asked) < ANSWER_PATIENCE) {
            return None;
        }
        self.asked_at = Some(now);
        Some(question)
    }

    /// A part of an answer came.
    pub fn note_part(&mut self, is_last: bool, now: MonoTime) {
        self.asked_at = self.asked_at.filter(|_| !is_last).map(|_| now);
    }

    fn question(
        &mut self,
        own: KnownVersions,
        theirs: KnownVersions,
        now: MonoTime,
    ) -> Option<StateRequest> {
        if own.is_behind(theirs) {
            let since = *self.behind_since.get_or_insert(now);
            let is_due = own.has_nothing() || now.since(since) >= PUSH_PATIENCE;
            return is_due.then_some(StateRequest::Changes);
        }
        if own.targets != theirs.targets || own.has_nothing() {
            return None;
        }
        if own.digest == theirs.digest {
            self.differs_since = None;
            return None;
        }
        let since = *self.differs_since.get_or_insert(now);
        if now.since(since) < DIGEST_PATIENCE {
            return None;
        }
        self.differs_since = Some(now);
        Some(StateRequest::WholeList)
    }
}

/// Whether the gateway `own`, which follows the store, is the one among `followers` that pushes changes to
/// `receiver`. All gateways compute the same, so each change comes to each gateway once.
pub fn is_pusher(own: &VmName, followers: &[VmName], receiver: &VmName) -> bool {
    let rank = |vm: &VmName| {
        stable_hash64(&[b"push", vm.as_str().as_bytes(), receiver.as_str().as_bytes()])
    };
    let others = followers.iter().filter(|vm| *vm != own && *vm != receiver);
    others.map(rank).all(|other| other < rank(own))
}
