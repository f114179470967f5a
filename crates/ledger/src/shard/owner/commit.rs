//! Writing the head: what goes into a commit, and what follows from its end.

use notch_types::{
    object::{ObjectVersion, StoreResult},
    prelude::MonoTime,
};

use super::{
    OwnerStep, ShardOwner,
    flight::CommitFlight,
    queue::{AppendBatch, records_bytes},
    seal::SealJob,
};
use crate::{
    effect::{RejectCertainty, RejectReason, ShardEffect},
    head::LedgerHead,
    segment::SegmentRef,
    settings::ShardSettings,
    shard::{
        calls::CallPurpose,
        context::StageContext,
        write::{FoundHead, HeadWrite, WriteFate, WriteVerdict},
    },
};

/// A full queue doesn't wait for its delay: this share of the bound is committed at once.
const EARLY_SHARE: usize = 4;

impl ShardOwner {
    /// When the next write is due, while none is in flight.
    pub(super) fn write_wake(&self, settings: &ShardSettings) -> Option<MonoTime> {
        let renewal = self.confirmed + settings.renew_every;
        let gathers = self.seal.is_none() && !self.queue.is_empty();
        let batch = if gathers { self.pace.due() } else { None };
        Some(batch.map_or(renewal, |due| due.min(renewal)))
    }

    /// Starts the next write of the head if one is due. One at a time: meanwhile the next batch
    /// gathers.
    pub(super) fn write_if_due(&mut self, ctx: &mut StageContext<'_>) {
        if self.flight.is_some() {
            return;
        }
        self.drop_stale_jobs(ctx);
        if self.seal.as_ref().is_some_and(SealJob::is_done) {
            if let Some(seal) = self.seal.take() {
                let (segments, batch) = seal.finish();
                self.commit(batch, Some(segments), ctx);
            }
            return;
        }
        if self.batch_due(ctx) {
            let batch = self.queue.take();
            self.pace.taken(ctx.now.mono);
            let inline = records_bytes(&self.head.tail) + batch.bytes;
            if inline <= ctx.core.settings.inline_limit_bytes {
                self.commit(batch, None, ctx);
                return;
            }
            let tail = self.head.tail.clone();
            let mut seal = SealJob::new(self.head.tail_first(), tail, batch, ctx);
            seal.pump(ctx);
            self.seal = Some(seal);
        }
        if self.empty_write_due(ctx) {
            self.commit(AppendBatch::default(), None, ctx);
        }
    }

    /// What was written for this owner to name, but not named within half the grace time, is
    /// written anew under new names. The head's version alone guards against a deposed owner; this
    /// rule keeps what this owner may still name apart from what may be swept, by any clock.
    fn drop_stale_jobs(&mut self, ctx: &mut StageContext<'_>) {
        let half = ctx.core.settings.grace / 2;
        let now = ctx.now.mono;
        if let Some(seal) = &mut self.seal
            && seal.is_stale(half, now)
        {
            seal.renew(ctx);
            seal.pump(ctx);
        }
        if self.snapshot.as_ref().is_some_and(|job| job.is_stale(half, now)) {
            ctx.core.calls.abandon(|purpose| matches!(purpose, CallPurpose::SnapshotPut(_)));
            ctx.count("ledger_snapshots_dropped");
            self.snapshot = None;
            self.snapshot_asked = false;
            self.ask_for_snapshot(ctx);
        }
    }

    fn batch_due(&self, ctx: &StageContext<'_>) -> bool {
        if self.seal.is_some() || self.queue.is_empty() {
            return false;
        }
        let by_age = self.pace.due().is_some_and(|due| due <= ctx.now.mono);
        let by_size = self.queue.bytes() >= ctx.core.settings.max_queue_bytes / EARLY_SHARE;
        by_age || by_size || self.releasing || self.empty_write_due(ctx)
    }

    /// Whether the head is to be written even with nothing to commit.
    fn empty_write_due(&self, ctx: &StageContext<'_>) -> bool {
        let renewal = self.confirmed + ctx.core.settings.renew_every <= ctx.now.mono;
        let snapshot = self.snapshot.as_ref().is_some_and(|job| job.is_done());
        renewal || snapshot || self.check_wanted || !self.held.is_empty() || self.release_due()
    }

    /// Whether everything is committed that has to be before the shard is given up.
    fn release_due(&self) -> bool {
        self.releasing && self.seal.is_none() && self.check.len() == 0
    }

    /// Sends a commit: `segments` hold tail and batch when given, else the batch joins the tail.
    fn commit(
        &mut self,
        batch: AppendBatch,
        segments: Option<Vec<SegmentRef>>,
        ctx: &mut StageContext<'_>,
    ) {
        let mut head = self.head.clone();
        head.writer = ctx.core.mark();
        head.next = head.next.plus(batch.records.len() as u64);
        match segments {
            Some(segments) => {
                head.segments.extend(segments);
                head.tail.clear();
            }
            None => head.tail.extend(batch.records.iter().cloned()),
        }
        let retained = self.adopt_snapshot(&mut head);
        let releases = self.release_due() && self.queue.is_empty();
        if releases {
            head.owner = None;
        }
        self.check_wanted = false;
        let serial = self.next_serial;
        self.next_serial += 1;
        let counted = if batch.tickets.is_empty() { "ledger_renewals" } else { "ledger_commits" };
        ctx.count(counted);
        let write = HeadWrite::start(Some(self.version), head, ctx);
        self.flight = Some(CommitFlight { serial, write, batch, retained, releases });
    }

    /// Names a snapshot whose parts are all written. Gives its index of retained segments.
    fn adopt_snapshot(&mut self, head: &mut LedgerHead) -> Option<Vec<SegmentRef>> {
        let job = self.snapshot.take_if(|job| job.is_done())?;
        let reference = job.reference();
        head.snapshot = Some(reference);
        head.segments.retain(|segment| segment.range().until > reference.upto);
        Some(job.into_retained())
    }

    /// Takes the answer of a head write's put or get.
    pub(super) fn on_head(
        &mut self,
        purpose: &CallPurpose,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> OwnerStep {
        let Some(flight) = &mut self.flight else { return OwnerStep::Stay };
        let verdict = match purpose {
            CallPurpose::HeadPut => flight.write.on_put(result, ctx),
            _ => flight.write.on_get(result, ctx),
        };
        match verdict {
            WriteVerdict::Open | WriteVerdict::Unsent => OwnerStep::Stay,
            WriteVerdict::Unmoved => {
                flight.write.again(true, None, ctx);
                OwnerStep::Stay
            }
            WriteVerdict::Written(version) => self.on_written(version, ctx),
            WriteVerdict::Superseded { fate, found } => {
                self.depose(fate, ctx);
                OwnerStep::Ended(found)
            }
        }
    }

    fn on_written(&mut self, version: ObjectVersion, ctx: &mut StageContext<'_>) -> OwnerStep {
        let Some(flight) = self.flight.take() else { return OwnerStep::Stay };
        let first = self.head.next;
        self.version = version;
        self.confirmed = flight.write.issued();
        self.head = flight.write.head().clone();
        if let Some(retained) = flight.retained {
            self.retained = retained;
            self.snapshot_asked = false;
        }
        let places = flight.batch.places(first).collect::<Vec<_>>();
        for (record, offset) in flight.batch.records.into_iter().zip(0..) {
            ctx.effects.push(ShardEffect::Apply { seq: first.plus(offset), record });
        }
        // A write that took as long as the lease proves nothing about now: someone else may own
        // the shard already. Its appends are acknowledged after the next write.
        self.held.extend(places);
        let fresh = self.lease_held(ctx.now.mono, ctx.core.settings.lease);
        if fresh || flight.releases {
            self.acknowledge(ctx);
        } else {
            ctx.count("ledger_acknowledgements_held");
        }
        if flight.releases {
            return self.released(ctx);
        }
        self.confirm_sweep(flight.serial, ctx);
        self.ask_for_snapshot(ctx);
        OwnerStep::Stay
    }

    fn acknowledge(&mut self, ctx: &mut StageContext<'_>) {
        for (ticket, first_seq) in std::mem::take(&mut self.held) {
            self.open_chunks.remove(&ticket);
            ctx.effects.push(ShardEffect::Committed { ticket, first_seq });
        }
    }

    fn confirm_sweep(&mut self, serial: u64, ctx: &mut StageContext<'_>) {
        let Some(mut keys) = self.sweep.take_confirmed(serial) else { return };
        keys.retain(|key| !self.names(key, ctx.core.keys));
        let sweep = ctx.core.sweep_id();
        self.sweep.judge(keys, sweep, ctx);
    }

    fn released(&mut self, ctx: &mut StageContext<'_>) -> OwnerStep {
        let found = FoundHead { head: self.head.clone(), version: self.version };
        self.reject_rest(RejectReason::Releasing, ctx);
        ctx.effects.push(ShardEffect::Lost { epoch: self.head.epoch });
        ctx.count("ledger_released");
        OwnerStep::Ended(Some(Box::new(found)))
    }

    /// Another's write is the head: everything open ends, with what is sure about it.
    fn depose(&mut self, fate: WriteFate, ctx: &mut StageContext<'_>) {
        ctx.count("ledger_deposed");
        ctx.note("shard_lost", format!("epoch {} was superseded", self.head.epoch));
        // The records are in the history, whoever owns the shard now.
        self.acknowledge(ctx);
        if let Some(flight) = self.flight.take() {
            for (ticket, first_seq) in flight.batch.places(self.head.next).collect::<Vec<_>>() {
                match fate {
                    WriteFate::TookEffect => {
                        ctx.effects.push(ShardEffect::Committed { ticket, first_seq });
                    }
                    WriteFate::NoEffect => {
                        let certainty = RejectCertainty::NotCommitted;
                        ctx.reject(ticket, certainty, RejectReason::Deposed);
                    }
                    WriteFate::Unknown => {
                        ctx.reject(ticket, RejectCertainty::Unknown, RejectReason::Deposed);
                    }
                }
            }
        }
        self.reject_rest(RejectReason::Deposed, ctx);
        ctx.effects.push(ShardEffect::Lost { epoch: self.head.epoch });
    }

    /// Rejects what never was in a write.
    fn reject_rest(&mut self, reason: RejectReason, ctx: &mut StageContext<'_>) {
        let sealing = self.seal.take().map(|seal| seal.finish().1.tickets).unwrap_or_default();
        let mut tickets = sealing.into_iter().map(|(ticket, _)| ticket).collect::<Vec<_>>();
        tickets.extend(self.queue.drain_tickets());
        tickets.extend(self.check.drain_tickets());
        for ticket in tickets {
            ctx.reject(ticket, RejectCertainty::NotCommitted, reason);
        }
    }
}
