//! Eviction of gateways that were removed for good, and when a gateway may act on jobs although its own entry may be
//! gone.
//!
//! Designed for a fleet in which VMs are replaced while others fail: an owner must count every known gateway that is
//! silent as one that may have taken its jobs over. A VM that is gone for good would make all owners read the store
//! for each question until the fleet is restarted.

use std::time::Duration;

use notch_types::prelude::*;

use crate::jobs::registration_pause::RegistrationPause;

/// How long there must have been no link to a gateway before it is evicted. Longer than [`MAJORITY_SILENCE`] by the
/// time that a link takes to be recognized as lost, so that a gateway doubts its own entry before the entry is deleted.
pub const EVICTION_SILENCE: Duration = Duration::from_secs(8);
/// How long there must have been no link before a gateway asks the others. They may notice the loss of their links later,
/// by up to a heartbeat and a pause of the process; an attempt that comes before is refused.
pub const EVICTION_DUE: Duration = Duration::from_millis(8_500);
/// Timeout of the other gateways' answers before an eviction; one takes a few milliseconds.
pub const EVICTION_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause before the next attempt to evict a gateway. Each further gateway by rank waits for as much longer, so that one
/// whose attempts fail does not keep the others from it, and pauses for as much longer between its attempts: with equal
/// pauses, hundreds of gateways would ask all others every five seconds about one that a few still have a link to.
pub const EVICTION_PAUSE: Duration = Duration::from_secs(5);
/// A gateway that has not heard from a majority for this long may have been evicted.
pub const MAJORITY_SILENCE: Duration = Duration::from_secs(4);
/// Interval at which a gateway reads its own entry while it may have been evicted.
pub const OWN_ENTRY_INTERVAL: Duration = Duration::from_millis(2_500);
/// How long a read of the own entry permits to act on jobs, from its start. Longer than [`OWN_ENTRY_INTERVAL`] by a
/// slow answer of the store, so that nothing is refused between two reads.
pub const OWN_ENTRY_VALIDITY: Duration = Duration::from_millis(3_500);

/// Whether `heard` other gateways and this one are a majority of `known` others and this one.
pub fn is_majority(heard: usize, known: usize) -> bool {
    (heard + 1) * 2 > known + 1
}

/// Number of other gateways that make up a majority together with this one, if `known` others are known.
pub fn needed_for_majority(known: usize) -> usize {
    known.div_ceil(2)
}

/// Another gateway without a link that has an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvictionCandidate {
    /// Its VM.
    pub vm: VmName,
    /// Its identity by its entry.
    pub owner: String,
    /// Store revision of its entry.
    pub revision: u64,
    /// How long there has been no link to it.
    pub unlinked: Duration,
}

/// The fleet as one gateway sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// Other gateways with a link. None of them may object to an eviction.
    pub linked: Vec<VmName>,
    /// Those of `linked` that may evict others: they don't stop and have been up for [`EVICTION_SILENCE`], before which
    /// no candidate is due for them.
    pub evictors: Vec<VmName>,
    /// Number of other known gateways.
    pub known: usize,
    /// Number of other gateways that are heard from.
    pub heard: usize,
    /// Gateways without a link.
    pub candidates: Vec<EvictionCandidate>,
    /// Whether this gateway may have been evicted itself or the entries known here are outdated. It evicts none then.
    pub is_unsure: bool,
}

/// What a gateway knows of one that another gateway wants to evict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAbsence {
    /// Its identity by its entry; `None` without one.
    pub owner: Option<String>,
    /// How long there has been no link to it; `None` while there is one.
    pub unlinked: Option<Duration>,
    /// Whether there was a link to it since this process started or last lost its own entry.
    pub was_linked: bool,
}

/// A gateway's answer to another one that wants to evict a third.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AbsenceVote {
    /// There has been no link to it for [`EVICTION_SILENCE`].
    Gone,
    /// There has been no link to it since this process started or lost its own entry, and it has been known here for
    /// less than [`EVICTION_SILENCE`]. Counts neither for nor against the eviction.
    NeverLinked,
    /// There is or was a link to it, or it has started anew.
    Objection,
}

impl PeerAbsence {
    /// The answer about the gateway with the identity `owner`. A newer incarnation is not gone: it has just started.
    pub fn vote(&self, owner: &str) -> AbsenceVote {
        let is_same = self.owner.as_deref().is_none_or(|known| known == owner);
        match self.unlinked {
            Some(unlinked) if is_same && unlinked >= EVICTION_SILENCE => AbsenceVote::Gone,
            Some(_) if is_same && !self.was_linked => AbsenceVote::NeverLinked,
            _ => AbsenceVote::Objection,
        }
    }
}

/// State of an eviction after some of the answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionVerdict {
    /// Answers are missing, and there is time left.
    Pending,
    /// A majority has had no link to it for long and nobody objected: the entry is to be deleted.
    Agreed,
    /// It must not be deleted now.
    Postponed(EvictionOutcome),
}

/// How an eviction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvictionOutcome {
    /// The entry was deleted.
    Evicted,
    /// Another gateway has a link to it, or had one recently, or too few have been up for long enough to tell.
    Refused,
    /// A linked gateway did not answer in time.
    Unanswered,
    /// It has a link or a newer entry by now, or this gateway may not evict it any more.
    NotDue,
    /// The entry had changed or was gone.
    EntryChanged,
    /// The deletion was not done.
    StoreUnavailable,
    /// The answer to the deletion was lost, and the entry still stood when it was read again.
    Unclear,
}

impl EvictionOutcome {
    /// Stable name for logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Evicted => "evicted",
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            Self::NotDue => "not_due",
            Self::EntryChanged => "entry_changed",
            Self::StoreUnavailable => "store_unavailable",
            Self::Unclear => "unclear",
        }
    }
}

/// Since when an entry has been known at its revision.
#[derive(Debug, Clone, Copy)]
struct KnownRevision {
    revision: u64,
    since: MonoTime,
}

/// An eviction for which answers are collected.
#[derive(Debug)]
struct EvictionRound {
    candidate: EvictionCandidate,
    asked_at: MonoTime,
    /// Pause after this attempt.
    pause: Duration,
    /// The gateways that were asked.
    asked: FastSet<VmName>,
    /// Those of `asked` that have not answered so far.
    awaited: FastSet<VmName>,
    /// Those of `asked` that count towards a majority and have been up for long enough to tell.
    voters: FastSet<VmName>,
    /// Number of `voters` without a link to the candidate for [`EVICTION_SILENCE`].
    gone: usize,
    is_refused: bool,
}

/// Decides which gateway this one evicts, and when. One at a time.
///
/// Designed for VMs that are replaced one by one while a few others fail and new ones start: at most one attempt per
/// five seconds and gateway, first by the one that is ranked first among those that hear each other, and fewer by each
/// further one.
#[derive(Debug, Default)]
pub struct GatewayEviction {
    round: Option<EvictionRound>,
    /// Until when no further attempt is made, by gateway.
    postponed: FastMap<VmName, MonoTime>,
    /// Entries of gateways without a link. A gateway that registered again is judged anew.
    revisions: FastMap<VmName, KnownRevision>,
}

impl GatewayEviction {
    /// Selects a gateway to evict and starts to collect answers, if `own` is to evict one now.
    pub fn begin(
        &mut self,
        own: &VmName,
        view: &FleetView,
        now: MonoTime,
    ) -> Option<EvictionCandidate> {
        self.note_revisions(view, now);
        self.postponed.retain(|_, until| now < *until);
        if self.round.is_some() {
            return None;
        }
        let due = view.candidates.iter().filter(|candidate| {
            !self.postponed.contains_key(&candidate.vm) && self.is_due(own, candidate, view, now)
        });
        let candidate = due.max_by_key(|candidate| candidate.unlinked)?.clone();
        let asked: FastSet<VmName> = view.linked.iter().cloned().collect();
        self.round = Some(EvictionRound {
            pause: EVICTION_PAUSE * (1 + evictors_ahead(own, &candidate, view)),
            candidate: candidate.clone(),
            asked_at: now,
            awaited: asked.clone(),
            asked,
            voters: view.evictors.iter().cloned().collect(),
            gone: 0,
            is_refused: false,
        });
        Some(candidate)
    }

    /// Records a gateway's answer.
    pub fn note_answer(&mut self, from: &VmName, vote: AbsenceVote) {
        let Some(round) = &mut self.round else { return };
        let is_first = round.awaited.remove(from);
        match vote {
            AbsenceVote::Gone if is_first && round.voters.contains(from) => round.gone += 1,
            AbsenceVote::Gone | AbsenceVote::NeverLinked => {}
            AbsenceVote::Objection => round.is_refused = true,
        }
    }

    /// Whether the entry is to be deleted, as of the answers so far and of the fleet now.
    pub fn verdict(&self, own: &VmName, view: &FleetView, now: MonoTime) -> EvictionVerdict {
        let Some(round) = &self.round else {
            return EvictionVerdict::Postponed(EvictionOutcome::NotDue);
        };
        let is_late = now.since(round.asked_at) >= EVICTION_ANSWER_TIMEOUT;
        if round.is_refused {
            return EvictionVerdict::Postponed(EvictionOutcome::Refused);
        }
        if !round.awaited.is_empty() {
            let unanswered = EvictionVerdict::Postponed(EvictionOutcome::Unanswered);
            return if is_late { unanswered } else { EvictionVerdict::Pending };
        }
        // A candidate that a majority has not heard for so long doubts its own entry by now. Gateways that have just
        // started cannot tell, but must not keep the others from the eviction either.
        if !is_majority(round.gone, view.known) {
            return EvictionVerdict::Postponed(EvictionOutcome::Refused);
        }
        let judged = &round.candidate;
        let is_same = |candidate: &&EvictionCandidate| {
            candidate.vm == judged.vm && candidate.revision == judged.revision
        };
        let current = view.candidates.iter().find(is_same);
        let is_due = current.is_some_and(|current| self.is_due(own, current, view, now));
        let all_asked = view.linked.iter().all(|vm| round.asked.contains(vm));
        if is_due && all_asked && !is_late {
            EvictionVerdict::Agreed
        } else {
            EvictionVerdict::Postponed(EvictionOutcome::NotDue)
        }
    }

    /// Number of gateways that were asked, and of those that have had no link to the candidate for long.
    pub fn answers(&self) -> (usize, usize) {
        self.round.as_ref().map_or((0, 0), |round| (round.asked.len(), round.gone))
    }

    /// Ends the eviction, whatever its outcome. The next attempt on the same gateway is made after a pause.
    pub fn end(&mut self, now: MonoTime) {
        if let Some(round) = self.round.take() {
            self.postponed.insert(round.candidate.vm, now + round.pause);
        }
    }

    fn note_revisions(&mut self, view: &FleetView, now: MonoTime) {
        let before = std::mem::take(&mut self.revisions);
        for candidate in &view.candidates {
            let known = before.get(&candidate.vm).copied();
            let same = known.filter(|known| known.revision == candidate.revision);
            let new = KnownRevision { revision: candidate.revision, since: now };
            self.revisions.insert(candidate.vm.clone(), same.unwrap_or(new));
        }
    }

    fn is_due(
        &self,
        own: &VmName,
        candidate: &EvictionCandidate,
        view: &FleetView,
        now: MonoTime,
    ) -> bool {
        let is_known_long = self.revisions.get(&candidate.vm).is_some_and(|known| {
            known.revision == candidate.revision && now.since(known.since) >= EVICTION_SILENCE
        });
        let ahead = evictors_ahead(own, candidate, view);
        candidate.unlinked >= EVICTION_DUE + EVICTION_PAUSE * ahead
            && is_known_long
            && !view.is_unsure
            && is_majority(view.heard, view.known)
    }
}

/// Number of gateways that are to evict the candidate before `own`, by rendezvous hash.
fn evictors_ahead(own: &VmName, candidate: &EvictionCandidate, view: &FleetView) -> u32 {
    let rank =
        |vm: &VmName| stable_hash64(&[candidate.vm.as_str().as_bytes(), vm.as_str().as_bytes()]);
    let own = rank(own);
    view.evictors.iter().filter(|vm| rank(vm) > own).count() as u32
}

/// Whether the own entry is in the store, as far as this gateway knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum EntryStanding {
    /// It was there when it was last written or read.
    #[default]
    Registered,
    /// It was found gone, and has to be written again.
    Gone,
    /// It was written again. The other gateways may not know it before this time.
    Rejoining(MonoTime),
}

/// The rule by which a gateway may act on jobs while its own entry may be gone.
///
/// Designed for a gateway that was frozen or cut off for longer than [`EVICTION_SILENCE`], and wakes up or is linked
/// again without knowing that the others evicted it and took its jobs over. Times are those of one clock that also
/// counts while the VM is suspended.
#[derive(Debug, Default)]
pub struct OwnEntryGuard {
    standing: EntryStanding,
    /// When [`observe`](Self::observe) was last called. A long gap means that the process was paused.
    observed_at: Option<MonoTime>,
    /// When a majority was last heard; `None` before the first time.
    majority_at: Option<MonoTime>,
    /// The last time at which this gateway may have been evicted without knowing; `None` while it surely was not.
    doubted_at: Option<MonoTime>,
    /// When a pause of the process was last noticed. What was heard of the others may be from before it.
    paused_at: Option<MonoTime>,
    /// Reads that began earlier don't count.
    required_from: MonoTime,
    /// Start of the last read that found the entry.
    confirmed_at: Option<MonoTime>,
    /// Whether the other gateways' entries were outdated and ownership was not invalidated since.
    has_outdated_entries: bool,
    /// When an entry that is gone is written again.
    registration_pause: RegistrationPause,
}

impl OwnEntryGuard {
    /// Records that a majority of the known gateways was last heard `silence` ago; `None` if it was never heard. To be
    /// called several times a second.
    pub fn observe(&mut self, silence: Option<Duration>, now: MonoTime) {
        self.refresh(now);
        self.observed_at = Some(now);
        if let Some(silence) = silence {
            self.majority_at = self.majority_at.max(Some(now - silence));
        }
        self.refresh(now);
        self.settle(now);
        let heard_at = self.majority_at.filter(|_| !self.lacks_majority(now));
        self.registration_pause.observe(heard_at);
    }

    /// Whether a new job may be accepted, and an owner may be certain that its list of results is complete.
    pub fn may_act(&mut self, now: MonoTime) -> bool {
        self.refresh(now);
        if self.standing != EntryStanding::Registered {
            return false;
        }
        let is_valid = |asked: MonoTime| now.since(asked) < OWN_ENTRY_VALIDITY;
        self.doubted_at.is_none() || self.confirmed_at.is_some_and(is_valid)
    }

    /// Whether a takeover of a job may begin. It is complete only after a read of the own entry.
    pub fn may_take_over(&mut self, now: MonoTime) -> bool {
        self.refresh(now);
        self.standing == EntryStanding::Registered
    }

    /// Whether the other gateways' entries were never outdated since ownership was last invalidated for that reason.
    pub fn has_current_entries(&self) -> bool {
        !self.has_outdated_entries
    }

    /// Records whether the other gateways' entries are fresh. Returns true if ownership of all jobs is to be invalidated,
    /// as they were outdated: a gateway may have registered, taken jobs over and been evicted meanwhile.
    pub fn note_entries(&mut self, is_fresh: bool) -> bool {
        self.has_outdated_entries |= !is_fresh;
        self.has_outdated_entries && is_fresh
    }

    /// Records that ownership of all jobs was invalidated after [`note_entries`](Self::note_entries) asked for it.
    pub fn note_invalidated(&mut self) {
        self.has_outdated_entries = false;
    }

    /// Whether the own entry is to be read now.
    pub fn needs_read(&mut self, now: MonoTime) -> bool {
        self.refresh(now);
        let Some(doubted_at) = self.doubted_at else { return false };
        if self.standing == EntryStanding::Gone {
            return false;
        }
        let Some(confirmed_at) = self.confirmed_at else { return true };
        let is_over = !self.lacks_majority(now) && confirmed_at <= doubted_at;
        is_over || now.since(confirmed_at) >= OWN_ENTRY_INTERVAL
    }

    /// Whether the own entry is to be written again now.
    pub fn needs_registration(&self, now: MonoTime) -> bool {
        self.standing == EntryStanding::Gone && self.registration_wait(now).is_zero()
    }

    /// How long an entry that is gone is not written again yet.
    pub fn registration_wait(&self, now: MonoTime) -> Duration {
        self.registration_pause.left(now)
    }

    /// Records the answer to a read of the own entry that began at `asked`. Returns whether the entry was found gone
    /// for the first time.
    pub fn note_read(&mut self, asked: MonoTime, is_found: bool, now: MonoTime) -> bool {
        self.refresh(now);
        if !is_found {
            let was_gone = self.standing == EntryStanding::Gone;
            self.standing = EntryStanding::Gone;
            self.confirmed_at = None;
            if !was_gone {
                self.registration_pause.begin(now);
            }
            return !was_gone;
        }
        if asked >= self.required_from {
            self.confirmed_at = self.confirmed_at.max(Some(asked));
            self.settle(now);
        }
        false
    }

    /// Records a report that the own entry is gone. It may be older than the last registration, so the entry is read.
    pub fn doubt(&mut self, now: MonoTime) {
        self.doubted_at = Some(now);
        self.required_from = now;
        self.confirmed_at = None;
    }

    /// Records that the own entry was written again. Until `known_from` other gateways may not know it.
    pub fn note_registered(&mut self, known_from: MonoTime) {
        self.standing = EntryStanding::Rejoining(known_from);
    }

    fn lacks_majority(&self, now: MonoTime) -> bool {
        self.majority_at.is_some_and(|heard| now.since(heard) >= MAJORITY_SILENCE)
    }

    fn refresh(&mut self, now: MonoTime) {
        if let EntryStanding::Rejoining(known_from) = self.standing
            && now >= known_from
        {
            self.standing = EntryStanding::Registered;
        }
        let is_paused = self.observed_at.is_some_and(|at| now.since(at) >= MAJORITY_SILENCE);
        if is_paused {
            // Until the next observation each call finds the same pause, so the first one decides what counts.
            if self.doubted_at.is_none_or(|at| now.since(at) >= MAJORITY_SILENCE) {
                self.doubt(now);
            }
            self.paused_at = Some(now);
            self.registration_pause.observe(None);
            // Jobs may have been taken over meanwhile, although the links look as before.
            self.has_outdated_entries = true;
        } else if self.lacks_majority(now) {
            self.doubted_at = Some(now);
        }
    }

    fn settle(&mut self, now: MonoTime) {
        let is_confirmed = self.confirmed_at.is_some_and(|at| Some(at) > self.doubted_at);
        // The others may delete the entry until they have heard this gateway again.
        let is_after_pause = self.paused_at.is_some_and(|at| now.since(at) < EVICTION_SILENCE);
        if is_confirmed && !self.lacks_majority(now) && !is_after_pause {
            self.doubted_at = None;
        }
    }
}
