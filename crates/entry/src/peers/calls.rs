//! Questions to other gateways that wait for their answer.

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

/// How a question ended.
#[derive(Debug)]
pub enum CallEnd<T> {
    /// There was no link to send it on.
    NotSent,
    /// No answer came in time: it may have been heard.
    Unanswered,
    /// This is the answer.
    Answered(T),
}

/// A question that waits; however its asker ends, nothing is kept of it.
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

/// Questions of one kind that wait for an answer of type `T`.
#[derive(Debug)]
pub struct CallTable<T> {
    waiting: Mutex<FastMap<u64, Sender<T>>>,
    next: AtomicU64,
}

impl<T> Default for CallTable<T> {
    fn default() -> Self {
        Self { waiting: Mutex::default(), next: AtomicU64::new(0) }
    }
}

impl<T> CallTable<T> {
    /// Asks: `send` sends the question with its number, and tells whether there was a link. The
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

    /// The answer to a question came. The asker may have given up meanwhile.
    pub fn answer(&self, call: u64, answer: T) {
        self.try_answer(call, answer);
    }

    /// The same; the answer is given back when the asker has given up.
    pub fn try_answer(&self, call: u64, answer: T) -> Option<T> {
        let Some(sender) = self.waiting().remove(&call) else { return Some(answer) };
        sender.try_send(answer).err().map(TrySendError::into_inner)
    }

    fn waiting(&self) -> MutexGuard<'_, FastMap<u64, Sender<T>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
