//! A version of the operators' configuration.

use std::time::Duration;

use crate::{accounts::account::AccountEntry, routes::route::Route};

/// Limits on client requests and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientLimits {
    /// Maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first to the last byte of a request's head.
    pub head_timeout: Duration,
    /// Maximum idle time of a kept-alive connection.
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

/// A complete version of the configuration. Invariant: a process only ever moves to a higher
/// version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Configuration {
    /// Version number; increases with each change, not necessarily by one.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// Limits on client requests and connections.
    pub limits: ClientLimits,
    /// All client accounts; `None` if requests need no key.
    pub accounts: Option<Vec<AccountEntry>>,
}
