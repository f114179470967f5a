//! Where one request is.

use notch_types::prelude::*;

use crate::{
    effect::RequestEnd,
    event::{ArrivalId, OnlineRequest},
};

/// What is known of an attempt's start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptFate {
    /// Never dispatched.
    Unsent,
    /// Dispatched; nothing is known.
    Sent,
    /// Started, ended, or may have.
    MaybeStarted,
    /// Refused or sealed: proved never to have started and never to start.
    NeverStarted,
}

impl AttemptFate {
    /// Whether it surely never ran.
    pub(crate) fn is_clean(self) -> bool {
        matches!(self, Self::Unsent | Self::NeverStarted)
    }
}

/// Why an attempt came to nothing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptFailure {
    /// What the next try is counted under.
    pub(crate) retry: RetryReason,
    /// What the caller is told when there is no next try.
    pub(crate) refusal: RefusalReason,
    /// The same for a person.
    pub(crate) detail: &'static str,
}

/// One try.
#[derive(Debug, Clone)]
pub(crate) struct AttemptRecord {
    pub(crate) id: AttemptId,
    /// Place of its sidecar in the sidecar table.
    pub(crate) place: usize,
    pub(crate) vm: VmName,
    pub(crate) fate: AttemptFate,
    pub(crate) sent_at: MonoTime,
    /// Whether it ran alone, as a suspect.
    pub(crate) alone: bool,
}

/// How far the current attempt is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// Dispatched.
    Offered,
    /// In doubt: the sidecar is asked for a seal.
    Sealing {
        /// Seals asked for.
        tries: u32,
    },
    /// The target works on it.
    Started,
}

/// The record of a settled keyed request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RecordState {
    pub(crate) attempt: AttemptId,
    /// When it was first asked for.
    pub(crate) since: MonoTime,
    pub(crate) tries: u32,
}

/// What the request waits for.
#[derive(Debug)]
pub(crate) enum RequestPhase {
    /// The look-up of a stored answer.
    Fetching,
    /// The ledger's answer to its claim.
    Claiming { attempt: AttemptId, since: MonoTime, tries: u32 },
    /// Another attempt that holds the claim.
    Held {
        attempt: AttemptId,
        by: AttemptId,
        since: MonoTime,
        tries: u32,
        /// Whether a claim is asked for and not answered.
        asking: bool,
    },
    /// The end of a backoff.
    Backoff,
    /// Its current attempt.
    Running { attempt: AttemptId, stage: RunStage },
    /// The record of its end; callers that aren't told yet get it then, or at `tell_at`.
    Settled { end: RequestEnd, record: RecordState, tell_at: MonoTime },
    /// Nothing.
    Done,
}

/// One caller that isn't answered yet.
#[derive(Debug, Clone)]
pub(crate) struct WaitingCaller {
    pub(crate) arrival: ArrivalId,
    pub(crate) deadline: MonoTime,
    /// Whether its account has a slot taken for it.
    pub(crate) holds_slot: bool,
}

/// One request and all calls that ask for it.
#[derive(Debug)]
pub(crate) struct RequestState {
    /// As it first arrived.
    pub(crate) lead: OnlineRequest,
    pub(crate) idempotent: bool,
    /// Deadline of the work: the first caller's.
    pub(crate) deadline: MonoTime,
    /// Bounded by `RouterSettings::max_followers`.
    pub(crate) callers: Vec<WaitingCaller>,
    pub(crate) phase: RequestPhase,
    /// When `phase` wants attention.
    pub(crate) wake_at: Option<MonoTime>,
    /// Every try, oldest first. Bounded by `RetrySettings::max_attempts`.
    pub(crate) attempts: Vec<AttemptRecord>,
    /// The attempt whose answer the caller is getting. Invariant: once set it is never changed,
    /// and no further attempt is dispatched.
    pub(crate) delivered: Option<AttemptId>,
    /// Why the last attempt came to nothing.
    pub(crate) failure: Option<AttemptFailure>,
}

impl RequestState {
    /// A request with its first caller and nothing done.
    pub(crate) fn new(lead: OnlineRequest, idempotent: bool, deadline: MonoTime) -> Self {
        let caller = WaitingCaller { arrival: lead.arrival, deadline, holds_slot: true };
        Self {
            lead,
            idempotent,
            deadline,
            callers: vec![caller],
            phase: RequestPhase::Backoff,
            wake_at: None,
            attempts: Vec::new(),
            delivered: None,
            failure: None,
        }
    }

    pub(crate) fn id(&self) -> RequestId {
        self.lead.request
    }

    pub(crate) fn is_done(&self) -> bool {
        matches!(self.phase, RequestPhase::Done)
    }

    pub(crate) fn record(&self, attempt: AttemptId) -> Option<&AttemptRecord> {
        self.attempts.iter().find(|record| record.id == attempt)
    }

    pub(crate) fn record_mut(&mut self, attempt: AttemptId) -> Option<&mut AttemptRecord> {
        self.attempts.iter_mut().find(|record| record.id == attempt)
    }

    /// The attempt that runs, or may, and is waited for.
    pub(crate) fn running(&self) -> Option<(AttemptId, RunStage)> {
        match self.phase {
            RequestPhase::Running { attempt, stage } => Some((attempt, stage)),
            _ => None,
        }
    }

    pub(crate) fn is_running(&self, attempt: AttemptId) -> bool {
        self.running().is_some_and(|(running, _)| running == attempt)
    }

    /// The attempt named by a claim that may be in the ledger though it was never dispatched.
    pub(crate) fn claim_in_doubt(&self) -> Option<AttemptId> {
        match self.phase {
            RequestPhase::Claiming { attempt, .. } => Some(attempt),
            RequestPhase::Held { attempt, .. } => Some(attempt),
            _ => None,
        }
    }

    /// Whether every attempt made here surely never ran.
    pub(crate) fn is_clean(&self) -> bool {
        self.attempts.iter().all(|record| record.fate.is_clean())
    }

    /// VMs that were tried.
    pub(crate) fn tried(&self) -> Vec<VmName> {
        self.attempts
            .iter()
            .filter(|record| record.fate != AttemptFate::Unsent)
            .map(|record| record.vm.clone())
            .collect()
    }

    /// When the request wants attention next.
    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        let callers = self.callers.iter().map(|caller| caller.deadline).min();
        match (callers, self.wake_at) {
            (Some(caller), Some(wake)) => Some(caller.min(wake)),
            (caller, wake) => caller.or(wake),
        }
    }
}
