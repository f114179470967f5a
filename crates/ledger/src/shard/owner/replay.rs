//! Reading the log of a shard just taken over.

use std::collections::BTreeMap;

use notch_types::{
    object::{StoreReply, StoreResult},
    prelude::*,
};

use crate::{
    effect::ShardEffect,
    head::LedgerHead,
    segment::{DecodeError, SegmentRef, decode_segment},
    seq::Seq,
    shard::{calls::CallPurpose, context::StageContext, window::CallWindow},
    snapshot::{SnapshotBody, SnapshotRef},
};

/// What came of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReplayStep {
    /// Goes on.
    Open,
    /// An object that the head names is gone: either the shard was taken over meanwhile, or the
    /// store has lost it. The head must be looked at.
    Missing,
}

/// Snapshot first, then segments, then the tail. Objects come a few at a time and may come out of
/// order; at most the window's number of values wait here for an earlier one.
#[derive(Debug)]
pub(crate) struct LogReplay {
    snapshot: Option<SnapshotRef>,
    segments: Vec<SegmentRef>,
    parts: BTreeMap<usize, Payload>,
    part_window: CallWindow,
    waiting: BTreeMap<usize, Vec<Payload>>,
    segment_window: CallWindow,
    next_segment: usize,
    restored: bool,
    retained: Vec<SegmentRef>,
    /// The place of the next record to apply.
    next: Seq,
}

impl LogReplay {
    pub(crate) fn new(head: &LedgerHead, ctx: &StageContext<'_>) -> Self {
        let parts = head.snapshot.map_or(0, |snapshot| snapshot.parts as usize);
        Self {
            snapshot: head.snapshot,
            segments: head.segments.clone(),
            parts: BTreeMap::new(),
            part_window: CallWindow::new(parts, &ctx.core.settings),
            waiting: BTreeMap::new(),
            segment_window: CallWindow::new(head.segments.len(), &ctx.core.settings),
            next_segment: 0,
            restored: false,
            retained: Vec::new(),
            next: head.snapshot.map_or(Seq(0), |snapshot| snapshot.upto),
        }
    }

    /// Reads what may be read, and applies what has come.
    pub(crate) fn pump(&mut self, ctx: &mut StageContext<'_>) {
        if !self.restored {
            self.pump_parts(ctx);
        }
        if self.restored {
            self.pump_segments(ctx);
        }
    }

    fn pump_parts(&mut self, ctx: &mut StageContext<'_>) {
        if self.part_window.is_done() {
            self.restore(ctx);
            return;
        }
        let Some(snapshot) = self.snapshot else { return };
        while let Some(slot) = self.part_window.start_next(ctx.now.mono) {
            let key = ctx.core.keys.snapshot_part(snapshot.upto, snapshot.nonce, slot as u32);
            ctx.get(CallPurpose::ReplayPart(slot), key);
        }
    }

    fn restore(&mut self, ctx: &mut StageContext<'_>) {
        let parts = std::mem::take(&mut self.parts).into_values().collect::<Vec<_>>();
        let body = match self.snapshot {
            None => SnapshotBody { retained: Vec::new(), state: Vec::new() },
            Some(_) => match SnapshotBody::decode(&parts) {
                Ok(body) => body,
                Err(DecodeError) => {
                    self.read_parts_again(ctx);
                    return;
                }
            },
        };
        self.retained = body.retained;
        self.restored = true;
        ctx.effects.push(ShardEffect::Restore { state: body.state, upto: self.next });
    }

    /// A snapshot that can't be decoded is never served from: it's read again, slowly, and
    /// counted, until a person or a newer build takes care.
    fn read_parts_again(&mut self, ctx: &mut StageContext<'_>) {
        ctx.count("ledger_snapshot_undecodable");
        let count = self.snapshot.map_or(0, |snapshot| snapshot.parts as usize);
        self.part_window = CallWindow::new(count, &ctx.core.settings);
        self.part_window.pause(ctx.now.mono + ctx.core.settings.backoff_max);
    }

    fn pump_segments(&mut self, ctx: &mut StageContext<'_>) {
        while let Some(records) = self.waiting.remove(&self.next_segment) {
            let first = self.segments[self.next_segment].first;
            self.apply(first, records, ctx);
            self.next_segment += 1;
        }
        // The window's bound holds for values that wait as well: a slow first segment must not
        // let all the others pile up in memory.
        let ahead = self.next_segment + ctx.core.settings.max_parallel_calls;
        while self.segment_window.first_open().is_some_and(|slot| slot < ahead) {
            let Some(slot) = self.segment_window.start_next(ctx.now.mono) else { return };
            let segment = self.segments[slot];
            let key = ctx.core.keys.segment(segment.first, segment.nonce);
            ctx.get(CallPurpose::ReplaySegment(slot), key);
        }
    }

    /// Applies records, but for those that the snapshot covers.
    fn apply(&mut self, first: Seq, records: Vec<Payload>, ctx: &mut StageContext<'_>) {
        let covered = self.next.0.saturating_sub(first.0) as usize;
        for record in records.into_iter().skip(covered) {
            ctx.effects.push(ShardEffect::Apply { seq: self.next, record });
            self.next = self.next.plus(1);
        }
    }

    /// Takes a part of the snapshot.
    pub(crate) fn on_part(
        &mut self,
        slot: usize,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> ReplayStep {
        match result {
            Ok(StoreReply::Object(Some(object))) => {
                self.parts.insert(slot, object.value.unwrap_or_default());
                self.part_window.succeeded(slot);
                ReplayStep::Open
            }
            other => {
                let missing = matches!(other, Ok(StoreReply::Object(None)));
                let failure = other.err();
                self.part_window.failed(slot, ctx.now.mono, failure, &mut ctx.core.rng);
                failed_step(missing, ctx)
            }
        }
    }

    /// Takes a segment.
    pub(crate) fn on_segment(
        &mut self,
        slot: usize,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> ReplayStep {
        let records = match &result {
            Ok(StoreReply::Object(Some(object))) => {
                let value = object.value.as_ref().map_or(&[][..], |value| value);
                self.check_segment(slot, value)
            }
            _ => Err(DecodeError),
        };
        if let Ok(records) = records {
            self.waiting.insert(slot, records);
            self.segment_window.succeeded(slot);
            return ReplayStep::Open;
        }
        if matches!(&result, Ok(StoreReply::Object(Some(_)))) {
            ctx.count("ledger_segment_undecodable");
        }
        let missing = matches!(result, Ok(StoreReply::Object(None)));
        let failure = result.err();
        self.segment_window.failed(slot, ctx.now.mono, failure, &mut ctx.core.rng);
        failed_step(missing, ctx)
    }

    fn check_segment(&self, slot: usize, value: &[u8]) -> Result<Vec<Payload>, DecodeError> {
        let (first, records) = decode_segment(value)?;
        let named = self.segments[slot];
        if first == named.first && records.len() == named.count as usize {
            Ok(records)
        } else {
            Err(DecodeError)
        }
    }

    /// Whether everything but the tail is applied.
    pub(crate) fn is_done(&self) -> bool {
        self.restored && self.next_segment == self.segments.len()
    }

    /// Applies the tail and hands out the retained index.
    pub(crate) fn finish(
        mut self,
        head: &LedgerHead,
        ctx: &mut StageContext<'_>,
    ) -> Vec<SegmentRef> {
        self.apply(head.tail_first(), head.tail.clone(), ctx);
        self.retained
    }

    pub(crate) fn wake(&self) -> Option<MonoTime> {
        if self.restored { self.segment_window.wake() } else { self.part_window.wake() }
    }
}

fn failed_step(missing: bool, ctx: &mut StageContext<'_>) -> ReplayStep {
    if missing {
        ctx.count("ledger_named_object_missing");
        ReplayStep::Missing
    } else {
        ctx.count_retry(RetryReason::StoreUnavailable);
        ReplayStep::Open
    }
}
