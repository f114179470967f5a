//! Writing a snapshot, before the head names it.

use std::time::Duration;

use notch_types::{
    object::{StoreFailure, StoreOp, StoreReply, StoreResult, WriteCondition},
    prelude::*,
};

use crate::{
    segment::SegmentRef,
    seq::Seq,
    shard::{calls::CallPurpose, context::StageContext, window::CallWindow},
    snapshot::{SnapshotBody, SnapshotRef},
};

/// A snapshot whose parts are being written.
#[derive(Debug)]
pub(crate) struct SnapshotJob {
    reference: SnapshotRef,
    /// The index it holds; the owner's own once the head names the snapshot.
    retained: Vec<SegmentRef>,
    parts: Vec<Payload>,
    window: CallWindow,
    started: MonoTime,
}

impl SnapshotJob {
    pub(crate) fn new(upto: Seq, body: &SnapshotBody, ctx: &mut StageContext<'_>) -> Self {
        let parts = body.encode(ctx.core.settings.snapshot_part_bytes);
        let reference = SnapshotRef { upto, nonce: ctx.core.nonce(), parts: parts.len() as u32 };
        Self {
            reference,
            retained: body.retained.clone(),
            window: CallWindow::new(parts.len(), &ctx.core.settings),
            parts,
            started: ctx.now.mono,
        }
    }

    /// Sends what may be sent.
    pub(crate) fn pump(&mut self, ctx: &mut StageContext<'_>) {
        while let Some(slot) = self.window.start_next(ctx.now.mono) {
            let key =
                ctx.core.keys.snapshot_part(self.reference.upto, self.reference.nonce, slot as u32);
            let value = self.parts[slot].clone();
            let condition = WriteCondition::IfAbsent;
            ctx.call(CallPurpose::SnapshotPut(slot), StoreOp::Put { key, value, condition });
        }
    }

    /// Takes an answer; a conflict means that an earlier try took effect.
    pub(crate) fn on_put(&mut self, slot: usize, result: StoreResult, ctx: &mut StageContext<'_>) {
        match result {
            Ok(StoreReply::Written(_)) | Err(StoreFailure::Conflict(_)) => {
                self.parts[slot] = Payload::default();
                self.window.succeeded(slot);
            }
            other => {
                ctx.count_retry(RetryReason::StoreUnavailable);
                self.window.failed(slot, ctx.now.mono, other.err(), &mut ctx.core.rng);
            }
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.window.is_done()
    }

    pub(crate) fn wake(&self) -> Option<MonoTime> {
        self.window.wake()
    }

    /// Whether it was started more than `age` ago: its parts are too old to be named.
    pub(crate) fn is_stale(&self, age: Duration, now: MonoTime) -> bool {
        now.since(self.started) > age
    }

    pub(crate) fn reference(&self) -> SnapshotRef {
        self.reference
    }

    /// The index that comes into force with the snapshot.
    pub(crate) fn into_retained(self) -> Vec<SegmentRef> {
        self.retained
    }
}
