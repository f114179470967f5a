//! Messages that wait to be written on one link.

use std::{
    collections::VecDeque,
    sync::{Mutex, MutexGuard, PoisonError},
};

use event_listener::Event;

use crate::{encoded::EncodedMessage, error::LinkError};

/// How much may wait.
#[derive(Debug, Clone, Copy)]
pub struct QueueLimits {
    /// Messages.
    pub messages: usize,
    /// Bytes of all messages together. A single larger message is taken when nothing else waits.
    pub bytes: usize,
}

#[derive(Debug, Default)]
struct QueueState {
    messages: VecDeque<EncodedMessage>,
    /// Sum over `messages`.
    bytes: usize,
    is_closed: bool,
}

/// Messages that wait to be written on one link, bounded in number and bytes.
///
/// A message replaces an earlier one that it makes obsolete, so a peer that reads slowly gets the
/// newest state and costs no more memory than one copy of it.
#[derive(Debug)]
pub struct LinkQueue {
    limits: QueueLimits,
    state: Mutex<QueueState>,
    /// Notified when a message was queued or the queue was closed.
    filled: Event,
}

impl LinkQueue {
    /// An empty queue.
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

    /// Takes the next message if one waits.
    pub fn try_pop(&self) -> Option<EncodedMessage> {
        self.state().pop()
    }

    /// Takes no more messages; those that wait can still be taken.
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

    /// Drops the message that `message` makes obsolete. The newer one goes to the end: it may tell what
    /// messages in between have told already.
    fn drop_obsolete(&mut self, message: &EncodedMessage) {
        let Some(slot) = message.slot() else { return };
        let old = self.messages.iter().position(|queued| queued.slot() == Some(slot));
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
