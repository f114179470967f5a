//! Failures of results, claims and stored state, one by one: what a user would see, what happens,
//! and why the promise holds.

mod support;

use notch_jobs::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;

use support::{
    account, answered, attempt, claim, custom_id, drain, is_running, job_id, refusal, rig,
    submission,
};

// Symptom: results can't be read before the job's end, or are out of order, or cost a read each.
// Sequence: results come backwards; pages of two are read while items are open.
// Cause: pages follow the table's order; ids come from cached chunks.
#[test]
fn results_are_readable_while_the_job_runs() {
    let mut rig = rig();
    rig.submit(&submission(1, 12, true));
    let lots: Vec<LotGrant> = std::iter::from_fn(|| rig.pull_lot(0, 3)).collect();
    for lot in lots.iter().skip(1).rev() {
        for item in (0..lot.items.len()).rev() {
            rig.done(lot, item, answered("early"));
        }
    }
    let lines = rig.results(1, 2).expect("results");
    let ids: Vec<String> = lines.iter().map(|line| line.custom_id.clone()).collect();
    let open: usize = lots[0].items.len();
    let expected: Vec<String> = (open as u32..12).map(|n| custom_id(job_id(1), n)).collect();
    assert_eq!(ids, expected);
    assert!(rig.object_reads.values().all(|reads| *reads == 1), "{:?}", rig.object_reads);
    let job = job_id(1);
    let stranger =
        ShardRequest::JobResults { job, account: account(0), from: ItemIndex(0), limit: 5 };
    let stranger = rig.ask(stranger);
    assert_eq!(refusal(rig.answer(stranger)).reason, RefusalReason::NotFound);
    rig.readable = false;
    let call = rig.ask(ShardRequest::JobResults {
        job,
        account: account(1),
        from: ItemIndex(0),
        limit: 5,
    });
    assert_eq!(refusal(rig.answer(call)).reason, RefusalReason::StoreUnavailable);
}

// Symptom: a job hangs because a chunk of its input can't be read.
// Sequence: the chunk is unreadable for a while; another one is gone for good.
// Cause: an unreadable chunk is tried again; a lost one ends its items with a reason.
#[test]
fn an_unreadable_chunk_waits_and_a_lost_one_ends_its_items() {
    let mut rig = rig();
    rig.submit(&submission(1, 10, true));
    rig.objects.remove("chunk/1/10/5");
    rig.readable = false;
    assert!(rig.pull_lot(0, 3).is_none());
    rig.readable = true;
    drain(&mut rig, 1);
    let progress = rig.status(1).expect("a status");
    assert_eq!((progress.answered, progress.failed), (5, 5));
}

fn store(request: u128, text: &str) -> ShardRequest {
    ShardRequest::StoreAnswer {
        request: RequestId(request),
        account: account(1),
        fingerprint: Fingerprint(1),
        answer: stored(text),
        retention_ms: 1_000,
    }
}

fn stored(text: &str) -> StoredAnswer {
    StoredAnswer::Answered { status: 200, body: Payload::from(text) }
}

fn verdict(answer: ShardAnswer) -> ClaimVerdict {
    match answer {
        ShardAnswer::Claim(verdict) => verdict,
        other => panic!("{other:?}"),
    }
}

// Symptom: a learner's slot is booked twice, because the client sent its request again.
// Sequence: two gateways claim at once; one runs it; resends come before and after its end, and
// after the answer's retention.
// Cause: the ledger's order names one attempt; the claim outlives the resend window.
#[test]
fn one_attempt_alone_may_run_a_claimed_request() {
    let mut rig = rig();
    rig.prompt = false;
    let (first, second) = (rig.ask(claim(1, 1)), rig.ask(claim(1, 2)));
    assert!(rig.answers.is_empty(), "answered before its commit");
    rig.prompt = true;
    rig.commit_all();
    assert_eq!(rig.answer(first), Some(&ShardAnswer::Claim(ClaimVerdict::Granted)));
    let held = ClaimVerdict::HeldBy(attempt(1));
    assert_eq!(rig.answer(second), Some(&ShardAnswer::Claim(held.clone())));
    assert_eq!(verdict(rig.ask_now(claim(1, 1))), ClaimVerdict::Granted);
    let release = |number| {
        let attempt = attempt(number);
        ShardRequest::ReleaseClaim { request: RequestId(1), attempt }
    };
    rig.ask_now(release(2));
    assert_eq!(verdict(rig.ask_now(claim(1, 2))), held, "released by another attempt");
    rig.ask_now(release(1));
    assert_eq!(verdict(rig.ask_now(claim(1, 2))), ClaimVerdict::Granted);
    let ShardRequest::Claim { request, account, attempt, retention_ms, .. } = claim(1, 3) else {
        return;
    };
    let fingerprint = Fingerprint(2);
    let other = ShardRequest::Claim { request, account, attempt, fingerprint, retention_ms };
    assert_eq!(verdict(rig.ask_now(other)), ClaimVerdict::OtherBody);
    assert_eq!(rig.ask_now(store(1, "booked")), ShardAnswer::Done);
    assert_eq!(rig.ask_now(store(1, "booked again")), ShardAnswer::Done);
    assert_eq!(verdict(rig.ask_now(claim(1, 3))), ClaimVerdict::Ended(stored("booked")));
    let fetch = |number: usize| ShardRequest::FetchAnswer {
        request: RequestId(1),
        account: support::account(number),
    };
    assert_eq!(rig.ask_now(fetch(1)), ShardAnswer::Answer(Some(stored("booked"))));
    assert_eq!(refusal(Some(&rig.ask_now(fetch(0)))).reason, RefusalReason::NotFound);
    rig.advance(3_600_000);
    assert_eq!(refusal(Some(&rig.ask_now(fetch(1)))).reason, RefusalReason::Expired);
    assert_eq!(
        verdict(rig.ask_now(claim(1, 3))),
        ClaimVerdict::Ended(StoredAnswer::Unknown),
        "forgotten within the resend window"
    );
    rig.advance(24 * 3_600_000);
    assert!(rig.service.state().requests().is_empty());
}

// Symptom: the shard's memory and the store grow for ever, or a result is gone too early.
// Sequence: a job ends; its retention passes.
// Cause: expiry is a record, so every node forgets the same at the same place.
#[test]
fn an_expired_job_frees_its_records_and_chunks() {
    let mut rig = rig();
    rig.submit(&JobSubmission { retention_ms: 60_000, ..submission(1, 6, true) });
    drain(&mut rig, 1);
    let keys: Vec<String> = rig.objects.keys().cloned().collect();
    assert!(rig.service.unused_chunks(&keys).is_empty());
    rig.advance(30_000);
    let needed = rig.service.state().needed_ranges();
    let ended = rig.records();
    let ended = ended.iter().enumerate();
    let results = ended.filter(|(_, record)| matches!(record, LedgerRecord::ItemEnded { .. }));
    for (seq, _) in results {
        let held = |range: &SeqRange| (range.from..range.until).contains(&(seq as u64));
        assert!(needed.iter().any(held));
    }
    rig.advance(60_000);
    assert!(rig.status(1).is_none());
    assert!(rig.service.state().needed_ranges().is_empty());
    assert!(rig.service.state().live_chunks().is_empty());
    assert_eq!(rig.service.unused_chunks(&keys), keys);
}

// Symptom: one broken record makes a shard unusable; or an owner denies jobs that exist.
// Sequence: a record of a later version is replayed; a snapshot is damaged.
// Cause: a broken record is passed over and counted; no term starts on a broken snapshot.
#[test]
fn broken_bytes_are_passed_over_or_refused() {
    let mut rig = rig();
    rig.submit(&submission(1, 2, true));
    rig.log.push(Payload::from("no record"));
    rig.take_over(false);
    assert_eq!(rig.count(Counter::Dropped(DropReason::Undecodable)), 1);
    assert!(is_running(&mut rig, 1));
    rig.handle(ServiceEvent::SnapshotWanted);
    let (state, upto) = rig.snapshot.clone().expect("a snapshot");
    rig.snapshot = Some((Payload(state[..state.len() / 2].to_vec()), upto));
    rig.take_over(true);
    assert_eq!(rig.count(Counter::Event("snapshots_unreadable")), 1);
    let denied = ShardRequest::JobStatus { job: job_id(1), account: account(1) };
    assert_eq!(rig.ask_now(denied), ShardAnswer::NotOwner { owner: None });
}
