//! Takes jobs in.

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
        deadline_admission,
        limits::{self, LimitOutcome},
        ownership,
        prior_submission::{PriorJob, find_prior_submission},
        records::{create_job, inline_items, part_count, read_end, read_job},
    },
    constants::{
        INTAKE_TIMEOUT, JOB_BYTES, JOB_STORING_NOTICE_DELAY, RETRY_AFTER, RETRY_AFTER_START,
        STORE_PAUSE,
    },
    front::answer::OwnAnswer,
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        reply::StoreFailure,
        retry::{jittered, until_answered},
    },
};

/// How often it's looked whether another sending of a job is stored.
const TAKEN_TICK: Duration = Duration::from_millis(20);

/// What storing a job came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IntakeOutcome {
    /// It is stored and ours.
    Ours,
    /// It was stored before.
    Known,
    /// It surely isn't stored, and won't be.
    NotStored,
}

/// Why a job isn't taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobRefusal {
    /// It can't be done before it is due; it may be if it comes after `wait`.
    NoTime {
        /// When to come back.
        wait: Duration,
    },
    /// It doesn't fit under its route's limit.
    OverLimit {
        /// When to come back.
        wait: Duration,
    },
    /// The store doesn't say whether it fits.
    LimitUnknown,
}

/// Takes a job in: the client is told that it's accepted only once it is stored.
pub async fn accept_job(
    node: &Arc<EntryNode>,
    head: &RequestHead,
    body: &[u8],
    route: &Route,
    account: &str,
    arrived: MonoTime,
) -> OwnAnswer {
    let Some(id) = RequestHeaders::decode(&head.headers).attempt.filter(|id| is_name(id)) else {
        return answer(node, "-", "no_id", OwnAnswer::of(400), arrived);
    };
    if is_taken(node, id, arrived).await {
        return answer(node, id, "known", OwnAnswer::of(202), arrived);
    }
    if node.jobs().is_busy(id) {
        // Another sending of it is being stored here: nobody can say yet that it isn't.
        return answer(node, id, "store_unclear", OwnAnswer::of(504), arrived);
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
    let (outcome, answered) = match store_patiently(node, spec, record, text.to_owned()).await {
        Some(IntakeOutcome::Ours) => ("accepted", OwnAnswer::of(202)),
        Some(IntakeOutcome::Known) => ("known", OwnAnswer::of(202)),
        Some(IntakeOutcome::NotStored) => ("store_unavailable", OwnAnswer::refused(RETRY_AFTER)),
        // Not a refusal: nobody can say that it isn't stored.
        None => ("store_unclear", OwnAnswer::of(504)),
    };
    answer(node, id, outcome, answered, arrived)
}

/// Counts a job that is being taken in, if there is time for it and it fits under its route's limit.
async fn admit(node: &EntryNode, route: &Route, spec: &Arc<JobSpec>) -> Result<(), JobRefusal> {
    deadline_admission::admit(node, route, spec).map_err(|wait| JobRefusal::NoTime { wait })?;
    let limit = WaitingLimit::of(route, &spec.account);
    match limits::reserve(node, &limit, &spec.id, spec.limit_tokens()).await {
        LimitOutcome::Reserved => Ok(()),
        LimitOutcome::Full { wait } => Err(JobRefusal::OverLimit { wait }),
        LimitOutcome::Unknown => Err(JobRefusal::LimitUnknown),
    }
}

/// Stores a job; `None` when that takes longer than a client waits.
///
/// The storing outlives the client's patience: a job whose write got no answer may come to be stored,
/// and then somebody must run it.
async fn store_patiently(
    node: &Arc<EntryNode>,
    spec: Arc<JobSpec>,
    record: JobRecord,
    text: String,
) -> Option<IntakeOutcome> {
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
    // Its client may send it again to a gateway that would refuse it.
    node.peers.broadcast(&PeerMessage::JobStoring(id));
    timeout(INTAKE_TIMEOUT - JOB_STORING_NOTICE_DELAY, storing).await.ok()
}

/// Refuses a job, unless another gateway took it in before without our hearing of it: it runs then, and a
/// refusal would say that it doesn't.
async fn refuse(node: &EntryNode, id: &str, refusal: JobRefusal, arrived: MonoTime) -> OwnAnswer {
    let (outcome, answered) = match (find_prior_submission(node, id).await, refusal) {
        (PriorJob::Accepted, _) => ("known", OwnAnswer::of(202)),
        (PriorJob::None, JobRefusal::NoTime { wait }) => ("no_time", OwnAnswer::refused(wait)),
        (PriorJob::None, JobRefusal::OverLimit { wait }) => {
            ("over_limit", OwnAnswer::over_limit(wait))
        }
        (PriorJob::None, JobRefusal::LimitUnknown) => {
            ("limit_unknown", OwnAnswer::refused(RETRY_AFTER))
        }
        // Not a refusal: nobody can say that it doesn't run.
        (PriorJob::Unclear, _) => {
            ("unclear", OwnAnswer { status: 504, ..OwnAnswer::refused(RETRY_AFTER) })
        }
        (PriorJob::StoreUnavailable, _) => ("store_unavailable", OwnAnswer::refused(RETRY_AFTER)),
    };
    answer(node, id, outcome, answered, arrived)
}

/// Whether the job is here already. While another sending of it is being stored, that one's outcome
/// is waited for: it tells for both.
async fn is_taken(node: &EntryNode, id: &str, arrived: MonoTime) -> bool {
    loop {
        {
            let registry = node.jobs();
            if registry.is_known(id) {
                return true;
            }
            let is_over = node.clock.mono().since(arrived) >= INTAKE_TIMEOUT;
            if !registry.is_busy(id) || is_over {
                return false;
            }
        }
        task::sleep(TAKEN_TICK).await;
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
    let parts = part_count(text);
    JobRecord {
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
        parts,
        items: inline_items(text, parts),
    }
}

/// Stores a job, for as long as its fate isn't clear.
async fn store_job(
    node: Arc<EntryNode>,
    spec: Arc<JobSpec>,
    record: JobRecord,
    text: String,
) -> IntakeOutcome {
    let mut was_unclear = false;
    // The write itself makes it ours; it may be another gateway's by the time the answer is read.
    let asked = node.jobs().table.ownership_generation();
    loop {
        match create_job(&node.store, &spec.id, &record, &text).await {
            Ok(true) => {
                own_job(&node, spec, asked);
                return IntakeOutcome::Ours;
            }
            Ok(false) if was_unclear => {
                // Likely our own write whose answer was lost; the record tells.
                return settle(&node, spec, &record).await;
            }
            Ok(false) => return IntakeOutcome::Known,
            Err(StoreFailure::NotDone) if !was_unclear => return IntakeOutcome::NotStored,
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => {
                was_unclear = true;
                task::sleep(jittered(STORE_PAUSE)).await;
            }
        }
    }
}

/// The job is stored, after a write whose answer was lost: it's ours if our record stands there.
async fn settle(node: &Arc<EntryNode>, spec: Arc<JobSpec>, record: &JobRecord) -> IntakeOutcome {
    let asked = node.jobs().table.ownership_generation();
    let stored =
        until_answered(|| true, || read_job(&node.store, &spec.id, StoreCallCause::JobStored))
            .await
            .flatten();
    if stored.is_none_or(|stored| stored.owner() != record.owner) {
        return IntakeOutcome::Known;
    }
    // It may have been accepted and ended elsewhere while our answer was lost.
    let is_ended =
        until_answered(|| true, || read_end(&node.store, &spec.id, StoreCallCause::JobStored))
            .await;
    if is_ended == Some(false) {
        own_job(node, spec, asked);
    }
    IntakeOutcome::Ours
}

/// Begins to run a job that is stored as ours, by an answer asked for under `asked`.
fn own_job(node: &Arc<EntryNode>, spec: Arc<JobSpec>, asked: OwnershipGeneration) {
    let id = spec.id.clone();
    let items = spec.items.len();
    let mut owned = OwnedJob::new(spec, Vec::new(), node.clock.now());
    owned.confirm(asked);
    // A copy for readers says nothing of the owner; another gateway's claim may be older than our answer, or
    // newer: then the store is asked.
    let is_claimed = {
        let mut registry = node.jobs();
        let is_claimed = registry.owner(&id).is_some();
        if !registry.own_job(owned) {
            return;
        }
        is_claimed
    };
    if is_claimed {
        ownership::doubt(node, &id, "claimed");
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

/// Whether an id can name objects of the store.
fn is_name(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=128).contains(&id.len()) && id.bytes().all(plain)
}
