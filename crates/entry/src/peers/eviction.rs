//! Deletes the entries of gateways that were removed for good, and checks this gateway's own entry.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::{
    prelude::StoreObject,
    store::{decode, object_path, spec_body},
};
use notch_relay::{jobs::eviction::EVICTION_ANSWER_TIMEOUT, prelude::*};
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    clock::NodeClock,
    constants::FIRST_LINK_TIMEOUT,
    peers::{
        calls::CallEnd,
        registration::{
            EvictedEntry, EvictionMark, GATEWAY_KIND, GatewayEntry, RegisteredEntry, StoredEntry,
        },
        table::PeerTable,
    },
    store::{call_cause::StoreCallCause, client::StoreClient, reply::StoreFailure},
};

/// How long after an eviction a job that the evicted gateway was still permitted to accept may be stored: a read of its
/// own entry permits that for 3.5 s ([`OWN_ENTRY_VALIDITY`](notch_relay::jobs::eviction::OWN_ENTRY_VALIDITY)), and the
/// client then waits for 2.5 s ([`JOB_STORING_TIMEOUT`](crate::constants::JOB_STORING_TIMEOUT)).
pub const LATE_INTAKE_WINDOW: Duration = Duration::from_millis(6_000);

/// Result of a read of this gateway's own entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnEntryCheck {
    /// The entry is there as it was written last.
    Found,
    /// It is gone or another one, and this is the first read to find that.
    Lost,
    /// It is still gone.
    Gone,
}

/// State of the evictions by and of this gateway.
#[derive(Debug, Default)]
pub struct EvictionState {
    guard: Mutex<OwnEntryGuard>,
    rounds: Mutex<GatewayEviction>,
    /// Number of writes of the own entry that were begun.
    attempts: AtomicU64,
    /// Number of the last write of the own entry that was answered; 0 before the first one.
    registration: AtomicU64,
}

impl EvictionState {
    /// The rule by which this gateway may act on jobs.
    fn guard(&self) -> MutexGuard<'_, OwnEntryGuard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The evictions by this gateway.
    fn rounds(&self) -> MutexGuard<'_, GatewayEviction> {
        self.rounds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What evictions need of a gateway.
#[derive(Debug, Clone, Copy)]
pub struct EvictionEdge<'a> {
    /// This gateway's VM.
    pub vm: &'a VmName,
    /// Its identity.
    pub owner: &'a str,
    /// State of the evictions.
    pub state: &'a EvictionState,
    /// The other gateways.
    pub peers: &'a PeerTable,
    /// The store.
    pub store: &'a StoreClient,
    /// The clocks.
    pub clock: NodeClock,
    /// The log.
    pub log: &'a NodeLog,
    /// The metrics.
    pub metrics: &'a Metrics,
}

impl EvictionEdge<'_> {
    /// Records whether a majority is heard. To be called several times a second.
    pub fn observe(&self) {
        let silence = self.peers.majority_silence(self.clock.mono());
        self.state.guard().observe(silence, self.clock.boot());
    }

    /// Records whether the other gateways' entries are fresh. Returns true if ownership of all jobs is to be invalidated,
    /// as they were outdated.
    pub fn note_entries(&self) -> bool {
        let is_fresh = self.peers.has_fresh_entries(self.clock.mono());
        self.state.guard().note_entries(is_fresh)
    }

    /// Records that ownership of all jobs was invalidated for that reason.
    pub fn note_invalidated(&self) {
        self.state.guard().note_invalidated();
    }

    /// Whether new jobs may be accepted.
    pub fn may_accept(&self) -> bool {
        self.state.guard().may_act(self.clock.boot())
    }

    /// Whether an owner may be certain that its list of results is complete.
    pub fn may_be_certain(&self) -> bool {
        let mut guard = self.state.guard();
        guard.may_act(self.clock.boot()) && guard.has_current_entries()
    }

    /// Whether a takeover may begin.
    pub fn may_take_over(&self) -> bool {
        self.state.guard().may_take_over(self.clock.boot())
    }

    /// Whether the own entry is to be read now.
    pub fn needs_read(&self) -> bool {
        self.state.guard().needs_read(self.clock.boot())
    }

    /// Whether the own entry is to be written again now.
    pub fn needs_registration(&self) -> bool {
        self.state.guard().needs_registration(self.clock.boot())
    }

    /// Records a report that the own entry is gone, which may be outdated.
    pub fn doubt_own_entry(&self) {
        self.state.guard().doubt(self.clock.boot());
    }

    /// The next write of the own entry, with its number.
    pub fn next_registration(&self, entry: GatewayEntry) -> RegisteredEntry {
        let number = self.state.attempts.fetch_add(1, Ordering::AcqRel) + 1;
        RegisteredEntry { entry, registration: Some(number) }
    }

    /// Records that the write of the own entry with this number was answered.
    pub fn note_registered(&self, number: u64) {
        let is_first = self.state.registration.swap(number, Ordering::AcqRel) == 0;
        if !is_first {
            self.state.guard().note_registered(self.clock.boot() + FIRST_LINK_TIMEOUT);
        }
    }

    /// Reads the own entry from the store.
    ///
    /// # Errors
    /// The store did not answer, or this gateway has not registered yet.
    pub async fn check_own_entry(
        &self,
        cause: &'static str,
    ) -> Result<OwnEntryCheck, StoreFailure> {
        let registration = self.state.registration.load(Ordering::Acquire);
        if registration == 0 {
            return Err(StoreFailure::NotDone);
        }
        let asked = self.clock.boot();
        self.metrics.count(Counter::Event("own_entry_reads"));
        let path = object_path(GATEWAY_KIND, self.vm.as_str());
        let reply = self.store.get(StoreCallCause::OwnEntryChecked, &path).await?;
        let is_found = reply.is_success() && self.is_own_entry(&reply.body, registration)?;
        if registration != self.state.registration.load(Ordering::Acquire) {
            // It was written again meanwhile, so the answer says nothing about the current entry.
            return Err(StoreFailure::NotDone);
        }
        let is_new_loss = self.state.guard().note_read(asked, is_found, self.clock.boot());
        if is_found {
            return Ok(OwnEntryCheck::Found);
        }
        if !is_new_loss {
            return Ok(OwnEntryCheck::Gone);
        }
        self.peers.suspect_unlinked(self.clock.mono());
        let wait_ms = self.state.guard().registration_wait(self.clock.boot()).as_millis();
        self.log.warn(
            "own_entry_gone",
            &[("cause", &cause), ("registration", &registration), ("wait_ms", &wait_ms)],
        );
        self.metrics.count(Counter::Event("own_entries_gone"));
        Ok(OwnEntryCheck::Lost)
    }

    /// Whether an object is the own entry as it was written last.
    fn is_own_entry(&self, body: &[u8], registration: u64) -> Result<bool, StoreFailure> {
        let object: StoreObject = decode(body).map_err(|_| StoreFailure::NotDone)?;
        let spec = object.spec.ok_or(StoreFailure::NotDone)?;
        let entry: Result<RegisteredEntry, _> = serde_json::from_str(spec.get());
        Ok(entry.is_ok_and(|found| {
            found.entry.owner == self.owner && found.registration == Some(registration)
        }))
    }

    /// Answers whether another gateway can be evicted as far as this one knows.
    pub fn answer(&self, asker: &VmName, call: u64, vm: &VmName, owner: &str) {
        let absence = self.peers.absence(vm, self.clock.mono());
        let vote = if vm == self.vm { AbsenceVote::Objection } else { absence.vote(owner) };
        let is_gone = vote == AbsenceVote::Gone;
        let is_new = vote == AbsenceVote::NeverLinked;
        let unlinked_ms = absence.unlinked.map_or(0, |unlinked| unlinked.as_millis());
        self.log.info(
            "eviction_asked",
            &[
                ("gateway", vm),
                ("by", asker),
                ("unlinked_ms", &unlinked_ms),
                ("is_gone", &is_gone),
                ("is_new", &is_new),
            ],
        );
        self.peers.send(asker, PeerMessage::EvictionAnswer { call, is_gone, is_new });
    }

    /// Evicts a gateway if one is due and the others agree.
    pub async fn evict_if_due(&self) {
        let now = self.clock.mono();
        if !self.may_accept() || !self.peers.has_fresh_entries(now) {
            return;
        }
        let began = self.state.rounds().begin(self.vm, &self.view(now), now);
        let Some(candidate) = began else { return };
        self.collect_answers(&candidate).await;
        let now = self.clock.mono();
        let verdict = self.state.rounds().verdict(self.vm, &self.view(now), now);
        let outcome = match verdict {
            EvictionVerdict::Agreed => self.delete_entry(&candidate).await,
            EvictionVerdict::Postponed(outcome) => outcome,
            EvictionVerdict::Pending => EvictionOutcome::Unanswered,
        };
        self.note_end(&candidate, outcome);
    }

    fn view(&self, now: MonoTime) -> FleetView {
        let entries = self.peers.roster().entries();
        let mut view = self.peers.fleet_view(&entries, now);
        view.candidates.retain(|candidate| candidate.vm != *self.vm);
        // By the boot clock: the answers may be older than they seem if the VM was suspended since.
        view.is_unsure |= !self.may_accept();
        view
    }

    async fn collect_answers(&self, candidate: &EvictionCandidate) {
        let asks = self.peers.linked_vms().into_iter().map(|peer| async move {
            let (vm, owner) = (candidate.vm.clone(), candidate.owner.clone());
            let ask = |call| PeerMessage::EvictionAsk { call, vm, owner };
            let send = |call| self.peers.send(&peer, ask(call));
            let end = self.peers.eviction_calls.ask(send, EVICTION_ANSWER_TIMEOUT).await;
            if let CallEnd::Answered(vote) = end {
                self.state.rounds().note_answer(&peer, vote);
            }
        });
        join_all(asks).await;
    }

    /// Deletes an entry if it still has the revision that was judged.
    pub async fn delete_entry(&self, candidate: &EvictionCandidate) -> EvictionOutcome {
        let EvictionCandidate { vm, owner, revision, .. } = candidate;
        let mark = EvictionMark { owner: owner.clone(), by: self.owner.to_owned() };
        let body = spec_body(vm.as_str(), Some(*revision), &EvictedEntry { evicted: mark.clone() });
        let path = object_path(GATEWAY_KIND, vm.as_str());
        let wait = self.store.settings().call_timeout;
        let cause = StoreCallCause::Eviction;
        match self.store.call(cause, "PUT", &path, Some(&body), wait).await {
            Ok(reply) if reply.is_success() => EvictionOutcome::Evicted,
            Ok(_) => EvictionOutcome::EntryChanged,
            Err(StoreFailure::NotDone | StoreFailure::Refused) => EvictionOutcome::StoreUnavailable,
            Err(StoreFailure::Unknown) => self.reread_entry(candidate, &mark).await,
        }
    }

    /// The outcome of a deletion without an answer. One that has not taken effect so far may still do so.
    async fn reread_entry(
        &self,
        candidate: &EvictionCandidate,
        mark: &EvictionMark,
    ) -> EvictionOutcome {
        let path = object_path(GATEWAY_KIND, candidate.vm.as_str());
        let Ok(reply) = self.store.get(StoreCallCause::Eviction, &path).await else {
            return EvictionOutcome::Unclear;
        };
        if !reply.is_success() {
            return EvictionOutcome::EntryChanged;
        }
        let Ok(object) = decode::<StoreObject>(&reply.body) else {
            return EvictionOutcome::Unclear;
        };
        let entry = object.spec.and_then(|spec| StoredEntry::decode(spec.get()).ok());
        match entry {
            Some(StoredEntry::Evicted(found)) if found == *mark => EvictionOutcome::Evicted,
            _ if object.metadata.revision == candidate.revision => EvictionOutcome::Unclear,
            _ => EvictionOutcome::EntryChanged,
        }
    }

    fn note_end(&self, candidate: &EvictionCandidate, outcome: EvictionOutcome) {
        let mut rounds = self.state.rounds();
        let (asked, agreed) = rounds.answers();
        rounds.end(self.clock.mono());
        drop(rounds);
        let EvictionCandidate { vm, owner, revision, unlinked } = candidate;
        self.log.warn(
            "eviction_ended",
            &[
                ("gateway", vm),
                ("owner", owner),
                ("revision", revision),
                ("unlinked_ms", &unlinked.as_millis()),
                ("asked", &asked),
                ("agreed", &agreed),
                ("outcome", &outcome.code()),
            ],
        );
        let event = match outcome {
            EvictionOutcome::Evicted => "gateways_evicted",
            _ => "evictions_postponed",
        };
        self.metrics.count(Counter::Event(event));
    }
}
