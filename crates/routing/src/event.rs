//! What the router is told.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::prelude::*;

use crate::{
    account_use::AccountUse,
    policy::{AccountLimit, TargetPolicy},
};

/// One caller waiting for one answer; drawn by the gateway for each call, never reused. A resend
/// of a keyed request has the same [`RequestId`] and another `ArrivalId`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ArrivalId(pub u64);

/// A caller's request as the router needs it; the body stays with the traffic side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OnlineRequest {
    /// Which call this is.
    pub arrival: ArrivalId,
    /// The request: derived from account and key when keyed, random otherwise.
    pub request: RequestId,
    /// Who asks.
    pub account: AccountName,
    /// What is asked.
    pub target: TargetName,
    /// Path below the target for a plain service, empty for an engine.
    pub path: String,
    /// Whether the caller gave an idempotency key.
    pub keyed: bool,
    /// The caller's own mark; `None` leaves it to the target's policy. A path that the policy
    /// lists as non-idempotent stays so whatever the caller says.
    pub idempotent: Option<bool>,
    /// What it would run.
    pub fingerprint: Fingerprint,
    /// Digest of the prompt's head, as sidecars report it in `warm_prefixes`; `None` for services.
    pub prefix: Option<u64>,
    /// When the caller stops waiting; `None` takes the target's default.
    pub deadline: Option<MonoTime>,
    /// Whether the caller reads a stream.
    pub stream: bool,
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum RouterEvent {
    /// A caller asks.
    Arrived(OnlineRequest),
    /// The caller hung up.
    CallerGone {
        /// Which call.
        arrival: ArrivalId,
    },
    /// The first byte of the attempt's answer is at the gateway. For a stream the router answers
    /// with `Deliver`; before that, not a byte may go to the caller.
    AnswerBegun {
        /// The attempt.
        attempt: AttemptId,
        /// Time from dispatch to that byte.
        first_token: Duration,
    },
    /// The first byte went to the caller: no other attempt may be joined to it. Follows from
    /// `Deliver` for a stream; telling it again does no harm.
    DeliveryBegun {
        /// The request.
        request: RequestId,
    },
    /// The sidecar says that the target started on it.
    AttemptStarted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The end mark, and for `Complete` the whole answer, is at the gateway.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: AttemptOutcome,
        /// Time from dispatch to the first byte, when there was one.
        first_token: Option<Duration>,
    },
    /// The sidecar didn't take it.
    AttemptRefused(AttemptRefusal),
    /// Answer to `Seal`.
    AttemptSealed {
        /// The attempt.
        attempt: AttemptId,
        /// What is known.
        verdict: SealVerdict,
    },
    /// The link is lost for good, or the sidecar came back with another incarnation. Fed for
    /// dispatched attempts; `SidecarGone` and a new incarnation in `SidecarSeen` do it for all of
    /// a sidecar's attempts by themselves.
    AttemptLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The ledger's answer to `Claim`.
    ClaimAnswered {
        /// The request.
        request: RequestId,
        /// The attempt named by the claim.
        attempt: AttemptId,
        /// The verdict, or why there is none.
        result: Result<ClaimVerdict, Refusal>,
    },
    /// The ledger's answer to `Fetch`.
    AnswerFetched {
        /// The request.
        request: RequestId,
        /// The stored answer if there is one, or why nothing can be said.
        result: Result<Option<StoredAnswer>, Refusal>,
    },
    /// The ledger's answer to `RecordAnswer` or `RecordUnknown`.
    AnswerRecorded {
        /// The request.
        request: RequestId,
        /// Whether it is durable now.
        ok: bool,
    },
    /// A sidecar of this gateway's subset said welcome on a new link.
    SidecarSeen {
        /// Its VM.
        vm: VmName,
        /// Its failure domain.
        domain: DomainName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// What it serves, and how loaded it is.
        load: LoadReport,
    },
    /// A sidecar's load report.
    SidecarLoad {
        /// Its VM.
        vm: VmName,
        /// The report.
        report: LoadReport,
    },
    /// The link is silent: nothing new goes there until it is back.
    SidecarSilent {
        /// Its VM.
        vm: VmName,
    },
    /// The link works again, or was replaced, with the same incarnation.
    SidecarBack {
        /// Its VM.
        vm: VmName,
    },
    /// The sidecar itself says that it is leaving. Holds for its incarnation only: a sidecar that
    /// was restarted in place takes work again.
    SidecarDraining {
        /// Its VM.
        vm: VmName,
    },
    /// The VM list or a catalogue entry says that the VM is leaving. Holds whatever its sidecar's
    /// incarnation, until `SidecarStaying` or `SidecarGone`; may come before `SidecarSeen`.
    SidecarLeaving {
        /// Its VM.
        vm: VmName,
    },
    /// Neither the VM list nor an entry says any more that it is leaving.
    SidecarStaying {
        /// Its VM.
        vm: VmName,
    },
    /// Nothing more is expected of the VM: its attempts are lost. It may still run them, so what
    /// must run at most once stays claimed. A sidecar that merely leaves the subset is told as
    /// leaving until its attempts end.
    SidecarGone {
        /// Its VM.
        vm: VmName,
    },
    /// Every target of the catalogue, replacing what was known.
    TargetsChanged(Vec<TargetPolicy>),
    /// Every account of the catalogue, replacing what was known.
    AccountsChanged(Vec<AccountLimit>),
    /// How much of an account's limit another gateway uses.
    AccountRumor {
        /// The other gateway.
        gateway: VmName,
        /// Its use.
        usage: AccountUse,
    },
    /// How many gateways share the accounts' limits, this one included.
    GatewayCount(u32),
    /// Another gateway is gone: its use no longer counts.
    GatewayGone {
        /// The other gateway.
        gateway: VmName,
    },
    /// Fingerprints quarantined elsewhere, by gossip or from the ledger.
    QuarantineSeen(Vec<Fingerprint>),
    /// A sidecar's target crashed with these in flight.
    Suspects {
        /// The sidecar's VM.
        vm: VmName,
        /// The target that crashed.
        target: TargetName,
        /// What was in flight, batch items included.
        fingerprints: Vec<Fingerprint>,
        /// Whether it was the only one in flight.
        alone: bool,
    },
    /// Another gateway's `Suspected`.
    SuspectSeen {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The VM whose target crashed.
        vm: VmName,
        /// Whether it was the only one in flight.
        alone: bool,
    },
    /// Every linked gateway has answered each `TellSuspect` of it.
    SuspicionTold {
        /// The suspect.
        fingerprint: Fingerprint,
    },
    /// Another gateway's `SuspectRun`.
    SuspectRunSeen {
        /// The suspect.
        fingerprint: Fingerprint,
        /// The attempt that runs it.
        attempt: AttemptId,
        /// How long it may still run; `None` when it is over.
        left: Option<Duration>,
    },
    /// Time passed; fed at `next_wake` or later.
    Tick,
    /// The gateway is leaving: refuse what is new, finish the rest.
    Leave,
}
