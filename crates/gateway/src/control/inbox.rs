//! The way into the control thread.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
    mpsc::{self, Receiver, RecvTimeoutError, Sender},
};
use std::time::Duration;

use crate::control::event::ControlEvent;

/// Events that may wait before new callers are refused as overloaded.
const CROWDED: usize = 20_000;

/// Sends events to the control thread. Cheap to clone.
///
/// The queue itself has no bound: an event lost here (a link's end, a commit) would leave state
/// wrong for good. Instead what feeds it is bounded: callers are refused while it is crowded,
/// and links bring only what was asked of them.
#[derive(Debug, Clone)]
pub struct ControlInbox {
    sender: Sender<ControlEvent>,
    depth: Arc<AtomicUsize>,
}

/// The control thread's end.
#[derive(Debug)]
pub struct ControlQueue {
    receiver: Receiver<ControlEvent>,
    depth: Arc<AtomicUsize>,
}

/// What waiting for an event brought.
#[derive(Debug)]
#[expect(clippy::large_enum_variant, reason = "one at a time, on the stack of one thread")]
pub enum NextEvent {
    /// An event.
    Event(ControlEvent),
    /// Nothing in time.
    TimedOut,
    /// Every sender is gone.
    Closed,
}

/// A connected pair.
pub fn control_channel() -> (ControlInbox, ControlQueue) {
    let (sender, receiver) = mpsc::channel();
    let depth = Arc::new(AtomicUsize::new(0));
    (ControlInbox { sender, depth: Arc::clone(&depth) }, ControlQueue { receiver, depth })
}

impl ControlInbox {
    /// Queues an event; lost without a word once the control thread has stopped.
    pub fn send(&self, event: ControlEvent) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        let _ = self.sender.send(event);
    }

    /// Whether so much waits that new callers should be refused.
    pub fn is_crowded(&self) -> bool {
        self.depth.load(Ordering::Relaxed) > CROWDED
    }
}

impl ControlQueue {
    /// The next event, waited for.
    pub fn next(&self, wait: Duration) -> NextEvent {
        match self.receiver.recv_timeout(wait) {
            Ok(event) => {
                self.depth.fetch_sub(1, Ordering::Relaxed);
                NextEvent::Event(event)
            }
            Err(RecvTimeoutError::Timeout) => NextEvent::TimedOut,
            Err(RecvTimeoutError::Disconnected) => NextEvent::Closed,
        }
    }

    /// An event that waits already.
    pub fn try_next(&self) -> Option<ControlEvent> {
        let event = self.receiver.try_recv().ok()?;
        self.depth.fetch_sub(1, Ordering::Relaxed);
        Some(event)
    }
}
