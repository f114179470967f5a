//! What clients and targets saw.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

pub use notch_platform_standins::client::SeenResult;

/// One thing that a client, a target or the run saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Observation {
    /// A request is about to be sent.
    Sent {
        /// The client's attempt.
        attempt: String,
        /// How long ago its key was taken away; `None` while it holds.
        taken_away_for: Option<Duration>,
    },
    /// A request was answered, or its connection ended.
    Answered {
        /// The client's attempt.
        attempt: String,
        /// Whether it may be run more than once.
        may_repeat: bool,
        /// The status.
        status: u16,
        /// The attempt that the answer names.
        named: Option<String>,
        /// The body as far as it came.
        body: String,
        /// Whether it came to its end.
        is_whole: bool,
    },
    /// A target began to run a request.
    Ran {
        /// The client's attempt, or the item.
        attempt: String,
        /// The account for which it ran.
        account: Option<String>,
        /// Whether the client's key came with it.
        has_key: bool,
    },
    /// A job was accepted.
    JobAccepted {
        /// The job.
        job: String,
        /// Its items, named after it.
        items: usize,
    },
    /// A job's results were read from the start.
    JobRead {
        /// The job.
        job: String,
        /// Results in their order.
        results: Vec<SeenResult>,
    },
    /// A gateway was asked whether it knows a route, which each configuration from one on has.
    RouteAsked {
        /// The gateway's process: a restarted one may know less for a moment.
        process: String,
        /// The configuration that first had the route.
        version: u64,
        /// Whether it knew it.
        is_known: bool,
    },
    /// The faults are over and the time to recover as well.
    Recovered {
        /// Gateways that aren't ready.
        not_ready: Vec<String>,
        /// The gateways' processes that run now.
        processes: Vec<String>,
        /// Newest configuration that the store holds.
        version: u64,
    },
    /// A gateway's process ended though nobody stopped it.
    EndedByItself {
        /// Which.
        process: String,
    },
}

/// Where everyone writes what they saw.
#[derive(Debug, Clone, Default)]
pub struct ObservationLog(Arc<Mutex<Vec<Observation>>>);

impl ObservationLog {
    /// Adds one.
    pub fn add(&self, observation: Observation) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).push(observation);
    }

    /// All so far, in the order in which they were written.
    pub fn all(&self) -> Vec<Observation> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
