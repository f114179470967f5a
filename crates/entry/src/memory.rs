//! Memory held for clients, targets and other gateways.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::future::timeout;
use event_listener::Event;
use notch_relay::prelude::{MemoryBudget, MemoryUse};

/// The memory that this process holds for others, against its budget.
#[derive(Debug, Default)]
pub struct HeldMemory {
    budget: Mutex<MemoryBudget>,
    /// Notified when bytes were released.
    released: Event,
}

impl HeldMemory {
    /// Holds nothing yet, with a budget for a process of `process_bytes`; `None` if its limit is unknown.
    pub fn new(process_bytes: Option<usize>) -> Self {
        let budget = Mutex::new(MemoryBudget::of_process(process_bytes));
        Self { budget, released: Event::new() }
    }

    /// Starts to hold bytes for a use, none so far.
    pub fn hold(self: &Arc<Self>, kind: MemoryUse) -> HeldBytes {
        HeldBytes { memory: Arc::clone(self), kind, bytes: 0 }
    }

    /// Holds `bytes`, as soon as others have released enough, but no later than after `wait`.
    pub async fn hold_within(
        self: &Arc<Self>,
        kind: MemoryUse,
        bytes: usize,
        wait: Duration,
    ) -> Option<HeldBytes> {
        let began = Instant::now();
        let mut held = self.hold(kind);
        loop {
            let listener = self.released.listen();
            if held.grow(bytes) {
                return Some(held);
            }
            let left = wait.saturating_sub(began.elapsed());
            timeout(left, listener).await.ok()?;
        }
    }

    /// Bytes held.
    pub fn used(&self) -> usize {
        self.budget().used()
    }

    /// Bytes that can be held for a use now.
    pub fn available(&self, kind: MemoryUse) -> usize {
        self.budget().available(kind)
    }

    fn budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes held for one connection; released on drop.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Arc<HeldMemory>,
    kind: MemoryUse,
    bytes: usize,
}

impl HeldBytes {
    /// Holds `more` bytes; false, without any change, if the budget does not suffice.
    pub fn grow(&mut self, more: usize) -> bool {
        let is_granted = self.memory.budget().try_reserve(self.kind, more);
        self.bytes += if is_granted { more } else { 0 };
        is_granted
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.memory.budget().release(self.kind, self.bytes);
            self.memory.released.notify(usize::MAX);
        }
    }
}
