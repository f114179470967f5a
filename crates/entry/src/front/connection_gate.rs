//! Turns new client connections away while this process can't serve them.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::node::EntryNode;

/// Interval at which the delay of a task is measured.
const LAG_INTERVAL: Duration = Duration::from_millis(50);

/// Open client connections, and the gate for new ones.
#[derive(Debug)]
pub struct ClientConnections {
    open: Arc<AtomicUsize>,
    gate: Mutex<ConnectionGate>,
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

impl ClientConnections {
    /// Allows at most `max_open` connections.
    pub fn new(max_open: usize) -> Self {
        let settings = ConnectionGateSettings { max_open, ..ConnectionGateSettings::default() };
        Self { open: Arc::default(), gate: Mutex::new(ConnectionGate::new(settings)) }
    }

    /// Counts a connection as open until the returned guard is dropped. It counts from when it is accepted, not from when its
    /// task first runs: until then the gate would admit others in its place.
    pub fn enter(&self) -> OpenConnection {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenConnection(Arc::clone(&self.open))
    }

    /// Number of open connections.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    fn gate(&self) -> MutexGuard<'_, ConnectionGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Whether a new client connection is taken.
pub fn admits(node: &EntryNode) -> bool {
    let is_admitted = node.clients.gate().admits(node.clients.open(), EntryNode::draw());
    if !is_admitted {
        node.metrics.count(Counter::Event("connections_turned_away"));
    }
    is_admitted
}

/// Measures by how much tasks are delayed, until the process ends.
pub async fn measure_lag(node: Arc<EntryNode>) {
    loop {
        let began = Instant::now();
        task::sleep(LAG_INTERVAL).await;
        let lag = began.elapsed().saturating_sub(LAG_INTERVAL);
        let mut gate = node.clients.gate();
        let has_changed = gate.note_lag(lag);
        let share = gate.share();
        drop(gate);
        if has_changed {
            node.log.warn(
                "connection_gate_changed",
                &[
                    ("is_closing", &(share > 0.0)),
                    ("lag_ms", &lag.as_millis()),
                    ("open", &node.clients.open()),
                ],
            );
        }
    }
}
