//! The buffers of all runs.

use std::sync::{Arc, Mutex, PoisonError};

use notch_types::prelude::*;

use super::run_buffer::RunBuffer;

/// The buffers of all runs; the gate tells when one may go.
#[derive(Debug, Default)]
pub(crate) struct RunBoard {
    buffers: Mutex<FastMap<AttemptId, Arc<RunBuffer>>>,
}

impl RunBoard {
    pub(crate) fn open(&self, run: AttemptId, gateway: Option<VmName>) -> Arc<RunBuffer> {
        let buffer = Arc::new(RunBuffer::new(run, gateway));
        let mut buffers = self.buffers.lock().unwrap_or_else(PoisonError::into_inner);
        buffers.insert(run, Arc::clone(&buffer));
        buffer
    }

    pub(crate) fn get(&self, run: AttemptId) -> Option<Arc<RunBuffer>> {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner).get(&run).cloned()
    }

    pub(crate) fn forget(&self, run: AttemptId) {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner).remove(&run);
    }
}
