//! How a client connects and how long it waits.

use std::time::Duration;

/// Settings of one client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// Longest wait from the last byte of the request to the end of the answer's head.
    pub response_timeout: Duration,
    /// Longest silence inside the answer's body, and longest time the peer takes no byte of a
    /// request.
    pub body_timeout: Duration,
    /// A kept connection is closed after this long without use; below the server's own idle time.
    pub idle_timeout: Duration,
    /// Kept connections for each address; more are closed after use.
    pub idle_per_address: usize,
    /// Kept connections in all.
    pub idle_in_all: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(2),
            response_timeout: Duration::from_secs(60),
            body_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(30),
            idle_per_address: 64,
            idle_in_all: 1_024,
        }
    }
}
