//! Writing a batch that is too big for the head as segments, before the head names them.

use std::{ops::Range, time::Duration};

use notch_types::{
    object::{StoreFailure, StoreOp, StoreReply, StoreResult, WriteCondition},
    prelude::*,
};

use crate::{
    segment::{RECORD_OVERHEAD_BYTES, SegmentRef, encode_segment},
    seq::Seq,
    shard::{
        calls::CallPurpose, context::StageContext, owner::queue::AppendBatch, window::CallWindow,
    },
};

/// One segment to be written.
#[derive(Debug)]
struct SealPiece {
    segment: SegmentRef,
    /// Its records within the sealed ones.
    records: Range<usize>,
    /// When it was first sent.
    sent: Option<MonoTime>,
}

/// The head's tail and a batch, on their way into segments.
#[derive(Debug)]
pub(crate) struct SealJob {
    /// The tail as it was, to which nothing is added meanwhile.
    tail: Vec<Payload>,
    batch: AppendBatch,
    pieces: Vec<SealPiece>,
    window: CallWindow,
}

impl SealJob {
    /// Cuts tail and batch into segments of the target's size; the tail begins at `first`.
    pub(crate) fn new(
        first: Seq,
        tail: Vec<Payload>,
        batch: AppendBatch,
        ctx: &mut StageContext<'_>,
    ) -> Self {
        let target = ctx.core.settings.segment_target_bytes;
        let total = tail.len() + batch.records.len();
        let mut job = Self {
            tail,
            batch,
            pieces: Vec::new(),
            window: CallWindow::new(0, &ctx.core.settings),
        };
        let mut start = 0;
        let mut bytes = 0;
        for index in 0..total {
            let size = job.record(index).len() + RECORD_OVERHEAD_BYTES;
            if bytes + size > target && index > start {
                job.add_piece(first, start..index, ctx);
                start = index;
                bytes = 0;
            }
            bytes += size;
        }
        job.add_piece(first, start..total, ctx);
        job.window = CallWindow::new(job.pieces.len(), &ctx.core.settings);
        job
    }

    fn add_piece(&mut self, first: Seq, records: Range<usize>, ctx: &mut StageContext<'_>) {
        let segment = SegmentRef {
            first: first.plus(records.start as u64),
            count: records.len() as u32,
            nonce: ctx.core.nonce(),
        };
        self.pieces.push(SealPiece { segment, records, sent: None });
    }

    fn record(&self, index: usize) -> &Payload {
        match self.tail.get(index) {
            Some(record) => record,
            None => &self.batch.records[index - self.tail.len()],
        }
    }

    /// Sends what may be sent.
    pub(crate) fn pump(&mut self, ctx: &mut StageContext<'_>) {
        while let Some(slot) = self.window.start_next(ctx.now.mono) {
            let piece = &self.pieces[slot];
            let records =
                piece.records.clone().map(|index| self.record(index).clone()).collect::<Vec<_>>();
            let value = encode_segment(piece.segment.first, &records);
            let key = ctx.core.keys.segment(piece.segment.first, piece.segment.nonce);
            let piece = &mut self.pieces[slot];
            piece.sent = piece.sent.or(Some(ctx.now.mono));
            ctx.count("ledger_segments_sent");
            let condition = WriteCondition::IfAbsent;
            ctx.call(CallPurpose::SealPut(slot), StoreOp::Put { key, value, condition });
        }
    }

    /// Takes an answer. A conflict means that an earlier try took effect: the key holds this
    /// writer's nonce, so nobody else can have written it.
    pub(crate) fn on_put(&mut self, slot: usize, result: StoreResult, ctx: &mut StageContext<'_>) {
        match result {
            Ok(StoreReply::Written(_)) | Err(StoreFailure::Conflict(_)) => {
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

    /// Whether some segment was first sent more than `age` ago: too old to be named.
    pub(crate) fn is_stale(&self, age: Duration, now: MonoTime) -> bool {
        self.pieces.iter().any(|piece| piece.sent.is_some_and(|sent| now.since(sent) > age))
    }

    /// Writes every segment anew, under new names.
    pub(crate) fn renew(&mut self, ctx: &mut StageContext<'_>) {
        ctx.count("ledger_segments_renewed");
        ctx.core.calls.abandon(|purpose| matches!(purpose, CallPurpose::SealPut(_)));
        for piece in &mut self.pieces {
            piece.segment.nonce = ctx.core.nonce();
            piece.sent = None;
        }
        self.window = CallWindow::new(self.pieces.len(), &ctx.core.settings);
    }

    /// Whether a segment is one of these.
    pub(crate) fn names(&self, first: Seq, nonce: u64) -> bool {
        self.pieces.iter().any(|piece| piece.segment.first == first && piece.segment.nonce == nonce)
    }

    pub(crate) fn batch(&self) -> &AppendBatch {
        &self.batch
    }

    /// The segments to be named, and the batch.
    pub(crate) fn finish(self) -> (Vec<SegmentRef>, AppendBatch) {
        (self.pieces.into_iter().map(|piece| piece.segment).collect(), self.batch)
    }
}
