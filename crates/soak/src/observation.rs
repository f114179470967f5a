//! Observations of clients and targets, which the checker evaluates.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

pub use notch_platform_standins::client::SeenResult;

use crate::culprit::CrashCulprit;

/// One observation by a client, by a target or by the soak test itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A client is about to send a request.
    Sent {
        /// Id of the client's attempt.
        attempt: String,
        /// How long ago its key was revoked; `None` while the key is valid.
        revoked_for: Option<Duration>,
    },
    /// A client is about to send a request that names its deadline.
    SentWithin {
        /// Id of the client's attempt.
        attempt: String,
        /// Index of the gateway.
        gateway: usize,
        /// Time since the soak test started.
        at: Duration,
        /// How long the client waits.
        deadline: Duration,
    },
    /// A target was handed a request, with this much time.
    HandedOn {
        /// The client's attempt.
        attempt: String,
        /// Time since the soak test started.
        at: Duration,
        /// The time; `None` if none was named.
        left: Option<Duration>,
    },
    /// A client is about to send a request of an account with a limit.
    SentFor {
        /// Id of the client's attempt.
        attempt: String,
        /// The account.
        account: String,
    },
    /// A request was answered, or its connection ended.
    Answered {
        /// Id of the client's attempt.
        attempt: String,
        /// Whether the request may run more than once.
        may_repeat: bool,
        /// HTTP status.
        status: u16,
        /// Attempt that the answer names.
        named: Option<String>,
        /// The body as far as it was received.
        body: String,
        /// Whether the body was received to its end.
        is_whole: bool,
    },
    /// A target began to run a request.
    Ran {
        /// The client's attempt, or the id of the item.
        attempt: String,
        /// The client account for which it ran.
        account: Option<String>,
        /// Whether the target was sent the client's key.
        has_key: bool,
    },
    /// A client took a stream up that had broken off, and was answered or lost its connection again.
    TakenUp {
        /// Id of the client's attempt.
        attempt: String,
        /// The attempt that got the first event.
        begun_by: String,
        /// The last event that the client had.
        last: u64,
        /// HTTP status.
        status: u16,
        /// The body as far as it was received.
        body: String,
        /// Whether the body was received to its end.
        is_whole: bool,
    },
    /// A client is about to send a request that crashes targets.
    SentPoison {
        /// Id of the client's attempt.
        attempt: String,
        /// Index of the gateway.
        gateway: usize,
        /// What of it crashes them.
        culprit: CrashCulprit,
    },
    /// A target crashed under a request.
    Crashed {
        /// The client's attempt.
        attempt: String,
        /// Time since the soak test started.
        at: Duration,
    },
    /// A fault that touches a gateway begins or ends.
    Disturbed {
        /// Index of the gateway; `None` for all.
        gateway: Option<usize>,
        /// Time since the soak test started.
        at: Duration,
        /// Whether it begins.
        begins: bool,
    },
    /// After the faults, sound requests were sent that share their other prompt parts with those that crash targets.
    SoundRequests {
        /// Number of requests.
        sent: usize,
        /// Number of whole answers.
        served: usize,
    },
    /// A target began to run a request of an account with a limit.
    Began {
        /// The client's attempt.
        attempt: String,
        /// The account for which it ran.
        account: String,
        /// Time since the soak test started.
        at: Duration,
    },
    /// A job was accepted.
    JobAccepted {
        /// Id of the job.
        job: String,
        /// Number of its items, whose ids are derived from the job's id.
        items: usize,
    },
    /// A job's results were read from the start.
    JobRead {
        /// Id of the job.
        job: String,
        /// The results in their order.
        results: Vec<SeenResult>,
    },
    /// A gateway was asked for a route that a configuration version added and all later ones have.
    RouteAsked {
        /// The gateway's process. A restarted one may know an older configuration for a moment.
        process: String,
        /// The configuration version that added the route.
        version: u64,
        /// Whether the gateway knew the route.
        is_known: bool,
    },
    /// The faults have ended, and gateways have recovered or the time for that is over.
    Recovered {
        /// Gateways that aren't ready.
        not_ready: Vec<String>,
        /// The current processes of the gateways.
        processes: Vec<String>,
        /// Version of the newest configuration in the store.
        version: u64,
    },
    /// A gateway's process ended without having been stopped.
    EndedByItself {
        /// The process.
        process: String,
    },
}

/// Shared log of all observations.
#[derive(Debug, Clone, Default)]
pub struct ObservationLog(Arc<Mutex<Vec<Observation>>>);

impl ObservationLog {
    /// Adds an observation.
    pub fn add(&self, observation: Observation) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(observation);
    }

    /// All observations so far, in the order in which they were added.
    pub fn all(&self) -> Vec<Observation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
