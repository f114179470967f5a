//! A shard's service with a ledger of one list and a store of one map beside it.
#![allow(dead_code, unreachable_pub, reason = "each test file uses its part")]

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

pub mod naive_shard;

pub const SHARD: ShardId = ShardId(0);

pub fn settings() -> JobSettings {
    JobSettings {
        lease: Duration::from_secs(2),
        lot_items: 3,
        takeover_window: 4,
        park_time: Duration::from_secs(1),
        append_patience: Duration::from_secs(1),
        store_retry: Duration::from_millis(200),
        backoff_base: Duration::from_millis(50),
        backoff_max: Duration::from_millis(200),
        cancel_repeat: Duration::from_millis(200),
        ..JobSettings::default()
    }
}

pub fn vm(number: usize) -> VmName {
    VmName::new(&format!("vm-{number}"))
}

pub fn account(number: usize) -> AccountName {
    AccountName::new(&format!("account-{number}"))
}

pub fn target() -> TargetName {
    TargetName::new("statement-matching")
}

pub fn job_id(number: usize) -> JobId {
    JobId { shard: SHARD, digest: number as u128 }
}

pub fn custom_id(job: JobId, item: u32) -> String {
    format!("line-{}-{item}", job.digest)
}

/// A chunk of `lines` items from `first` on.
pub fn chunk(job: JobId, first: u32, lines: u32) -> Payload {
    let line = |item: u32| {
        let id = custom_id(job, item);
        format!("{{\"custom_id\":\"{id}\",\"body\":{{\"job\":{},\"n\":{item}}}}}\n", job.digest)
    };
    Payload::from((first..first + lines).map(line).collect::<String>().as_str())
}

pub const CHUNK_LINES: u32 = 5;

pub fn submission(number: usize, items: u32, idempotent: bool) -> JobSubmission {
    let job = job_id(number);
    let chunks = (0..items).step_by(CHUNK_LINES as usize);
    let chunks = chunks.map(|first| JobChunk {
        key: format!("chunk/{number}/{items}/{first}"),
        first: ItemIndex(first),
        age_ms: 0,
    });
    JobSubmission {
        job,
        account: account(number % 2),
        target: target(),
        due: WallTime(3_600_000),
        item_count: items,
        idempotent,
        max_attempts: 3,
        retention_ms: 1_000_000_000,
        chunks: chunks.collect(),
        content: u128::from(items) * 2 + u128::from(idempotent),
        attempt: 0,
    }
}

pub fn answered(text: &str) -> ItemOutcome {
    ItemOutcome::Answered { status: 200, body: Payload::from(text) }
}

pub fn failed(retryable: bool) -> ItemOutcome {
    let reason = RefusalReason::TargetFailed;
    ItemOutcome::Failed { reason, retryable, ran: Ran::Unknown, detail: "failed".to_owned() }
}

/// An append that the ledger has not ended.
#[derive(Debug)]
pub struct OpenAppend {
    pub ticket: AppendTicket,
    pub records: Vec<Payload>,
}

/// The service and what surrounds it.
pub struct ShardRig {
    pub service: ShardService,
    pub settings: JobSettings,
    pub now: Now,
    pub epoch: Epoch,
    /// The ledger: every committed record in order.
    pub log: Vec<Payload>,
    /// Records of the log that the service was given.
    pub applied: usize,
    pub open: VecDeque<OpenAppend>,
    /// Whether appends are committed as soon as they are made.
    pub prompt: bool,
    /// Whether an append's end is told before its records are applied.
    pub told_first: bool,
    /// Whether reads of objects and records are answered.
    pub readable: bool,
    pub objects: BTreeMap<String, Payload>,
    /// Answers by call, with the length of the log when they were given.
    pub answers: BTreeMap<CallId, (ShardAnswer, usize)>,
    pub cancels: Vec<(JobId, Vec<VmName>)>,
    pub backlog: Vec<TargetBacklog>,
    pub counters: BTreeMap<Counter, u32>,
    pub snapshot: Option<(Payload, usize)>,
    pub object_reads: BTreeMap<String, u32>,
    next_call: u64,
}

impl ShardRig {
    pub fn new(settings: JobSettings) -> Self {
        let mut rig = Self {
            service: ShardService::new(SHARD, settings.clone()),
            settings,
            now: Now::at_millis(1_000_000),
            epoch: Epoch(0),
            log: Vec::new(),
            applied: 0,
            open: VecDeque::new(),
            prompt: true,
            told_first: false,
            readable: true,
            objects: BTreeMap::new(),
            answers: BTreeMap::new(),
            cancels: Vec::new(),
            backlog: Vec::new(),
            counters: BTreeMap::new(),
            snapshot: None,
            object_reads: BTreeMap::new(),
            next_call: 0,
        };
        rig.take_over(false);
        rig
    }

    /// Another node takes the shard over, from the newest snapshot if wanted.
    pub fn take_over(&mut self, from_snapshot: bool) {
        self.service = ShardService::new(SHARD, self.settings.clone());
        self.open.clear();
        let (state, from) = match (&self.snapshot, from_snapshot) {
            (Some((state, upto)), true) => (state.clone(), *upto),
            _ => (Payload::default(), 0),
        };
        self.handle(ServiceEvent::Restore { state });
        self.applied = from;
        self.apply_log();
        self.epoch = Epoch(self.epoch.0 + 1);
        self.handle(ServiceEvent::Owned { epoch: self.epoch });
    }

    pub fn handle(&mut self, event: ServiceEvent) {
        let mut effects = Vec::new();
        self.service.handle(self.now, event, &mut effects);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    pub fn ask(&mut self, request: ShardRequest) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        self.handle(ServiceEvent::Asked { from: vm(99), call, request });
        call
    }

    /// The answer to a call, once given.
    pub fn answer(&self, call: CallId) -> Option<&ShardAnswer> {
        self.answers.get(&call).map(|(answer, _)| answer)
    }

    pub fn ask_now(&mut self, request: ShardRequest) -> ShardAnswer {
        let call = self.ask(request);
        self.answer(call).cloned().expect("an answer at once")
    }

    pub fn advance(&mut self, millis: u64) {
        self.now.mono = self.now.mono + Duration::from_millis(millis);
        self.now.wall.0 += millis;
        self.handle(ServiceEvent::Tick);
    }

    pub fn store_chunks(&mut self, submission: &JobSubmission) {
        for chunk_line in &submission.chunks {
            let lines = CHUNK_LINES.min(submission.item_count - chunk_line.first.0);
            let bytes = chunk(submission.job, chunk_line.first.0, lines);
            self.objects.insert(chunk_line.key.clone(), bytes);
        }
    }

    pub fn submit(&mut self, submission: &JobSubmission) -> CallId {
        self.store_chunks(submission);
        self.ask(ShardRequest::SubmitJob(submission.clone()))
    }

    pub fn pull(&mut self, from: usize, slots: u32) -> CallId {
        let incarnation = Incarnation(1);
        self.ask(ShardRequest::Pull(LotPull { vm: vm(from), incarnation, target: target(), slots }))
    }

    pub fn pull_lot(&mut self, from: usize, slots: u32) -> Option<LotGrant> {
        let call = self.pull(from, slots);
        match self.answer(call) {
            Some(ShardAnswer::Lot(grant)) => Some(grant.clone()),
            _ => None,
        }
    }

    pub fn done(&mut self, lot: &LotGrant, item: usize, outcome: ItemOutcome) -> CallId {
        let LotItem { key, attempt, .. } = lot.items[item];
        let result = ItemResult { key, lot: lot.lot, attempt, outcome };
        self.ask(ShardRequest::ItemsDone(vec![result]))
    }

    pub fn give_back(
        &mut self,
        lot: &LotGrant,
        item: usize,
        reason: ReturnReason,
        started: bool,
    ) -> CallId {
        let LotItem { key, attempt, .. } = lot.items[item];
        let progress = (reason == ReturnReason::Preempted).then(|| Payload::from("half"));
        let back = ItemReturn { key, lot: lot.lot, attempt, reason, progress, started };
        self.ask(ShardRequest::ItemsReturned(vec![back]))
    }

    pub fn cancel(&mut self, number: usize) -> CallId {
        let account = account(number % 2);
        self.ask(ShardRequest::CancelJob { job: job_id(number), account })
    }

    pub fn status(&mut self, number: usize) -> Option<JobProgress> {
        let account = account(number % 2);
        match self.ask_now(ShardRequest::JobStatus { job: job_id(number), account }) {
            ShardAnswer::Job(progress) => Some(progress),
            _ => None,
        }
    }

    /// All result lines of a job, page by page.
    pub fn results(&mut self, number: usize, limit: u32) -> Option<Vec<ResultLine>> {
        let mut lines = Vec::new();
        let mut from = ItemIndex(0);
        loop {
            let (job, account) = (job_id(number), account(number % 2));
            let call = self.ask(ShardRequest::JobResults { job, account, from, limit });
            match self.answer(call)?.clone() {
                ShardAnswer::Results { lines: page, next, .. } => {
                    lines.extend(page);
                    match next {
                        Some(next) => from = next,
                        None => return Some(lines),
                    }
                }
                _ => return None,
            }
        }
    }

    /// Ends the oldest open append: committed.
    pub fn commit_next(&mut self) {
        let Some(OpenAppend { ticket, records }) = self.open.pop_front() else { return };
        let first_seq = self.log.len() as u64;
        self.log.extend(records);
        if self.told_first {
            self.handle(ServiceEvent::Committed { ticket, first_seq });
        }
        self.apply_log();
        if !self.told_first {
            self.handle(ServiceEvent::Committed { ticket, first_seq });
        }
    }

    /// Ends the oldest open append: rejected, and if `written` in the ledger all the same.
    pub fn reject_next(&mut self, kind: RejectKind, written: bool) {
        let Some(OpenAppend { ticket, records }) = self.open.pop_front() else { return };
        self.handle(ServiceEvent::Rejected { ticket, kind });
        if written {
            self.log.extend(records);
            self.apply_log();
        }
    }

    pub fn commit_all(&mut self) {
        while !self.open.is_empty() {
            self.commit_next();
        }
    }

    pub fn count(&self, counter: Counter) -> u32 {
        self.counters.get(&counter).copied().unwrap_or(0)
    }

    pub fn records(&self) -> Vec<LedgerRecord> {
        self.log.iter().map(|bytes| LedgerRecord::decode(bytes).expect("a record")).collect()
    }

    fn apply_log(&mut self) {
        while self.applied < self.log.len() {
            let (seq, record) = (self.applied as u64, self.log[self.applied].clone());
            self.applied += 1;
            self.handle(ServiceEvent::Apply { seq, record });
        }
    }

    fn carry_out(&mut self, effect: ServiceEffect) {
        match effect {
            ServiceEffect::Answer { call, answer, .. } => {
                let before = self.answers.insert(call, (answer, self.log.len()));
                assert!(before.is_none(), "a call answered twice: {before:?}");
            }
            ServiceEffect::Append { ticket, records, .. } => {
                assert!(!records.is_empty(), "an empty append");
                self.open.push_back(OpenAppend { ticket, records });
                if self.prompt {
                    self.commit_all();
                }
            }
            ServiceEffect::ReadObject { key } => {
                *self.object_reads.entry(key.clone()).or_default() += 1;
                let result = match (self.readable, self.objects.get(&key)) {
                    (false, _) => Err(ReadFailure::Unavailable),
                    (true, None) => Err(ReadFailure::Gone),
                    (true, Some(bytes)) => Ok(bytes.clone()),
                };
                self.handle(ServiceEvent::ObjectRead { key, result });
            }
            ServiceEffect::ReadRecords { read, seqs } => {
                let found = seqs.iter().map(|seq| (*seq, self.log[*seq as usize].clone()));
                let result = match self.readable {
                    true => Ok(found.collect()),
                    false => Err(ReadFailure::Unavailable),
                };
                self.handle(ServiceEvent::RecordsRead { read, result });
            }
            ServiceEffect::CancelRunning { job, vms, .. } => self.cancels.push((job, vms)),
            ServiceEffect::Backlog(backlog) => self.backlog = backlog,
            ServiceEffect::SnapshotReady { state, upto, .. } => {
                self.snapshot = Some((state, upto as usize));
            }
            ServiceEffect::Count(counter) => *self.counters.entry(counter).or_default() += 1,
            ServiceEffect::Note(_) => {}
        }
    }
}

pub fn attempt(number: u64) -> AttemptId {
    AttemptId { request: RequestId(7), number, incarnation: Incarnation(1) }
}

pub fn rig() -> ShardRig {
    ShardRig::new(settings())
}

pub fn refusal(answer: Option<&ShardAnswer>) -> Refusal {
    match answer {
        Some(ShardAnswer::Refused(refusal)) => refusal.clone(),
        other => panic!("not a refusal: {other:?}"),
    }
}

pub fn is_running(rig: &mut ShardRig, number: usize) -> bool {
    rig.status(number).is_some_and(|progress| progress.phase == JobPhase::Running)
}

/// Runs a job's open items to their end on one VM.
pub fn drain(rig: &mut ShardRig, number: usize) {
    for _ in 0..200 {
        rig.advance(100);
        while let Some(lot) = rig.pull_lot(0, 4) {
            for item in 0..lot.items.len() {
                rig.done(&lot, item, answered("drained"));
            }
        }
        if !is_running(rig, number) {
            return;
        }
    }
    panic!("job {number} does not end");
}

pub fn claim(request: u128, number: u64) -> ShardRequest {
    ShardRequest::Claim {
        request: RequestId(request),
        account: account(1),
        attempt: attempt(number),
        fingerprint: Fingerprint(1),
        retention_ms: 1_000,
    }
}
