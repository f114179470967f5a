//! Send queue of a link.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use event_listener::Event;

use crate::{encoded::EncodedMessage, error::LinkError};

/// Limits of a send queue.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Maximum number of messages.
    pub messages: usize,
    /// Maximum size of all messages together, bytes. A larger message is accepted if the queue is
    /// empty.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct QueueState {
    messages: VecDeque<EncodedMessage>,
    /// Total size of `messages`, bytes.
    bytes: usize,
    is_closed: bool,
}

/// Send queue of one link, bounded in number of messages and in bytes.
///
/// A message replaces a queued one with the same [`CoalesceKey`], so that a peer that reads slowly
/// receives the newest state and the queue holds only one copy of it.
///
/// [`CoalesceKey`]: notch_messages::coalesce::CoalesceKey
#[derive(Debug)]
pub struct LinkQueue {
    limits: QueueLimits,
    state: Mutex<QueueState>,
    /// Notified when a message is queued or the queue is closed.
    filled: Event,
}

impl LinkQueue {
    /// Creates an empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self { limits, state: Mutex::default(), filled: Event::new() }
    }

    /// Queues a message.
    ///
    /// # Errors
    /// `Full` or `Closed`.
    pub fn try_push(&self, message: EncodedMessage) -> Result<(), LinkError> {
        self.state().push(message, self.limits)?;
        self.filled.notify(1);
        Ok(())
    }

    /// Takes the next message; `None` once the queue is closed and empty.
    pub async fn pop(&self) -> Option<EncodedMessage> {
        loop {
            let listener = self.filled.listen();
            if let Some(message) = self.try_pop() {
                return Some(message);
            }
            if self.state().is_closed {
                return None;
            }
            listener.await;
        }
    }

    /// Takes the next message if there is one.
    pub fn try_pop(&self) -> Option<EncodedMessage> {
        self.state().pop()
    }

    /// Accepts no more messages. Those already queued can still be taken.
    pub fn close(&self) {
        self.state().is_closed = true;
        self.filled.notify(usize::MAX);
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl QueueState {
    fn push(&mut self, message: EncodedMessage, limits: QueueLimits) -> Result<(), LinkError> {
        if self.is_closed {
            return Err(LinkError::Closed);
        }
        self.drop_obsolete(&message);
        let is_full = self.messages.len() >= limits.messages
            || (self.bytes + message.len() > limits.bytes && !self.messages.is_empty());
        if is_full {
            return Err(LinkError::Full);
        }
        self.bytes += message.len();
        self.messages.push_back(message);
        Ok(())
    }

    /// Drops the queued message that `message` replaces. The newer one is queued at the end, because it
    /// may depend on messages that were queued in between.
    fn drop_obsolete(&mut self, message: &EncodedMessage) {
        let Some(key) = message.coalesce_key() else { return };
        let old = self.messages.iter().position(|queued| queued.coalesce_key() == Some(key));
        if let Some(old) = old.and_then(|index| self.messages.remove(index)) {
            self.bytes -= old.len();
        }
    }

    fn pop(&mut self) -> Option<EncodedMessage> {
        let message = self.messages.pop_front()?;
        self.bytes -= message.len();
        Some(message)
    }
}
