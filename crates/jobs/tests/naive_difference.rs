//! The service against a naive reading of the same ledger, over random sequences of calls,
//! commits, lost answers, lapses and changes of owner.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use support::{ShardRig, account, answered, attempt, failed, naive_shard::NaiveShard, settings};

const JOBS: usize = 4;
const REQUESTS: u128 = 3;

#[derive(Debug, Clone)]
enum Step {
    Submit { job: usize, items: u32, idempotent: bool },
    OtherContent { job: usize },
    Cancel { job: usize },
    Pull { vm: usize, slots: u32 },
    Finish { pick: usize },
    FailAgain { pick: usize },
    FailForGood { pick: usize },
    Preempt { pick: usize },
    NotStarted { pick: usize },
    Crash { pick: usize },
    Forget { pick: usize },
    Repeat { pick: usize },
    Claim { request: u128, attempt: u64 },
    Release { request: u128, attempt: u64 },
    Store { request: u128, text: u8 },
    Commit,
    CommitAll,
    Reject,
    RejectUnknown { written: bool },
    Advance { millis: u64 },
    Readable(bool),
    Snapshot,
    TakeOver { from_snapshot: bool, written: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let pick = 0..64_usize;
    prop_oneof![
        3 => (0..JOBS, 1..14_u32, any::<bool>())
            .prop_map(|(job, items, idempotent)| Step::Submit { job, items, idempotent }),
        1 => (0..JOBS).prop_map(|job| Step::OtherContent { job }),
        1 => (0..JOBS).prop_map(|job| Step::Cancel { job }),
        8 => (0..3_usize, 1..5_u32).prop_map(|(vm, slots)| Step::Pull { vm, slots }),
        8 => pick.clone().prop_map(|pick| Step::Finish { pick }),
        2 => pick.clone().prop_map(|pick| Step::FailAgain { pick }),
        1 => pick.clone().prop_map(|pick| Step::FailForGood { pick }),
        2 => pick.clone().prop_map(|pick| Step::Preempt { pick }),
        2 => pick.clone().prop_map(|pick| Step::NotStarted { pick }),
        1 => pick.clone().prop_map(|pick| Step::Crash { pick }),
        2 => pick.clone().prop_map(|pick| Step::Forget { pick }),
        2 => pick.prop_map(|pick| Step::Repeat { pick }),
        2 => (0..REQUESTS, 0..3_u64)
            .prop_map(|(request, attempt)| Step::Claim { request, attempt }),
        1 => (0..REQUESTS, 0..3_u64)
            .prop_map(|(request, attempt)| Step::Release { request, attempt }),
        1 => (0..REQUESTS, any::<u8>()).prop_map(|(request, text)| Step::Store { request, text }),
        8 => Just(Step::Commit),
        4 => Just(Step::CommitAll),
        2 => Just(Step::Reject),
        1 => any::<bool>().prop_map(|written| Step::RejectUnknown { written }),
        4 => (1..1_500_u64).prop_map(|millis| Step::Advance { millis }),
        1 => any::<bool>().prop_map(Step::Readable),
        1 => Just(Step::Snapshot),
        1 => (any::<bool>(), 0..3_usize)
            .prop_map(|(from_snapshot, written)| Step::TakeOver { from_snapshot, written }),
    ]
}

/// An item at a sidecar.
#[derive(Debug, Clone)]
struct HeldItem {
    key: ItemKey,
    lot: LotId,
    attempt: u64,
    idempotent: bool,
}

/// The rig, its sidecars, and what they saw.
struct World {
    rig: ShardRig,
    held: Vec<HeldItem>,
    sent: Vec<ItemResult>,
    /// Every attempt that left, over all owners.
    granted: BTreeSet<(ItemKey, u64)>,
    /// Attempts of items that may run once which started.
    started: BTreeMap<ItemKey, BTreeSet<u64>>,
    checked: BTreeSet<CallId>,
    /// Reports that name results for good, by call.
    reports: BTreeMap<CallId, Vec<ItemKey>>,
    claims: BTreeMap<CallId, (RequestId, AttemptId)>,
}

impl World {
    fn new() -> Self {
        let mut rig = ShardRig::new(settings());
        rig.prompt = false;
        Self {
            rig,
            held: Vec::new(),
            sent: Vec::new(),
            granted: BTreeSet::new(),
            started: BTreeMap::new(),
            checked: BTreeSet::new(),
            reports: BTreeMap::new(),
            claims: BTreeMap::new(),
        }
    }

    fn naive(&self) -> NaiveShard {
        NaiveShard::read(&self.rig.records())
    }

    fn take(&mut self, pick: usize) -> Option<HeldItem> {
        let count = self.held.len();
        (count > 0).then(|| self.held.remove(pick % count))
    }

    fn start(&mut self, item: &HeldItem) {
        if !item.idempotent {
            self.started.entry(item.key).or_default().insert(item.attempt);
        }
    }

    fn send(&mut self, result: ItemResult) {
        let key = result.key;
        self.sent.push(result.clone());
        let last = match &result.outcome {
            ItemOutcome::Answered { .. } => true,
            ItemOutcome::Failed { retryable, .. } => !retryable,
        };
        let call = self.rig.ask(ShardRequest::ItemsDone(vec![result]));
        if last {
            self.reports.insert(call, vec![key]);
        }
    }

    fn end(&mut self, pick: usize, outcome: ItemOutcome) {
        let Some(item) = self.take(pick) else { return };
        self.start(&item);
        let HeldItem { key, lot, attempt, .. } = item;
        self.send(ItemResult { key, lot, attempt, outcome });
    }

    fn give_back(&mut self, pick: usize, reason: ReturnReason, started: bool) {
        let Some(item) = self.take(pick) else { return };
        if started {
            self.start(&item);
        }
        let HeldItem { key, lot, attempt, .. } = item;
        let back = ItemReturn { key, lot, attempt, reason, progress: None, started };
        self.rig.ask(ShardRequest::ItemsReturned(vec![back]));
    }

    fn run(&mut self, step: Step) {
        match step {
            Step::Submit { job, items, idempotent } => {
                self.rig.submit(&support::submission(job, items, idempotent));
            }
            Step::OtherContent { job } => {
                let other = JobSubmission { content: 1_000, ..support::submission(job, 2, true) };
                if self.naive().jobs.contains_key(&other.job) {
                    let met = self.rig.ask_now(ShardRequest::SubmitJob(other));
                    let ShardAnswer::Refused(refusal) = met else { panic!("{met:?}") };
                    assert_eq!(refusal.reason, RefusalReason::KeyReused);
                }
            }
            Step::Cancel { job } => {
                self.rig.cancel(job);
            }
            Step::Pull { vm, slots } => {
                self.rig.pull(vm, slots);
            }
            Step::Finish { pick } => self.end(pick, answered(&format!("answer {pick}"))),
            Step::FailAgain { pick } => self.end(pick, failed(true)),
            Step::FailForGood { pick } => self.end(pick, failed(false)),
            Step::Preempt { pick } => {
                // An item that may run once is preempted only before its start.
                let idempotent = |item: &HeldItem| item.idempotent;
                let count = self.held.len().max(1);
                let started = self.held.get(pick % count).is_some_and(idempotent);
                self.give_back(pick, ReturnReason::Preempted, started);
            }
            Step::NotStarted { pick } => self.give_back(pick, ReturnReason::NotStarted, false),
            Step::Crash { pick } => self.give_back(pick, ReturnReason::TargetCrashed, true),
            Step::Forget { pick } => {
                if let Some(item) = self.take(pick) {
                    self.start(&item);
                    let HeldItem { key, lot, attempt, .. } = item;
                    let outcome = answered("late");
                    self.sent.push(ItemResult { key, lot, attempt, outcome });
                }
            }
            Step::Repeat { pick } => {
                if !self.sent.is_empty() {
                    let result = self.sent[pick % self.sent.len()].clone();
                    self.send(result);
                }
            }
            Step::Claim { request, attempt: number } => {
                let request = RequestId(request);
                let call = self.rig.ask(ShardRequest::Claim {
                    request,
                    account: account(0),
                    attempt: attempt(number),
                    fingerprint: Fingerprint(1),
                    retention_ms: 1_000_000,
                });
                self.claims.insert(call, (request, attempt(number)));
            }
            Step::Release { request, attempt: number } => {
                let request = RequestId(request);
                self.rig.ask(ShardRequest::ReleaseClaim { request, attempt: attempt(number) });
            }
            Step::Store { request, text } => {
                self.rig.ask(ShardRequest::StoreAnswer {
                    request: RequestId(request),
                    account: account(0),
                    fingerprint: Fingerprint(1),
                    answer: StoredAnswer::Answered { status: 200, body: Payload(vec![text]) },
                    retention_ms: 1_000_000,
                });
            }
            Step::Commit => self.rig.commit_next(),
            Step::CommitAll => self.rig.commit_all(),
            Step::Reject => self.rig.reject_next(RejectKind::NotCommitted, false),
            Step::RejectUnknown { written } => {
                self.rig.reject_next(RejectKind::Unknown, written);
            }
            Step::Advance { millis } => self.rig.advance(millis),
            Step::Readable(readable) => self.rig.readable = readable,
            Step::Snapshot => self.rig.handle(ServiceEvent::SnapshotWanted),
            Step::TakeOver { from_snapshot, written } => self.take_over(from_snapshot, written),
        }
        self.check_answers();
        self.check_state();
    }

    /// The owner loses the shard with `written` of its open appends in the ledger after all.
    fn take_over(&mut self, from_snapshot: bool, written: usize) {
        for place in 0..self.rig.open.len() {
            self.rig.reject_next(RejectKind::Unknown, place < written);
        }
        let epoch = self.rig.epoch;
        self.rig.handle(ServiceEvent::Lost { epoch });
        self.check_answers();
        self.rig.take_over(from_snapshot);
    }

    /// Whatever was answered is already in the ledger.
    fn check_answers(&mut self) {
        let fresh: Vec<CallId> =
            self.rig.answers.keys().filter(|call| !self.checked.contains(call)).copied().collect();
        for call in fresh {
            self.checked.insert(call);
            let (answer, log) = self.rig.answers[&call].clone();
            let naive = NaiveShard::read(&self.rig.records()[..log]);
            match answer {
                ShardAnswer::JobAccepted { progress, .. } => {
                    assert!(naive.jobs.contains_key(&progress.job), "accepted before its commit");
                }
                ShardAnswer::Lot(grant) => self.check_grant(&naive, grant),
                ShardAnswer::ItemsSettled(settled) => {
                    for key in self.reports.get(&call).into_iter().flatten() {
                        let job = &naive.jobs[&key.job];
                        let ended = job.cancelled || job.results.contains_key(&key.item.0);
                        let wanted = !settled.contains(key) || ended || !job.accepted.idempotent;
                        assert!(wanted, "settled before its commit");
                    }
                }
                ShardAnswer::Claim(ClaimVerdict::Granted) => {
                    let (request, attempt) = self.claims[&call];
                    assert_eq!(naive.holders.get(&request), Some(&attempt), "not the holder");
                }
                ShardAnswer::Claim(ClaimVerdict::HeldBy(holder)) => {
                    let (request, _) = self.claims[&call];
                    assert_eq!(naive.holders.get(&request), Some(&holder));
                }
                ShardAnswer::Claim(ClaimVerdict::Ended(answer)) => {
                    let (request, _) = self.claims[&call];
                    assert_eq!(naive.answers.get(&request), Some(&answer));
                }
                _ => {}
            }
        }
    }

    fn check_grant(&mut self, naive: &NaiveShard, grant: LotGrant) {
        for item in &grant.items {
            let job = &naive.jobs[&item.key.job];
            assert!(!job.cancelled, "granted after its cancellation was committed");
            assert!(!job.results.contains_key(&item.key.item.0), "granted with a result");
            assert!(self.granted.insert((item.key, item.attempt)), "an attempt granted twice");
            if !grant.idempotent {
                let claim = job.claims.get(&item.key.item.0);
                assert_eq!(claim, Some(&item.attempt), "granted without its claim");
            }
            self.held.push(HeldItem {
                key: item.key,
                lot: grant.lot,
                attempt: item.attempt,
                idempotent: grant.idempotent,
            });
        }
    }

    /// The service's state says what the naive reading says.
    fn check_state(&mut self) {
        let naive = self.naive();
        let state = self.rig.service.state();
        assert_eq!(state.jobs().keys().collect::<Vec<_>>(), naive.jobs.keys().collect::<Vec<_>>());
        for (id, job) in &naive.jobs {
            let known = state.job(*id).expect("a job");
            let failed = job
                .results
                .values()
                .filter(|outcome| matches!(outcome, ItemOutcome::Failed { .. }));
            let failed = failed.count() as u32;
            assert_eq!(known.items().failed(), failed);
            assert_eq!(known.items().answered(), job.results.len() as u32 - failed);
            assert_eq!(known.phase() == JobPhase::Cancelled, job.cancelled);
            let claims = job.claims.iter().filter(|(item, _)| !job.results.contains_key(item));
            let claims: Vec<_> = claims.collect();
            if !job.cancelled {
                assert_eq!(known.claims().iter().collect::<Vec<_>>(), claims);
            }
        }
        for request in (0..REQUESTS).map(RequestId) {
            let known = state.requests().get(request);
            let holder = known.and_then(|known| known.holder);
            assert_eq!(holder, naive.holders.get(&request).copied());
            let ended = known.is_some_and(|known| known.answer.is_some());
            assert_eq!(ended, naive.answers.contains_key(&request));
        }
        for (key, attempts) in &self.started {
            assert!(attempts.len() <= 1, "item {key:?} started {attempts:?}");
        }
    }

    /// Everything heals; every job must come to its end, each item with one result.
    fn settle(&mut self) {
        self.rig.readable = true;
        self.rig.commit_all();
        for round in 0..400 {
            self.rig.advance(100);
            self.rig.commit_all();
            self.check_answers();
            while !self.held.is_empty() {
                self.run(Step::Finish { pick: 0 });
            }
            self.rig.commit_all();
            let naive = self.naive();
            if !naive.jobs.values().any(|job| job.is_running()) {
                return;
            }
            self.run(Step::Pull { vm: round % 3, slots: 4 });
            self.run(Step::CommitAll);
        }
        panic!("a job does not end: {:?}", self.naive().jobs);
    }

    fn check_end(&mut self) {
        // A chunk that was unreadable a moment ago is left alone for a while.
        self.rig.advance(1_000);
        let naive = self.naive();
        for (id, job) in &naive.jobs {
            let number = id.digest as usize;
            let lines = self.rig.results(number, 3).expect("results");
            assert_eq!(lines, naive.lines(*id));
            assert_eq!(lines.len() as u32, job.accepted.item_count, "an item without a result");
            let progress = self.rig.status(number).expect("a status");
            assert_eq!(progress.leased, 0);
            let sum = progress.answered + progress.failed + progress.cancelled;
            assert_eq!(sum, progress.total);
        }
        let replayed = self.rig.service.state().clone();
        let image = replayed.snapshot();
        assert_eq!(ShardState::restore(&image), Ok(replayed));
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 400,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    })]

    #[test]
    fn the_service_agrees_with_a_naive_reading(
        steps in prop::collection::vec(step(), 1..160),
        told_first in any::<bool>(),
    ) {
        let mut world = World::new();
        world.rig.told_first = told_first;
        for step in steps {
            world.run(step);
        }
        world.settle();
        world.check_end();
    }

    /// A state restored from a snapshot at any place, with the rest replayed, equals the state
    /// replayed from the start.
    #[test]
    fn a_restored_state_equals_the_replayed_one(
        steps in prop::collection::vec(step(), 1..160),
        cut in 0.0..1.0_f64,
    ) {
        let mut world = World::new();
        for step in steps {
            world.run(step);
        }
        let records = world.rig.records();
        let cut = (records.len() as f64 * cut) as usize;
        let mut whole = ShardState::default();
        let mut restored = ShardState::default();
        for (seq, record) in records.iter().enumerate() {
            if seq == cut {
                restored = ShardState::restore(&whole.snapshot()).expect("a snapshot");
            }
            whole.apply(seq as u64, record);
            if seq >= cut {
                restored.apply(seq as u64, record);
            }
        }
        if cut < records.len() {
            prop_assert_eq!(&restored, &whole);
            prop_assert_eq!(restored.needed_ranges(), whole.needed_ranges());
        }
    }
}
