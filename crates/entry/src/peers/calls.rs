//! Questions to other gateways that wait for their answer.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use async_channel::{Receiver, Sender};
use notch_types::prelude::*;

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
    /// A number for a question, and where its answer comes.
    pub fn open(&self) -> (u64, Receiver<T>) {
        let call = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = async_channel::bounded(1);
        self.waiting().insert(call, sender);
        (call, receiver)
    }

    /// A question is over.
    pub fn close(&self, call: u64) {
        self.waiting().remove(&call);
    }

    /// The answer to a question came.
    pub fn answer(&self, call: u64, answer: T) {
        if let Some(sender) = self.waiting().remove(&call) {
            // The asker may have given up meanwhile.
            let _ = sender.try_send(answer);
        }
    }

    fn waiting(&self) -> MutexGuard<'_, FastMap<u64, Sender<T>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
