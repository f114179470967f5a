//! A running server.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_channel::{Receiver, Sender};
use async_std::{future::timeout, task::JoinHandle};

use super::counts::{CountCells, ServerCounts};

/// The server's ends of the signals that stop it: each is given by dropping it.
#[derive(Debug)]
pub(crate) struct StopSignals {
    /// Dropped: no further request starts.
    closing: Option<Sender<()>>,
    /// Dropped: connections end at once.
    cut: Option<Sender<()>>,
    /// Closed once no connection is left.
    ended: Receiver<()>,
}

/// The connections' ends.
#[derive(Debug)]
pub(crate) struct StopWatch {
    /// Closed: no further request may start.
    pub(crate) closing: Receiver<()>,
    /// Closed: end at once.
    pub(crate) cut: Receiver<()>,
    /// Held by each connection.
    pub(crate) alive: Sender<()>,
}

impl StopSignals {
    /// Both ends.
    pub(crate) fn new() -> (Self, StopWatch) {
        let (closing, closing_watch) = async_channel::bounded(1);
        let (cut, cut_watch) = async_channel::bounded(1);
        let (alive, ended) = async_channel::bounded(1);
        let signals = Self { closing: Some(closing), cut: Some(cut), ended };
        (signals, StopWatch { closing: closing_watch, cut: cut_watch, alive })
    }
}

/// A running server; dropping it ends the server at once, in the midst of what it does.
#[derive(Debug)]
pub struct ServerHandle {
    /// Where the server listens.
    address: SocketAddr,
    /// What happened.
    counts: Arc<CountCells>,
    /// How to stop it.
    signals: StopSignals,
    /// The accepting task; it owns the listener.
    accepting: Option<JoinHandle<()>>,
}

impl ServerHandle {
    /// Wraps a running server.
    pub(crate) fn new(
        address: SocketAddr,
        counts: Arc<CountCells>,
        signals: StopSignals,
        accepting: JoinHandle<()>,
    ) -> Self {
        Self { address, counts, signals, accepting: Some(accepting) }
    }

    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Counts since the start.
    pub fn counts(&self) -> ServerCounts {
        self.counts.snapshot()
    }

    /// Stops gracefully: accepts nothing more, closes idle connections, lets running requests end
    /// within `grace`, then cuts what is left.
    pub async fn stop(mut self, grace: Duration) {
        if let Some(accepting) = self.accepting.take() {
            accepting.cancel().await;
        }
        self.signals.closing = None;
        // No message is ever sent: the wait ends when the last connection is gone.
        let ended = self.signals.ended.clone();
        if timeout(grace, ended.recv()).await.is_err() {
            self.signals.cut = None;
            let _ = ended.recv().await;
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.signals.closing = None;
        self.signals.cut = None;
        if let Some(accepting) = self.accepting.take() {
            async_std::task::spawn(accepting.cancel());
        }
    }
}
