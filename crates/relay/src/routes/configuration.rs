//! One version of the operators' configuration.

use std::time::Duration;

use crate::{accounts::account::AccountEntry, routes::route::Route};

/// What clients may send, and how long they may take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes of a request's head, at most.
    pub head_bytes: usize,
    /// Bytes of a request's body, at most.
    pub body_bytes: usize,
    /// From a head's first byte to its last.
    pub head_timeout: Duration,
    /// How long a kept connection may stay idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration, whole. Invariant: a process only ever moves to a higher
/// version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Every route.
    pub routes: Vec<Route>,
    /// Bounds on clients.
    pub limits: ClientLimits,
    /// Every client account; `None` where requests need no key.
    pub accounts: Option<Vec<AccountEntry>>,
}
