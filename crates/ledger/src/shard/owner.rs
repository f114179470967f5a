//! A node that owns the shard: replays it, commits to it and keeps it in order.

mod chunk_check;
mod commit;
mod flight;
mod pace;
mod queue;
mod replay;
mod seal;
mod snapshot_job;
mod sweep;

use std::{collections::BTreeMap, time::Duration};

use notch_types::{
    object::{ObjectVersion, StoreResult},
    prelude::*,
};

use self::{
    chunk_check::{CheckStep, ChunkCheck},
    flight::CommitFlight,
    pace::CommitPace,
    queue::{AppendQueue, QueuedAppend},
    replay::{LogReplay, ReplayStep},
    seal::SealJob,
    snapshot_job::SnapshotJob,
    sweep::GarbageSweep,
};
use crate::{
    effect::{RejectCertainty, RejectReason, ShardEffect},
    event::{AppendTicket, AppendUrgency, ShardStanding, SweepId},
    head::LedgerHead,
    index::{find_segment, names_segment, retain_needed},
    keys::{ObjectKey, ParsedKey},
    place::RecordPlace,
    segment::SegmentRef,
    seq::{Seq, SeqRange},
    settings::ShardSettings,
    shard::{backoff::RetryBackoff, calls::CallPurpose, context::StageContext, write::FoundHead},
    snapshot::SnapshotBody,
};

/// How an ownership goes on.
#[derive(Debug)]
pub(crate) enum OwnerStep {
    /// Still the owner.
    Stay,
    /// Not any more; the head as far as known.
    Ended(Option<Box<FoundHead>>),
}

/// An append as it arrives.
#[derive(Debug)]
pub(crate) struct ArrivedAppend {
    pub(crate) ticket: AppendTicket,
    pub(crate) records: Vec<Payload>,
    pub(crate) urgency: AppendUrgency,
    pub(crate) chunks: Vec<String>,
}

/// The owner's side of a shard.
#[derive(Debug)]
pub(crate) struct ShardOwner {
    /// The head as last written by this owner. Invariant: its epoch is this ownership's.
    head: LedgerHead,
    version: ObjectVersion,
    /// When the last write that succeeded was sent: the lease runs from here.
    confirmed: MonoTime,
    /// When the ownership began.
    since: MonoTime,
    /// Until the replay is complete.
    replay: Option<LogReplay>,
    /// Gives the shard up as soon as what is queued is committed.
    releasing: bool,
    flight: Option<CommitFlight>,
    /// The number of the next write.
    next_serial: u64,
    /// A write is wanted at once, to see whether this node is still the owner.
    check_wanted: bool,
    queue: AppendQueue,
    pace: CommitPace,
    /// The batch being sealed. Invariant: while it's there, no other batch is committed.
    seal: Option<SealJob>,
    check: ChunkCheck,
    /// Chunks named by appends between their check and their end.
    open_chunks: BTreeMap<AppendTicket, Vec<String>>,
    /// Committed, but by a write older than the lease when its answer came.
    held: Vec<(AppendTicket, Seq)>,
    /// Segments before the snapshot that stay readable.
    retained: Vec<SegmentRef>,
    snapshot: Option<SnapshotJob>,
    snapshot_asked: bool,
    sweep: GarbageSweep,
}

impl ShardOwner {
    /// Starts the replay of a head just claimed by a write sent at `confirmed`.
    pub(crate) fn new(won: FoundHead, confirmed: MonoTime, ctx: &mut StageContext<'_>) -> Self {
        let replay = LogReplay::new(&won.head, ctx);
        let settings = &ctx.core.settings;
        let backoff = RetryBackoff::new(settings.backoff_min, settings.backoff_max);
        Self {
            version: won.version,
            head: won.head,
            confirmed,
            since: ctx.now.mono,
            replay: Some(replay),
            releasing: ctx.core.retired,
            flight: None,
            next_serial: 0,
            check_wanted: false,
            queue: AppendQueue::default(),
            pace: CommitPace::new(settings, ctx.now.mono),
            seal: None,
            check: ChunkCheck::new(backoff),
            open_chunks: BTreeMap::new(),
            held: Vec::new(),
            retained: Vec::new(),
            snapshot: None,
            snapshot_asked: false,
            sweep: GarbageSweep::new(ctx),
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.head.epoch
    }

    /// Whether replay is complete.
    pub(crate) fn is_ready(&self) -> bool {
        self.replay.is_none()
    }

    /// Whether the last successful write is younger than the lease. Not any more once the shard
    /// is being given up: whoever sees that write takes the shard over without waiting, perhaps
    /// before its answer has come back here.
    pub(crate) fn lease_held(&self, now: MonoTime, lease: Duration) -> bool {
        let gives_up = self.flight.as_ref().is_some_and(|flight| flight.releases);
        !gives_up && now.since(self.confirmed) < lease
    }

    /// Bytes accepted and not committed.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queue.bytes()
            + self.check.bytes()
            + self.batches().map(|batch| batch.bytes).sum::<usize>()
    }

    /// The batches on their way.
    fn batches(&self) -> impl Iterator<Item = &queue::AppendBatch> {
        let sealing = self.seal.as_ref().map(SealJob::batch);
        sealing.into_iter().chain(self.flight.as_ref().map(|flight| &flight.batch))
    }

    fn queued_appends(&self) -> usize {
        let on_way = self.batches().map(|batch| batch.tickets.len()).sum::<usize>();
        self.queue.len() + self.check.len() + on_way
    }

    pub(crate) fn locate(&self, seq: Seq, keys: ObjectKey) -> Option<RecordPlace<'_>> {
        if seq >= self.head.next {
            return None;
        }
        let tail_first = self.head.tail_first();
        if seq >= tail_first {
            return self.head.tail.get((seq.0 - tail_first.0) as usize).map(RecordPlace::Inline);
        }
        let segment =
            find_segment(&self.head.segments, seq).or_else(|| find_segment(&self.retained, seq))?;
        let key = keys.segment(segment.first, segment.nonce);
        Some(RecordPlace::Segment { key, index: (seq.0 - segment.first.0) as usize })
    }

    /// Takes an append, or rejects it.
    pub(crate) fn append(&mut self, append: ArrivedAppend, ctx: &mut StageContext<'_>) {
        let ArrivedAppend { ticket, records, urgency, chunks } = append;
        let queued = QueuedAppend { ticket, records };
        if let Some(reason) = self.refusal(&queued, &chunks, ctx) {
            ctx.reject(ticket, RejectCertainty::NotCommitted, reason);
            return;
        }
        if chunks.is_empty() {
            self.queue.push(queued);
            self.pace.queued(urgency, ctx.now.mono);
        } else {
            self.check.push(queued, urgency, chunks);
        }
    }

    fn refusal(
        &self,
        append: &QueuedAppend,
        chunks: &[String],
        ctx: &StageContext<'_>,
    ) -> Option<RejectReason> {
        let settings = &ctx.core.settings;
        let bytes = append.bytes();
        let oversized = |record: &Payload| record.len() > settings.max_record_bytes;
        let prefix = ctx.core.keys.chunk_prefix();
        if self.replay.is_some() {
            Some(RejectReason::NotOwner)
        } else if self.releasing {
            Some(RejectReason::Releasing)
        } else if append.records.is_empty()
            || append.records.iter().any(oversized)
            || bytes > settings.max_queue_bytes
        {
            Some(RejectReason::TooLarge)
        } else if !chunks.iter().all(|chunk| chunk.starts_with(&prefix)) {
            Some(RejectReason::ChunkStale)
        } else if self.queued_bytes() + bytes > settings.max_queue_bytes
            || self.queued_appends() >= settings.max_queue_appends
        {
            Some(RejectReason::QueueFull)
        } else if self.head.segments.len() >= settings.max_segments {
            Some(RejectReason::SnapshotOverdue)
        } else {
            None
        }
    }

    /// Takes an append back unless it's on its way.
    pub(crate) fn withdraw(&mut self, ticket: AppendTicket, ctx: &mut StageContext<'_>) {
        if self.queue.withdraw(ticket) || self.check.withdraw(ticket) {
            self.open_chunks.remove(&ticket);
            ctx.reject(ticket, RejectCertainty::NotCommitted, RejectReason::Withdrawn);
        }
    }

    /// Starts to give the shard up.
    pub(crate) fn release(&mut self) {
        self.releasing = true;
    }

    /// A named object wasn't there.
    pub(crate) fn segment_missed(&mut self) {
        self.check_wanted = true;
    }

    /// Takes the user's state.
    pub(crate) fn take_snapshot(
        &mut self,
        upto: Seq,
        state: Vec<u8>,
        needed: Vec<SeqRange>,
        ctx: &mut StageContext<'_>,
    ) {
        let oldest = self.head.snapshot.map_or(Seq(0), |snapshot| snapshot.upto);
        let adopting = self.flight.as_ref().is_some_and(|flight| flight.retained.is_some());
        let fits = upto >= oldest && upto <= self.head.next;
        if self.replay.is_some() || self.snapshot.is_some() || adopting || !fits {
            ctx.count("ledger_snapshot_ignored");
            return;
        }
        let passed =
            self.head.segments.iter().copied().filter(|segment| segment.range().until <= upto);
        let retained = retain_needed(self.retained.iter().copied().chain(passed), needed);
        let body = SnapshotBody { retained, state };
        self.snapshot = Some(SnapshotJob::new(upto, &body, ctx));
    }

    /// The user's answer about chunks.
    pub(crate) fn sweep_answered(
        &mut self,
        sweep: SweepId,
        unused: Vec<String>,
        ctx: &mut StageContext<'_>,
    ) {
        self.sweep.on_answer(sweep, unused, ctx);
    }

    /// Takes the answer of a call.
    pub(crate) fn on_answer(
        &mut self,
        purpose: &CallPurpose,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> OwnerStep {
        match purpose {
            CallPurpose::HeadPut | CallPurpose::HeadGet => {
                return self.on_head(purpose, result, ctx);
            }
            CallPurpose::ReplayPart(slot) => {
                let step = self.replay.as_mut().map(|replay| replay.on_part(*slot, result, ctx));
                self.check_wanted |= step == Some(ReplayStep::Missing);
            }
            CallPurpose::ReplaySegment(slot) => {
                let step = self.replay.as_mut().map(|replay| replay.on_segment(*slot, result, ctx));
                self.check_wanted |= step == Some(ReplayStep::Missing);
            }
            CallPurpose::SealPut(slot) => {
                if let Some(seal) = &mut self.seal {
                    seal.on_put(*slot, result, ctx);
                }
            }
            CallPurpose::SnapshotPut(slot) => {
                if let Some(job) = &mut self.snapshot {
                    job.on_put(*slot, result, ctx);
                }
            }
            CallPurpose::ChunkList => self.on_chunk_list(result, ctx),
            CallPurpose::SweepList => self.on_sweep_list(result, ctx),
            CallPurpose::SweepDelete => self.sweep.on_delete(result, ctx),
            CallPurpose::Poll => {}
        }
        OwnerStep::Stay
    }

    fn on_chunk_list(&mut self, result: StoreResult, ctx: &mut StageContext<'_>) {
        match self.check.on_list(result, ctx) {
            CheckStep::Open => {}
            CheckStep::Stale(ticket) => {
                ctx.reject(ticket, RejectCertainty::NotCommitted, RejectReason::ChunkStale);
            }
            CheckStep::Sound(append, urgency, chunks) => {
                self.open_chunks.insert(append.ticket, chunks);
                self.queue.push(append);
                self.pace.queued(urgency, ctx.now.mono);
            }
        }
    }

    fn on_sweep_list(&mut self, result: StoreResult, ctx: &mut StageContext<'_>) {
        let Some(mut page) = self.sweep.on_list(result, ctx) else { return };
        page.objects.retain(|object| !self.names(&object.key, ctx.core.keys));
        self.sweep.weigh(page, self.next_serial, ctx);
    }

    /// Does what is due. Called after each event.
    pub(crate) fn advance(&mut self, ctx: &mut StageContext<'_>) {
        self.hand_over_if_due(ctx);
        self.pump_replay(ctx);
        if let Some(seal) = &mut self.seal {
            seal.pump(ctx);
        }
        if let Some(job) = &mut self.snapshot {
            job.pump(ctx);
        }
        if self.is_ready() {
            self.check.pump(ctx);
            self.sweep.pump(ctx);
        }
        if let Some(flight) = &mut self.flight {
            flight.write.tick(ctx);
        }
        self.write_if_due(ctx);
    }

    fn hand_over_if_due(&mut self, ctx: &mut StageContext<'_>) {
        if self.releasing || !self.is_ready() {
            return;
        }
        let tenure = ctx.now.mono.since(self.since);
        let is_preferred = ctx.core.standing == ShardStanding::Preferred;
        if !is_preferred && tenure >= ctx.core.settings.least_tenure {
            ctx.count("ledger_handovers");
            ctx.note("shard_handover", "another node is preferred".to_owned());
            self.releasing = true;
        }
    }

    fn pump_replay(&mut self, ctx: &mut StageContext<'_>) {
        let Some(replay) = &mut self.replay else { return };
        if self.releasing {
            return;
        }
        replay.pump(ctx);
        if !replay.is_done() {
            return;
        }
        if let Some(replay) = self.replay.take() {
            self.retained = replay.finish(&self.head, ctx);
        }
        ctx.count("ledger_owned");
        ctx.effects.push(ShardEffect::Owned { epoch: self.head.epoch });
        self.ask_for_snapshot(ctx);
    }

    fn ask_for_snapshot(&mut self, ctx: &mut StageContext<'_>) {
        let many = self.head.segments.len() >= ctx.core.settings.snapshot_every_segments;
        if many && !self.snapshot_asked && self.snapshot.is_none() && self.is_ready() {
            self.snapshot_asked = true;
            ctx.effects.push(ShardEffect::SnapshotWanted);
        }
    }

    /// Whether a key of the store is named, or about to be.
    fn names(&self, key: &str, keys: ObjectKey) -> bool {
        let written = self.flight.as_ref().map(|flight| flight.write.head());
        let mut heads = std::iter::once(&self.head).chain(written);
        match keys.parse(key) {
            Some(ParsedKey::Segment { first, nonce }) => {
                heads.any(|head| names_segment(&head.segments, first, nonce))
                    || names_segment(&self.retained, first, nonce)
                    || self.seal.as_ref().is_some_and(|seal| seal.names(first, nonce))
            }
            Some(ParsedKey::SnapshotPart { upto, nonce, .. }) => {
                let coming = self.snapshot.as_ref().map(SnapshotJob::reference);
                let mut references = heads.filter_map(|head| head.snapshot).chain(coming);
                references.any(|reference| reference.upto == upto && reference.nonce == nonce)
            }
            None if key.starts_with(&keys.chunk_prefix()) => {
                self.check.names(key)
                    || self.open_chunks.values().flatten().any(|chunk| chunk == key)
            }
            // The head itself, and whatever this build doesn't know.
            None => true,
        }
    }

    /// When something is due, if nothing else happens.
    pub(crate) fn wake(&self, settings: &ShardSettings, is_preferred: bool) -> Option<MonoTime> {
        let replay = self.replay.as_ref().filter(|_| !self.releasing);
        let replay = replay.and_then(LogReplay::wake);
        let seal = self.seal.as_ref().and_then(SealJob::wake);
        let job = self.snapshot.as_ref().and_then(SnapshotJob::wake);
        let ready = self.is_ready();
        let sweep = ready.then(|| self.sweep.wake()).flatten();
        let check = ready.then(|| self.check.wake()).flatten();
        let hand_over =
            (ready && !is_preferred && !self.releasing).then(|| self.since + settings.least_tenure);
        let write = match &self.flight {
            Some(flight) => flight.write.wake(),
            None => self.write_wake(settings),
        };
        [replay, seal, job, sweep, check, hand_over, write].into_iter().flatten().min()
    }
}
