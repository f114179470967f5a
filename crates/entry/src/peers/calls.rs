//! Calls to other gateways: requests that wait for an answer.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Sender, TrySendError};
use async_std::future::timeout;
use notch_types::prelude::*;

/// Result of a call.
#[derive(Debug)]
pub enum CallEnd<T> {
    /// There was no link to send the request on.
    NotSent,
    /// No answer came in time; the request may have been received.
    Unanswered,
    /// The answer.
    Answered(T),
}

/// A pending call. Its table entry is removed on drop, also when the caller is cancelled.
struct OpenCall<'a, T> {
    table: &'a CallTable<T>,
    call: u64,
    answer: Receiver<T>,
}

impl<T> Drop for OpenCall<'_, T> {
    fn drop(&mut self) {
        self.table.waiting().remove(&self.call);
    }
}

/// Pending calls of one kind, with answers of type `T`.
#[derive(Debug)]
pub struct CallTable<T> {
    waiting: Mutex<FastMap<u64, Sender<T>>>,
    /// Number of the next call. Invariant: counts from a random number, so that an answer to a call of an earlier process
    /// of this gateway matches none of this one.
    next: AtomicU64,
}

impl<T> Default for CallTable<T> {
    fn default() -> Self {
        Self { waiting: Mutex::default(), next: AtomicU64::new(rand::random()) }
    }
}

impl<T> CallTable<T> {
    /// Makes a call. `send` sends the request with the given call number and returns whether there was a link. The
    /// answer must come within `wait`.
    pub async fn ask(&self, send: impl FnOnce(u64) -> bool, wait: Duration) -> CallEnd<T> {
        let open = self.open();
        if !send(open.call) {
            return CallEnd::NotSent;
        }
        match timeout(wait, open.answer.recv()).await {
            Ok(Ok(answer)) => CallEnd::Answered(answer),
            Ok(Err(_)) | Err(_) => CallEnd::Unanswered,
        }
    }

    fn open(&self) -> OpenCall<'_, T> {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, answer) = async_channel::bounded(1);
        self.waiting().insert(call, sender);
        OpenCall { table: self, call, answer }
    }

    /// Delivers an answer; it is dropped when the caller no longer waits.
    pub fn answer(&self, call: u64, answer: T) {
        self.try_answer(call, answer);
    }

    /// Delivers an answer; it is returned when the caller no longer waits.
    pub fn try_answer(&self, call: u64, answer: T) -> Option<T> {
        let Some(sender) = self.waiting().remove(&call) else { return Some(answer) };
        sender.try_send(answer).err().map(TrySendError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, FastMap<u64, Sender<T>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
