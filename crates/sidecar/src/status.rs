//! What the health pages show, written by the control thread.

use std::sync::atomic::{AtomicBool, Ordering};

/// Whether the sidecar serves.
#[derive(Debug, Default)]
pub(crate) struct ServingStatus {
    up: AtomicBool,
    leaving: AtomicBool,
}

impl ServingStatus {
    pub(crate) fn set(&self, up: bool, leaving: bool) {
        self.up.store(up, Ordering::Relaxed);
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Whether new work is taken.
    pub(crate) fn is_ready(&self) -> bool {
        self.up.load(Ordering::Relaxed) && !self.leaving.load(Ordering::Relaxed)
    }
}
