//! Two gateways' hosts of one shard, a sidecar that answers every item by its body, and a store
//! whose answers may be lost. Everything by one seed.

use std::{collections::BTreeMap, time::Duration};

use notch_gateway::control::shard_host::{HostEffect, ShardHost};
use notch_jobs::prelude::*;
use notch_ledger::{LedgerShard, ShardEvent, ShardSettings, ShardStanding, read_segment};
use notch_messages::prelude::*;
use notch_types::{object::*, prelude::*};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::store::FakeStore;

pub(crate) const ITEMS: u32 = 40;
const CHUNK_ITEMS: u32 = 15;
const SHARD: ShardId = ShardId(0);
const HOSTS: usize = 2;

/// Faults of the store, each as so many in a hundred calls.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FaultShare {
    pub(crate) lost_after: u32,
    pub(crate) lost_before: u32,
    pub(crate) unavailable: u32,
}

#[derive(Debug)]
struct PendingCall {
    host: usize,
    life: u64,
    call: StoreCall,
}

struct HostPlace {
    host: ShardHost,
    life: u64,
    /// Paused until then: it is told nothing and no time passes for it.
    paused_until: u64,
}

pub(crate) struct World {
    pub(crate) store: FakeStore,
    pub(crate) now_ms: u64,
    random: SmallRng,
    faults: FaultShare,
    hosts: Vec<HostPlace>,
    lives: u64,
    calls: Vec<PendingCall>,
    next_call: u64,
    /// Answers given, by call.
    pub(crate) answers: BTreeMap<CallId, ShardAnswer>,
    /// Results the sidecar holds until they are settled.
    unsettled: BTreeMap<ItemKey, ItemResult>,
    /// Items whose result an owner said to be in the ledger, and its epoch.
    settled: BTreeMap<ItemKey, Epoch>,
    /// The epoch of the owner that first said that it has the job.
    accepted: Option<Epoch>,
    /// How often each item was started.
    pub(crate) starts: BTreeMap<ItemIndex, u32>,
    /// First result ever read of each item: it must never change.
    pub(crate) read: BTreeMap<ItemIndex, ItemOutcome>,
    job: JobId,
}

impl World {
    pub(crate) fn new(seed: u64, faults: FaultShare) -> Self {
        let mut world = Self {
            store: FakeStore::default(),
            now_ms: 1_000_000,
            random: SmallRng::seed_from_u64(seed),
            faults,
            hosts: Vec::new(),
            lives: 0,
            calls: Vec::new(),
            next_call: 1,
            answers: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            settled: BTreeMap::new(),
            accepted: None,
            starts: BTreeMap::new(),
            read: BTreeMap::new(),
            job: JobId::derive(&account(), "key", 1),
        };
        for number in 0..HOSTS {
            let place = world.new_host(number);
            world.hosts.push(place);
            world.stand(number);
        }
        world
    }

    fn new_host(&mut self, number: usize) -> HostPlace {
        self.lives += 1;
        let vm = entry_vm(number);
        let settings = ShardSettings {
            shard: SHARD,
            writer: vm.clone(),
            incarnation: Incarnation(self.lives),
            lease: Duration::from_secs(4),
            renew_every: Duration::from_secs(1),
            commit_delay_max: Duration::from_millis(100),
            call_timeout: Duration::from_secs(1),
            backoff_max: Duration::from_secs(1),
            inline_limit_bytes: 600,
            segment_target_bytes: 2_000,
            max_record_bytes: 1_500,
            snapshot_every_segments: 4,
            grace: Duration::from_secs(60),
            sweep_every: Duration::from_secs(10),
            ..ShardSettings::default()
        };
        settings.check().unwrap();
        let jobs = JobSettings {
            lease: Duration::from_secs(3),
            lot_items: 4,
            chunk_grace: Duration::from_secs(60),
            ..JobSettings::default()
        };
        let ledger = LedgerShard::new(settings, self.lives);
        let host = ShardHost::new(SHARD, &vm, ledger, ShardService::new(SHARD, jobs));
        HostPlace { host, life: self.lives, paused_until: 0 }
    }

    fn stand(&mut self, number: usize) {
        let standing = match number {
            0 => ShardStanding::Preferred,
            rank => ShardStanding::Standby(rank as u8),
        };
        self.ledger(number, ShardEvent::Stand(standing));
    }

    fn now(&self) -> Now {
        Now::at_millis(self.now_ms)
    }

    /// One random step of the world.
    pub(crate) fn step(&mut self, losses: bool) {
        match self.random.random_range(0..100) {
            0..45 => self.answer_call(),
            45..70 => self.pass_time(),
            70..82 => self.pull(),
            82..92 => self.send_results(),
            92..97 => self.read_results(),
            97 if losses => self.lose_host(),
            98 if losses => self.pause_host(),
            _ => {}
        }
    }

    /// Everything works from now on.
    pub(crate) fn heal(&mut self) {
        self.faults = FaultShare { lost_after: 0, lost_before: 0, unavailable: 0 };
        for place in &mut self.hosts {
            place.paused_until = 0;
        }
    }

    pub(crate) fn submit(&mut self) -> CallId {
        let chunks = self.write_chunks();
        let submission = JobSubmission {
            job: self.job,
            account: account(),
            target: TargetName::new("model"),
            due: WallTime(self.now_ms + 3_600_000),
            item_count: ITEMS,
            idempotent: true,
            max_attempts: 50,
            retention_ms: 3_600_000,
            chunks,
            content: 7,
            attempt: 0,
        };
        self.ask(ShardRequest::SubmitJob(submission))
    }

    fn write_chunks(&mut self) -> Vec<JobChunk> {
        let mut chunks = Vec::new();
        for first in (0..ITEMS).step_by(CHUNK_ITEMS as usize) {
            let lines = (first..(first + CHUNK_ITEMS).min(ITEMS)).map(|item| {
                format!("{{\"custom_id\":\"line-{item}\",\"body\":{{\"n\":{item}}}}}\n")
            });
            let key = format!("chunk/0000/{first:04}-{}", self.next_call);
            let value = Payload::from(lines.collect::<String>().as_str());
            let condition = WriteCondition::Always;
            let put = StoreOp::Put { key: key.clone(), value, condition };
            self.store.run(WallTime(self.now_ms), put).unwrap();
            chunks.push(JobChunk { key, first: ItemIndex(first), age_ms: 0 });
        }
        chunks
    }

    /// Asks whichever host owns the shard; unanswered when none does.
    pub(crate) fn ask(&mut self, request: ShardRequest) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        if let Some(number) = self.owner() {
            let from = entry_vm(9);
            let event = ServiceEvent::Asked { from, call, request };
            self.service(number, event);
        }
        call
    }

    /// Every host that believes that it owns the shard and isn't paused; one of them by chance.
    fn owner(&mut self) -> Option<usize> {
        let now = self.now_ms;
        let awake = |place: &HostPlace| place.paused_until <= now && place.host.epoch().is_some();
        let owners: Vec<usize> = (0..HOSTS).filter(|n| awake(&self.hosts[*n])).collect();
        (!owners.is_empty()).then(|| owners[self.random.random_range(0..owners.len())])
    }

    pub(crate) fn job_request(&self) -> ShardRequest {
        ShardRequest::JobStatus { job: self.job, account: account() }
    }

    pub(crate) fn results_request(&self) -> ShardRequest {
        let (job, account) = (self.job, account());
        ShardRequest::JobResults { job, account, from: ItemIndex(0), limit: ITEMS }
    }

    fn answer_call(&mut self) {
        if self.calls.is_empty() {
            return self.pass_time();
        }
        let place = self.random.random_range(0..self.calls.len());
        let PendingCall { host, life, call } = self.calls.swap_remove(place);
        let wall = WallTime(self.now_ms);
        let chance = self.random.random_range(0..100);
        let FaultShare { lost_after, lost_before, unavailable } = self.faults;
        let result = if chance < lost_after {
            let _ = self.store.run(wall, call.op);
            Err(StoreFailure::Unknown)
        } else if chance < lost_after + lost_before {
            Err(StoreFailure::Unknown)
        } else if chance < lost_after + lost_before + unavailable {
            Err(StoreFailure::Unavailable)
        } else {
            self.store.run(wall, call.op)
        };
        if self.hosts[host].life == life {
            self.ledger(host, ShardEvent::StoreAnswered { call: call.call, result });
        }
    }

    fn pass_time(&mut self) {
        self.now_ms += self.random.random_range(5..150);
        for number in 0..HOSTS {
            if self.hosts[number].paused_until <= self.now_ms {
                self.ledger(number, ShardEvent::Tick);
                self.service(number, ServiceEvent::Tick);
            }
        }
    }

    fn pull(&mut self) {
        let pull = LotPull {
            vm: VmName::new("target-1"),
            incarnation: Incarnation(1),
            target: TargetName::new("model"),
            slots: 4,
        };
        self.ask(ShardRequest::Pull(pull));
    }

    /// The sidecar sends what is not settled, again and again, to whoever owns the shard.
    fn send_results(&mut self) {
        let results: Vec<ItemResult> = self.unsettled.values().take(6).cloned().collect();
        if !results.is_empty() {
            self.ask(ShardRequest::ItemsDone(results));
        }
    }

    pub(crate) fn read_results(&mut self) {
        let request = self.results_request();
        self.ask(request);
    }

    fn lose_host(&mut self) {
        let number = self.random.random_range(0..HOSTS);
        self.hosts[number] = self.new_host(number);
        self.stand(number);
    }

    fn pause_host(&mut self) {
        let number = self.random.random_range(0..HOSTS);
        self.hosts[number].paused_until = self.now_ms + self.random.random_range(1_000..12_000);
    }

    fn ledger(&mut self, number: usize, event: ShardEvent) {
        let mut effects = Vec::new();
        let now = self.now();
        self.hosts[number].host.ledger_event(now, event, &mut effects);
        self.carry(number, effects);
    }

    fn service(&mut self, number: usize, event: ServiceEvent) {
        let mut effects = Vec::new();
        let now = self.now();
        self.hosts[number].host.service_event(now, event, &mut effects);
        self.carry(number, effects);
    }

    fn carry(&mut self, number: usize, effects: Vec<HostEffect>) {
        let life = self.hosts[number].life;
        for effect in effects {
            match effect {
                HostEffect::Store(call) => {
                    self.calls.push(PendingCall { host: number, life, call })
                }
                HostEffect::Answer { call, epoch, answer, .. } => {
                    self.take_answer(call, epoch, answer);
                }
                HostEffect::ReadObject(key) => {
                    let value = self.store.get(&key).and_then(|object| object.value);
                    let result = value.ok_or(ReadFailure::Gone);
                    self.service(number, ServiceEvent::ObjectRead { key, result });
                }
                HostEffect::ReadRecords(mut read) => {
                    let token = read.read;
                    let segments = std::mem::take(&mut read.segments);
                    let mut fetched = Vec::new();
                    let mut failure = None;
                    for (key, wanted) in segments {
                        match self.store.get(&key).and_then(|object| object.value) {
                            None => failure = Some(ReadFailure::Gone),
                            Some(bytes) => {
                                fetched.extend(wanted.into_iter().map(|(seq, index)| {
                                    (seq, read_segment(&bytes, index).unwrap())
                                }))
                            }
                        }
                    }
                    let result = read.finish(fetched, failure);
                    self.service(number, ServiceEvent::RecordsRead { read: token, result });
                }
                _ => {}
            }
        }
    }

    fn take_answer(&mut self, call: CallId, epoch: Epoch, answer: ShardAnswer) {
        match &answer {
            ShardAnswer::Lot(lot) => {
                for item in &lot.items {
                    // A deposed owner that doesn't know it yet may; it does no harm.
                    let settled = self.settled.get(&item.key).is_some_and(|at| *at <= epoch);
                    assert!(!settled, "{:?} was settled", item.key);
                    *self.starts.entry(item.key.item).or_default() += 1;
                    let outcome = ItemOutcome::Answered { status: 200, body: item.body.clone() };
                    let result =
                        ItemResult { key: item.key, lot: lot.lot, attempt: item.attempt, outcome };
                    self.unsettled.insert(item.key, result);
                }
            }
            ShardAnswer::ItemsSettled(items) => {
                for item in items {
                    self.unsettled.remove(item);
                    self.settled.insert(*item, epoch);
                }
            }
            ShardAnswer::JobAccepted { .. } => {
                self.accepted.get_or_insert(epoch);
            }
            ShardAnswer::Refused(refusal) => {
                let known = self.accepted.is_some_and(|at| at <= epoch);
                let lost = known && refusal.reason == RefusalReason::NotFound;
                assert!(!lost, "an accepted job is unknown");
            }
            ShardAnswer::Results { lines, .. } => {
                for line in lines {
                    if let ItemStatus::Ended(outcome) = &line.status {
                        let first = self.read.entry(line.item).or_insert_with(|| outcome.clone());
                        assert_eq!(first, outcome, "the result of {:?} changed", line.item);
                    }
                }
            }
            _ => {}
        }
        self.answers.insert(call, answer);
    }
}

fn account() -> AccountName {
    AccountName::new("clerks")
}

fn entry_vm(number: usize) -> VmName {
    VmName::new(&format!("entry-{number}"))
}
