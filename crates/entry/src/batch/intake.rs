//! Accepts submitted jobs.

use std::{sync::Arc, time::Duration};

use async_std::{future::timeout, task};
use notch_h1::prelude::RequestHead;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::{job::items_text, prelude::*};
use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::{
        adoption, deadline_admission,
        limits::{self, LimitOutcome},
        ownership,
        prior_submission::{PriorJob, find_prior_submission},
        records::{create_job, inline_items, part_count, read_end, read_job},
    },
    constants::{
        JOB_BYTES, JOB_INTAKE_TIMEOUT, JOB_STORING_NOTICE_DELAY, JOB_STORING_TIMEOUT, RETRY_AFTER,
        RETRY_AFTER_START, RETRY_AFTER_STOP, STORE_PAUSE,
    },
    front::answer::OwnAnswer,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        reply::StoreFailure,
        retry::{jittered, until_answered},
    },
};

/// Poll interval while another submission of the same job is being stored.
const KNOWN_POLL: Duration = Duration::from_millis(20);

/// How long a submission waits for the read of the own entry.
const OWN_ENTRY_TIMEOUT: Duration = Duration::from_millis(400);

/// Outcome of storing a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoringOutcome {
    /// The job is stored and owned by this gateway.
    Owned,
    /// The job was stored before.
    Known,
    /// The job is not stored and will not be.
    NotStored,
    /// The store refuses the job for good.
    Refused,
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobRefusal {
    /// It cannot be done before its deadline. It may be accepted after `wait`.
    NoTime {
        /// When the client should retry.
        wait: Duration,
    },
    /// It exceeds its route's limit on waiting tokens.
    OverLimit {
        /// When the client should retry.
        wait: Duration,
    },
    /// Whether it is within the limit could not be determined in time.
    LimitUnknown,
    /// The other gateways may have evicted this one.
    EntryUnconfirmed,
    /// This gateway stops: it hands its jobs over, or may end before the job is stored.
    Stopping,
}

/// Accepts a submitted job. The client gets a 202 only once the job is stored.
pub async fn accept_job(
    node: &Arc<EntryNode>,
    head: &RequestHead,
    body: &[u8],
    route: &Route,
    account: &str,
    arrived: MonoTime,
) -> OwnAnswer {
    let Some(id) =
        RequestHeaders::decode(&head.headers).attempt.filter(|id| is_valid_object_name(id))
    else {
        return answer(node, "-", "no_id", OwnAnswer::of(400), arrived);
    };
    if is_known_or_stored(node, id, arrived).await {
        return known(node, id, arrived);
    }
    if node.jobs().is_busy(id) {
        // Another submission of it is being stored here, with an unknown outcome so far.
        return answer(node, id, "store_unclear", OwnAnswer::of(504), arrived);
    }
    if is_stopping(node) {
        return refuse(node, id, JobRefusal::Stopping, arrived).await;
    }
    if !may_accept_soon(node, arrived).await {
        return refuse(node, id, JobRefusal::EntryUnconfirmed, arrived).await;
    }
    let Some(terms) = route.job_terms else {
        return answer(node, id, "not_a_batch_route", OwnAnswer::of(400), arrived);
    };
    if let Some(wait) = deadline_admission::refusal(node, route, terms.due) {
        return refuse(node, id, JobRefusal::NoTime { wait }, arrived).await;
    }
    let Ok(text) = items_text(body) else {
        return answer(node, id, "not_a_job", OwnAnswer::of(400), arrived);
    };
    let mut record = job_record(node, head, route, account, &terms, text);
    let spec = match record.decode_job(id, text) {
        Ok(spec) => Arc::new(spec),
        Err(_) => return answer(node, id, "not_a_job", OwnAnswer::of(400), arrived),
    };
    record.limit_tokens = spec.limit_tokens();
    if node.jobs().weight() + spec.approx_bytes() > JOB_BYTES {
        return answer(node, id, "jobs_full", OwnAnswer::refused(RETRY_AFTER_START), arrived);
    }
    if !node.jobs().begin(id) {
        return answer(node, id, "store_unclear", OwnAnswer::of(504), arrived);
    }
    if let Err(refusal) = admit(node, route, &spec).await {
        node.jobs().finish(id);
        return refuse(node, id, refusal, arrived).await;
    }
    let (outcome, answered) = match store_within_deadline(node, spec, record, text.to_owned()).await
    {
        Some(StoringOutcome::Owned) => ("accepted", OwnAnswer::of(202)),
        Some(StoringOutcome::Known) => return known(node, id, arrived),
        Some(StoringOutcome::NotStored) => ("store_unavailable", OwnAnswer::refused(RETRY_AFTER)),
        Some(StoringOutcome::Refused) => ("job_unstorable", OwnAnswer::of(413)),
        // Not a refusal: the job may be stored.
        None => ("store_unclear", OwnAnswer::of(504)),
    };
    answer(node, id, outcome, answered, arrived)
}

/// Whether this gateway may end before a job that it accepts now is stored and handed over.
fn is_stopping(node: &EntryNode) -> bool {
    let stop = &node.stop;
    stop.is_handing_over() || !stop.can_end(JOB_INTAKE_TIMEOUT, node.clock.mono())
}

/// Whether this gateway may accept jobs. It may not while the others may have evicted it: they would not know the job
/// and could refuse it to a client that submits it again. After a pause, waits for the read of the own entry.
async fn may_accept_soon(node: &EntryNode, arrived: MonoTime) -> bool {
    let Some(eviction) = node.eviction() else { return true };
    loop {
        if eviction.may_accept() {
            return true;
        }
        let is_over = node.clock.mono().since(arrived) >= OWN_ENTRY_TIMEOUT;
        if is_over || !eviction.needs_read() {
            return false;
        }
        task::sleep(KNOWN_POLL).await;
    }
}

/// Reserves deadline capacity and limit tokens for a job, if both suffice.
async fn admit(node: &EntryNode, route: &Route, spec: &Arc<JobSpec>) -> Result<(), JobRefusal> {
    deadline_admission::admit(node, route, spec).map_err(|wait| JobRefusal::NoTime { wait })?;
    let limit = WaitingLimit::of(route, &spec.account);
    match limits::reserve(node, &limit, &spec.id, spec.limit_tokens()).await {
        LimitOutcome::Reserved => Ok(()),
        LimitOutcome::Full { wait } => Err(JobRefusal::OverLimit { wait }),
        LimitOutcome::Unknown => Err(JobRefusal::LimitUnknown),
    }
}

/// Stores a job. Returns `None` if that takes longer than a client waits.
///
/// Storing continues after the client was answered: a job whose write got no answer may still
/// become stored, and then a gateway must run it.
async fn store_within_deadline(
    node: &Arc<EntryNode>,
    spec: Arc<JobSpec>,
    record: JobRecord,
    text: String,
) -> Option<StoringOutcome> {
    let shared = Arc::clone(node);
    let id = spec.id.clone();
    let mut storing = task::spawn(async move {
        let id = spec.id.clone();
        let outcome = store_job(Arc::clone(&shared), spec, record, text).await;
        shared.jobs().finish(&id);
        outcome
    });
    if let Ok(outcome) = timeout(JOB_STORING_NOTICE_DELAY, &mut storing).await {
        return Some(outcome);
    }
    // The client may submit the job again to a gateway that would refuse it.
    node.peers.broadcast(&PeerMessage::JobStoring(id));
    timeout(JOB_STORING_TIMEOUT - JOB_STORING_NOTICE_DELAY, storing).await.ok()
}

/// Refuses a job, unless another gateway accepted it before without this one having heard of it.
/// That job runs, so a refusal would be wrong.
async fn refuse(
    node: &Arc<EntryNode>,
    id: &str,
    refusal: JobRefusal,
    arrived: MonoTime,
) -> OwnAnswer {
    let (outcome, answered) = match (find_prior_submission(node, id).await, refusal) {
        (PriorJob::Accepted, _) => return known(node, id, arrived),
        (PriorJob::None, JobRefusal::NoTime { wait }) => ("no_time", OwnAnswer::refused(wait)),
        (PriorJob::None, JobRefusal::OverLimit { wait }) => {
            ("over_limit", OwnAnswer::over_limit(wait))
        }
        (PriorJob::None, JobRefusal::LimitUnknown) => {
            ("limit_unknown", OwnAnswer::refused(RETRY_AFTER))
        }
        (PriorJob::None, JobRefusal::EntryUnconfirmed) => {
            ("entry_unconfirmed", OwnAnswer::refused(RETRY_AFTER_START))
        }
        (PriorJob::None, JobRefusal::Stopping) => {
            ("stopping", OwnAnswer::refused(RETRY_AFTER_STOP))
        }
        // Not a refusal: the job may be running.
        (PriorJob::Unclear, _) => {
            ("unclear", OwnAnswer { status: 504, ..OwnAnswer::refused(RETRY_AFTER) })
        }
        (PriorJob::StoreUnavailable, _) => ("store_unavailable", OwnAnswer::refused(RETRY_AFTER)),
    };
    answer(node, id, outcome, answered, arrived)
}

/// Accepts a job that was accepted before. Its owner may have been lost before its write was done.
fn known(node: &Arc<EntryNode>, id: &str, arrived: MonoTime) -> OwnAnswer {
    adoption::ensure_owner(node, id);
    answer(node, id, "known", OwnAnswer::of(202), arrived)
}

/// Whether the job is known here. While another submission of it is being stored, waits for its
/// outcome, which holds for both.
async fn is_known_or_stored(node: &EntryNode, id: &str, arrived: MonoTime) -> bool {
    loop {
        {
            let registry = node.jobs();
            if registry.is_known(id) {
                return true;
            }
            let is_over = node.clock.mono().since(arrived) >= JOB_STORING_TIMEOUT;
            if !registry.is_busy(id) || is_over {
                return false;
            }
        }
        task::sleep(KNOWN_POLL).await;
    }
}

fn job_record(
    node: &EntryNode,
    head: &RequestHead,
    route: &Route,
    account: &str,
    terms: &JobTerms,
    text: &str,
) -> JobRecord {
    let record = JobRecord {
        route: route.name.clone(),
        account: account.to_owned(),
        limit_tokens: 0,
        owner: node.owner.clone(),
        accepted_at_ms: node.clock.wall().0,
        host: head.headers.get("Host").unwrap_or_default().to_owned(),
        path: head.target.clone(),
        due_ms: terms.due.as_millis() as u64,
        lifetime_ms: terms.item_lifetime.as_millis() as u64,
        max_attempts: terms.max_attempts,
        parts: 0,
        items: inline_items(text, 1),
    };
    let parts = part_count(text, &record, node.store.object_bytes());
    JobRecord { parts, items: inline_items(text, parts), ..record }
}

/// Stores a job, retrying until the outcome is certain.
async fn store_job(
    node: Arc<EntryNode>,
    spec: Arc<JobSpec>,
    record: JobRecord,
    text: String,
) -> StoringOutcome {
    let mut was_unclear = false;
    // The write itself makes this gateway the owner. Another one may have taken the job over by the
    // time the answer is read.
    let asked = node.jobs().table.ownership_generation();
    // Limits and capacity may have taken their time to decide.
    if node.eviction().is_some_and(|eviction| !eviction.may_accept()) {
        return StoringOutcome::NotStored;
    }
    loop {
        match create_job(&node.store, &spec.id, &record, &text).await {
            Ok(true) => {
                own_job(&node, spec, asked);
                return StoringOutcome::Owned;
            }
            Ok(false) if was_unclear => {
                // Probably this gateway's own write whose answer was lost; the stored record shows
                // it.
                return resolve_unclear_write(&node, spec, &record).await;
            }
            Ok(false) => return StoringOutcome::Known,
            Err(StoreFailure::Refused) => return StoringOutcome::Refused,
            Err(StoreFailure::NotDone) if !was_unclear => return StoringOutcome::NotStored,
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => {
                was_unclear = true;
                task::sleep(jittered(STORE_PAUSE)).await;
                // The others count only on writes that were begun while this gateway was registered.
                while node.eviction().is_some_and(|eviction| !eviction.may_accept()) {
                    task::sleep(jittered(STORE_PAUSE)).await;
                }
            }
        }
    }
}

/// Resolves a job that is stored after a write whose answer was lost. This gateway owns it if the
/// stored record names it.
async fn resolve_unclear_write(
    node: &Arc<EntryNode>,
    spec: Arc<JobSpec>,
    record: &JobRecord,
) -> StoringOutcome {
    let asked = node.jobs().table.ownership_generation();
    let stored =
        until_answered(|| true, || read_job(&node.store, &spec.id, StoreCallCause::JobStored))
            .await
            .flatten();
    if stored.is_none_or(|stored| stored.owner() != record.owner) {
        return StoringOutcome::Known;
    }
    // It may have been accepted and ended elsewhere while the answer was lost.
    let is_ended =
        until_answered(|| true, || read_end(&node.store, &spec.id, StoreCallCause::JobStored))
            .await;
    if is_ended == Some(false) {
        own_job(node, spec, asked);
    }
    StoringOutcome::Owned
}

/// Starts to run a job that the store shows as owned by this gateway. `asked` is the ownership
/// generation at the time of the store call.
fn own_job(node: &Arc<EntryNode>, spec: Arc<JobSpec>, asked: OwnershipGeneration) {
    let id = spec.id.clone();
    let items = spec.items.len();
    let mut owned = OwnedJob::new(spec, Vec::new(), node.clock.now());
    owned.confirm(asked);
    // A cached copy says nothing about the owner. Another gateway's claim may be older or newer
    // than the store's answer, so the store is asked again.
    let is_claimed = {
        let mut registry = node.jobs();
        let is_claimed = registry.owner(&id).is_some();
        if !registry.own_job(owned) {
            return;
        }
        is_claimed
    };
    if is_claimed {
        ownership::invalidate(node, &id, "claimed");
    }
    node.peers.broadcast(&PeerMessage::JobsOwned(vec![id.clone()]));
    node.runner_wake.notify(usize::MAX);
    node.log.info("job_owned", &[("job", &id), ("items", &items), ("cause", &"accepted")]);
}

fn answer(
    node: &EntryNode,
    id: &str,
    outcome: &'static str,
    answer: OwnAnswer,
    arrived: MonoTime,
) -> OwnAnswer {
    let took = node.clock.mono().since(arrived);
    node.metrics.observe(Timing::LedgerCommit, took);
    node.metrics.count(Counter::Event(outcome));
    node.log.info(
        "job_submission",
        &[
            ("job", &id),
            ("outcome", &outcome),
            ("status", &answer.status),
            ("ms", &took.as_millis()),
        ],
    );
    answer
}

/// Whether an id is valid as part of an object name in the store.
fn is_valid_object_name(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=128).contains(&id.len()) && id.bytes().all(plain)
}
