//! Tells the router when a caller goes away.

use notch_routing::ArrivalId;

use crate::control::{event::ControlEvent, inbox::ControlInbox};

/// Dropped with the caller's future: the router then learns that nobody waits any more and stops
/// the work. Without it an abandoned request would hold its slot at the target to the end.
pub struct ArrivalGuard {
    arrival: ArrivalId,
    inbox: ControlInbox,
    finished: bool,
}

impl ArrivalGuard {
    /// Guards a call.
    pub fn new(arrival: ArrivalId, inbox: ControlInbox) -> Self {
        Self { arrival, inbox, finished: false }
    }

    /// The router ended the call itself.
    pub fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        if !self.finished {
            self.inbox.send(ControlEvent::CallerGone(self.arrival));
        }
    }
}
