//! What the control thread is told, and the queue it is told by.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
    mpsc::{self, Receiver, RecvTimeoutError, Sender},
};
use std::time::Duration;

use notch_gate::prelude::{DownCause, EngineHoldings, GateEvent};
use notch_link::prelude::LinkEvent;
use notch_target::prelude::CacheReport;
use notch_types::prelude::*;
use serde_json::Value;

/// Events waiting above which messages of links are no longer taken. The other events are bounded
/// by the runs and the pollers.
const MAX_WAITING: usize = 65_536;

/// One thing the control thread is told.
#[derive(Debug)]
pub(crate) enum ControlEvent {
    /// From a link.
    Link(LinkEvent),
    /// For the gate.
    Gate(GateEvent),
    /// The target answers.
    TargetUp { instance: Option<u64> },
    /// The target doesn't answer.
    TargetDown { cause: DownCause },
    /// What the engine holds.
    Holdings(EngineHoldings),
    /// News of the engine's prefix cache.
    Cache(CacheReport),
    /// Leave gracefully.
    Leave,
    /// What is known of this?
    Explain { subject: NoteSubject, answer: async_channel::Sender<Option<Value>> },
    /// End the thread now.
    End,
}

/// Tells the control thread; never blocks. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct EventSender {
    queue: Sender<ControlEvent>,
    waiting: Arc<AtomicUsize>,
}

/// The control thread's end of the queue.
#[derive(Debug)]
pub(crate) struct EventQueue {
    queue: Receiver<ControlEvent>,
    waiting: Arc<AtomicUsize>,
}

/// A queue and its sender.
pub(crate) fn event_queue() -> (EventSender, EventQueue) {
    let (sender, receiver) = mpsc::channel();
    let waiting = Arc::new(AtomicUsize::new(0));
    let sender = EventSender { queue: sender, waiting: Arc::clone(&waiting) };
    (sender, EventQueue { queue: receiver, waiting })
}

impl EventSender {
    /// Tells; once the thread has ended there is nobody to tell, and nothing left to do.
    pub(crate) fn post(&self, event: ControlEvent) {
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let _ = self.queue.send(event);
    }

    pub(crate) fn gate(&self, event: GateEvent) {
        self.post(ControlEvent::Gate(event));
    }

    /// Whether so much waits that links must be held off.
    pub(crate) fn is_flooded(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > MAX_WAITING
    }
}

impl EventQueue {
    pub(crate) fn recv_timeout(&self, wait: Duration) -> Result<ControlEvent, RecvTimeoutError> {
        let event = self.queue.recv_timeout(wait)?;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        Ok(event)
    }
}
