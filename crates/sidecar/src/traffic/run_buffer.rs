//! One run's output, kept for a resume.

use std::sync::{Mutex, PoisonError};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::link_board::LinkBoard;

/// Most bytes of output in one message.
const CHUNK_BYTES: usize = 64 << 10;

/// One run's output, and how far it was handed to its gateway's link.
#[derive(Debug)]
pub(crate) struct RunBuffer {
    run: AttemptId,
    state: Mutex<BufferState>,
}

/// Invariant: `sent <= bytes.len()`. Bounded by the target's largest answer.
#[derive(Debug)]
struct BufferState {
    bytes: Vec<u8>,
    sent: usize,
    /// `None` for batch, whose output goes nowhere before its end.
    gateway: Option<VmName>,
}

impl RunBuffer {
    pub(crate) fn new(run: AttemptId, gateway: Option<VmName>) -> Self {
        Self { run, state: Mutex::new(BufferState { bytes: Vec::new(), sent: 0, gateway }) }
    }

    /// Adds output and hands on what the link takes. What it doesn't take now goes with the next
    /// output, or is asked for after the end mark.
    pub(crate) fn append(&self, bytes: &[u8], links: &LinkBoard) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.bytes.extend_from_slice(bytes);
        self.flush(&mut state, links);
    }

    /// Sends everything from `offset` on, now and later, to this gateway.
    pub(crate) fn replay(&self, gateway: &VmName, offset: u64, links: &LinkBoard) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.gateway = Some(gateway.clone());
        state.sent = usize::try_from(offset).unwrap_or(usize::MAX).min(state.bytes.len());
        self.flush(&mut state, links);
    }

    pub(crate) fn len(&self) -> u64 {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).bytes.len() as u64
    }

    /// A copy of the output so far.
    pub(crate) fn text(&self) -> Vec<u8> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).bytes.clone()
    }

    fn flush(&self, state: &mut BufferState, links: &LinkBoard) {
        let Some(gateway) = state.gateway.clone() else { return };
        while state.sent < state.bytes.len() {
            let end = state.bytes.len().min(state.sent + CHUNK_BYTES);
            let message = GatewayMessage::Chunk {
                attempt: self.run,
                offset: state.sent as u64,
                bytes: Payload(state.bytes[state.sent..end].to_vec()),
            };
            if !links.send(&gateway, message) {
                return;
            }
            state.sent = end;
        }
    }
}
