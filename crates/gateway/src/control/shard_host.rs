//! One ledger shard on this gateway: the log's decisions and what the records mean, joined.

use std::{collections::BTreeMap, time::Duration};

use notch_jobs::prelude::{
    ReadFailure, ReadToken, RejectKind, ServiceEffect, ServiceEvent, ShardService, TargetBacklog,
};
use notch_ledger::{
    AppendTicket, AppendUrgency, LedgerShard, RecordPlace, RejectCertainty, RejectReason, Seq,
    SeqRange, ShardEffect, ShardEvent,
};
use notch_messages::prelude::*;
use notch_types::{object::StoreCall, prelude::*};

/// What a shard wants of the rest of the gateway.
#[derive(Debug)]
pub enum HostEffect {
    /// Call the object API.
    Store(StoreCall),
    /// Answer a call.
    Answer {
        /// The asking gateway.
        to: VmName,
        /// Its call.
        call: CallId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The answer.
        answer: ShardAnswer,
    },
    /// Read an object and feed `ServiceEvent::ObjectRead`.
    ReadObject(String),
    /// Read segments and feed `ServiceEvent::RecordsRead`.
    ReadRecords(RecordRead),
    /// Tell sidecars of a cancelled job.
    CancelRunning {
        /// The job.
        job: JobId,
        /// The owner's epoch.
        epoch: Epoch,
        /// The sidecars' VMs.
        vms: Vec<VmName>,
    },
    /// From an append's arrival to its commit.
    CommitTook(Duration),
    /// The shard's work, for gossip.
    Backlog(Vec<TargetBacklog>),
    /// Who owns the shard now.
    Owner {
        /// Its epoch.
        epoch: Epoch,
        /// The owner, if any.
        owner: Option<VmName>,
    },
    /// Count.
    Count(Counter),
    /// For `explain`.
    Note(DecisionNote),
}

/// A read of records: those at hand, and where the others are.
#[derive(Debug)]
pub struct RecordRead {
    /// Names the read.
    pub read: ReadToken,
    /// Sequence numbers in the order asked.
    pub seqs: Vec<u64>,
    /// Records that were in memory.
    pub at_hand: Vec<(u64, Payload)>,
    /// Segment key to the records wanted of it: sequence number and index.
    pub segments: BTreeMap<String, Vec<(u64, usize)>>,
}

/// One shard, owner or not.
#[derive(Debug)]
pub struct ShardHost {
    shard: ShardId,
    vm: VmName,
    ledger: LedgerShard,
    service: ShardService,
    /// Epoch held; `None` while another gateway, or nobody, owns the shard.
    epoch: Option<Epoch>,
    /// When each open append was made; at most the service's own bound on appends.
    appended: FastMap<AppendTicket, MonoTime>,
    /// Scratch for effects, kept to spare allocations.
    ledger_effects: Vec<ShardEffect>,
    service_effects: Vec<ServiceEffect>,
}

impl ShardHost {
    /// A shard not yet looked at.
    pub fn new(shard: ShardId, vm: &VmName, ledger: LedgerShard, service: ShardService) -> Self {
        Self {
            shard,
            vm: vm.clone(),
            ledger,
            service,
            epoch: None,
            appended: FastMap::default(),
            ledger_effects: Vec::new(),
            service_effects: Vec::new(),
        }
    }

    /// The epoch held, when this gateway owns the shard.
    pub fn epoch(&self) -> Option<Epoch> {
        self.epoch
    }

    /// What the records add up to.
    pub fn service(&self) -> &ShardService {
        &self.service
    }

    /// When time alone changes something.
    pub fn next_wake(&self) -> Option<MonoTime> {
        self.ledger.next_wake().into_iter().chain(self.service.next_wake()).min()
    }

    /// Feeds the ledger.
    pub fn ledger_event(&mut self, now: Now, event: ShardEvent, out: &mut Vec<HostEffect>) {
        self.ledger.handle(now, event, &mut self.ledger_effects);
        self.settle(now, out);
    }

    /// Feeds the service.
    pub fn service_event(&mut self, now: Now, event: ServiceEvent, out: &mut Vec<HostEffect>) {
        self.service.handle(now, event, &mut self.service_effects);
        self.settle(now, out);
    }

    /// Hands effects between ledger and service until both are quiet.
    fn settle(&mut self, now: Now, out: &mut Vec<HostEffect>) {
        loop {
            let from_ledger = std::mem::take(&mut self.ledger_effects);
            let from_service = std::mem::take(&mut self.service_effects);
            if from_ledger.is_empty() && from_service.is_empty() {
                return;
            }
            for effect in from_ledger {
                self.carry_ledger(now, effect, out);
            }
            for effect in from_service {
                self.carry_service(now, effect, out);
            }
        }
    }

    fn carry_ledger(&mut self, now: Now, effect: ShardEffect, out: &mut Vec<HostEffect>) {
        match effect {
            ShardEffect::Call(call) => out.push(HostEffect::Store(call)),
            ShardEffect::Restore { state, .. } => {
                self.tell_service(now, ServiceEvent::Restore { state: state.into() });
            }
            ShardEffect::Apply { seq, record } => {
                self.tell_service(now, ServiceEvent::Apply { seq: seq.0, record });
            }
            ShardEffect::Owned { epoch } => {
                self.epoch = Some(epoch);
                self.tell_service(now, ServiceEvent::Owned { epoch });
                out.push(HostEffect::Owner { epoch, owner: Some(self.vm.clone()) });
            }
            ShardEffect::Lost { epoch } => {
                self.epoch = None;
                self.tell_service(now, ServiceEvent::Lost { epoch });
            }
            ShardEffect::Observed { epoch, owner } => out.push(HostEffect::Owner { epoch, owner }),
            ShardEffect::Committed { ticket, first_seq } => {
                if let Some(at) = self.appended.remove(&ticket) {
                    out.push(HostEffect::CommitTook(now.mono.since(at)));
                }
                let ticket = notch_jobs::prelude::AppendTicket(ticket.0);
                let first_seq = first_seq.0;
                self.tell_service(now, ServiceEvent::Committed { ticket, first_seq });
            }
            ShardEffect::Rejected { ticket, certainty, reason } => {
                self.appended.remove(&ticket);
                out.push(HostEffect::Count(Counter::Event(reason.counter())));
                let ticket = notch_jobs::prelude::AppendTicket(ticket.0);
                let kind = match (certainty, reason) {
                    (RejectCertainty::Unknown, _) => RejectKind::Unknown,
                    (_, RejectReason::ChunkStale) => RejectKind::ChunkStale,
                    (RejectCertainty::NotCommitted, _) => RejectKind::NotCommitted,
                };
                self.tell_service(now, ServiceEvent::Rejected { ticket, kind });
            }
            ShardEffect::SnapshotWanted => self.tell_service(now, ServiceEvent::SnapshotWanted),
            ShardEffect::SweepChunks { sweep, keys } => {
                let unused = self.service.unused_chunks(&keys);
                let event = ShardEvent::SweepAnswered { sweep, unused };
                self.ledger.handle(now, event, &mut self.ledger_effects);
            }
            ShardEffect::Count(counter) => out.push(HostEffect::Count(counter)),
            ShardEffect::Note(note) => out.push(HostEffect::Note(note)),
        }
    }

    fn carry_service(&mut self, now: Now, effect: ServiceEffect, out: &mut Vec<HostEffect>) {
        match effect {
            ServiceEffect::Answer { to, call, answer } => {
                let epoch = self.epoch.unwrap_or_default();
                out.push(HostEffect::Answer { to, call, epoch, answer });
            }
            ServiceEffect::Append { ticket, records, prompt, chunks } => {
                let ticket = AppendTicket(ticket.0);
                self.appended.insert(ticket, now.mono);
                let urgency = if prompt { AppendUrgency::Prompt } else { AppendUrgency::Relaxed };
                let event = ShardEvent::Append { ticket, records, urgency, chunks };
                self.ledger.handle(now, event, &mut self.ledger_effects);
            }
            ServiceEffect::ReadObject { key } => out.push(HostEffect::ReadObject(key)),
            ServiceEffect::ReadRecords { read, seqs } => {
                out.push(HostEffect::ReadRecords(self.locate(read, seqs)));
            }
            ServiceEffect::CancelRunning { job, epoch, vms } => {
                out.push(HostEffect::CancelRunning { job, epoch, vms });
            }
            ServiceEffect::Backlog(backlog) => out.push(HostEffect::Backlog(backlog)),
            ServiceEffect::SnapshotReady { state, upto, needed, .. } => {
                let needed = needed.into_iter().map(ledger_range).collect();
                let event = ShardEvent::SnapshotTaken { upto: Seq(upto), state: state.0, needed };
                self.ledger.handle(now, event, &mut self.ledger_effects);
            }
            ServiceEffect::Count(counter) => out.push(HostEffect::Count(counter)),
            ServiceEffect::Note(note) => out.push(HostEffect::Note(note)),
        }
    }

    fn tell_service(&mut self, now: Now, event: ServiceEvent) {
        self.service.handle(now, event, &mut self.service_effects);
    }

    fn locate(&self, read: ReadToken, seqs: Vec<u64>) -> RecordRead {
        let mut at_hand = Vec::new();
        let mut segments: BTreeMap<String, Vec<(u64, usize)>> = BTreeMap::new();
        for &seq in &seqs {
            match self.ledger.locate(Seq(seq)) {
                Some(RecordPlace::Inline(record)) => at_hand.push((seq, record.clone())),
                Some(RecordPlace::Segment { key, index }) => {
                    segments.entry(key).or_default().push((seq, index));
                }
                None => {}
            }
        }
        RecordRead { read, seqs, at_hand, segments }
    }

    /// Which shard.
    pub fn shard(&self) -> ShardId {
        self.shard
    }
}

impl RecordRead {
    /// Puts the records read together; an incomplete read fails as a whole.
    pub fn finish(
        self,
        fetched: Vec<(u64, Payload)>,
        failure: Option<ReadFailure>,
    ) -> Result<Vec<(u64, Payload)>, ReadFailure> {
        if let Some(failure) = failure {
            return Err(failure);
        }
        let mut records: BTreeMap<u64, Payload> = self.at_hand.into_iter().collect();
        records.extend(fetched);
        let whole: Vec<_> =
            self.seqs.iter().filter_map(|seq| Some((*seq, records.remove(seq)?))).collect();
        if whole.len() == self.seqs.len() { Ok(whole) } else { Err(ReadFailure::Gone) }
    }
}

fn ledger_range(range: notch_jobs::prelude::SeqRange) -> SeqRange {
    SeqRange { from: Seq(range.from), until: Seq(range.until) }
}
