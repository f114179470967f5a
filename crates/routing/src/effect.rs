//! What the router wants done.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{account_use::AccountUse, event::ArrivalId};

/// How a caller's call ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// With this attempt's whole answer, held by the traffic side until `Forget`.
    Answered {
        /// The attempt.
        attempt: AttemptId,
    },
    /// With the answer stored in the ledger by an earlier call.
    Stored(StoredAnswer),
    /// With a refusal. After `Deliver` of a stream it cuts the stream so that the caller sees it.
    Refused(Refusal),
}

/// Something to do.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterEffect {
    /// Offer the attempt to the sidecar.
    Dispatch {
        /// The request; its body is the one of its first arrival.
        request: RequestId,
        /// The try.
        attempt: AttemptId,
        /// The sidecar's VM.
        vm: VmName,
        /// Time left until the deadline.
        deadline_left: Duration,
        /// Whether the target may run it more than once.
        idempotent: bool,
        /// Whether it must run alone, see [`AttemptOffer::alone`].
        alone: bool,
    },
    /// Ask the sidecar to make sure that the attempt never starts, if it hasn't.
    Seal {
        /// The sidecar's VM.
        vm: VmName,
        /// The attempt; of another gateway when a resend met its claim.
        attempt: AttemptId,
    },
    /// Stop the attempt; its answer is no longer wanted.
    Cancel {
        /// The sidecar's VM.
        vm: VmName,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Claim a non-idempotent request for this attempt. Told again when no answer comes.
    Claim {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// The attempt that will run it.
        attempt: AttemptId,
        /// What it runs.
        fingerprint: Fingerprint,
    },
    /// The attempt surely never started and never will: free its claim.
    ReleaseClaim {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Look up the stored answer of a keyed idempotent request.
    Fetch {
        /// The request.
        request: RequestId,
        /// Who asks.
        account: AccountName,
    },
    /// This attempt's answer is the request's: a stream may be passed on from here on, in order.
    /// A whole answer is passed on at `Finish`, which follows in the same or a later batch.
    Deliver {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Store the attempt's whole answer in the ledger. Told again until `AnswerRecorded` says ok.
    RecordAnswer {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// What it ran.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Store `StoredAnswer::Unknown`: it may have run, and nobody will ever be able to say.
    RecordUnknown {
        /// The request.
        request: RequestId,
        /// Whose.
        account: AccountName,
        /// What it ran.
        fingerprint: Fingerprint,
        /// The attempt.
        attempt: AttemptId,
    },
    /// The call's end: exactly one for each `Arrived`.
    Finish {
        /// The call.
        arrival: ArrivalId,
        /// Its request.
        request: RequestId,
        /// How it ends.
        end: RequestEnd,
    },
    /// The router has forgotten the request: body and answers may be dropped. Comes after the
    /// `Finish` of its last call and after `RecordAnswer`, but before a refusal that waits for the other
    /// gateways: the same request may be sent again meanwhile, and is a new one then.
    Forget {
        /// The request.
        request: RequestId,
    },
    /// The fingerprint crashes targets: tell everyone and the ledger.
    Quarantine {
        /// What crashes targets.
        fingerprint: Fingerprint,
        /// The target's name.
        target: TargetName,
    },
    /// The fingerprint was in flight when the target of `vm` crashed: tell the other gateways,
    /// which feed it as `SuspectSeen`.
    Suspected {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The VM whose target crashed.
        vm: VmName,
        /// Whether it was the only one in flight.
        alone: bool,
    },
    /// The same, of a request of this gateway's own callers, who aren't told of its end before the other
    /// gateways are: tell each that is linked, and feed `SuspicionTold` when all have answered, at once
    /// when there is none.
    TellSuspect {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The VM whose target crashed.
        vm: VmName,
        /// Whether it was the only one in flight.
        alone: bool,
    },
    /// An attempt of a suspect went out, or is over: tell the other gateways, which feed it as
    /// `SuspectRunSeen` and send no other one meanwhile.
    SuspectRun {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The attempt that runs it.
        attempt: AttemptId,
        /// How long it may still run; `None` when it is over.
        left: Option<Duration>,
    },
    /// Tell the other gateways.
    Rumor(AccountUse),
    /// Count.
    Count(Counter),
    /// For `explain`.
    Note(DecisionNote),
}
