//! Reads of job results at any gateway.

use std::{sync::Arc, time::Duration};

use async_std::future::timeout;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::job::encode_results;
use notch_relay::prelude::*;
use notch_telemetry::prelude::Timing;
use notch_types::prelude::*;

use crate::{
    batch::{
        adoption::note_stored_owner,
        job_cache::CachedJob,
        ownership,
        read_latency::{ReadKind, ReadSource},
        records::{read_job, read_spec},
        result_objects::read_results as stored_results,
    },
    constants::{
        MAX_PEER_MESSAGE_BYTES, MEMORY_WAIT, OBJECT_BYTES, PEER_CALL_GRACE, PEER_READ_WAIT,
        RESULT_PAGE_BYTES, RETRY_AFTER, UNOWNED_JOB_READ_INTERVAL,
    },
    front::answer::OwnAnswer,
    memory::HeldBytes,
    node::EntryNode,
    peers::{calls::CallEnd, table::OwnerLiveness},
    store::{call_cause::StoreCallCause, reply::StoreFailure},
};

/// Maximum bytes of results in an answer to another gateway, well below a link's largest message.
const MAX_PEER_RESULT_BYTES: usize = 1 << 20;

/// Whether results fit into an answer to another gateway, of which one result may be larger than the others.
fn fits_message(lines: &[Arc<ResultLine>]) -> bool {
    lines.iter().map(|line| line.json_bytes()).sum::<usize>() <= MAX_PEER_MESSAGE_BYTES
}

/// Results of a job from some position on, as known here.
struct KnownResults {
    /// Number of items of the job; 0 if the job is unknown.
    total: usize,
    lines: Vec<Arc<ResultLine>>,
    /// Whether nothing follows them so far.
    is_sure: bool,
    /// Whether they end at the end of a store object.
    ends_object: bool,
}

impl KnownResults {
    /// The job is unknown, or may not be shown.
    fn unknown() -> Self {
        Self { total: 0, lines: Vec::new(), is_sure: false, ends_object: false }
    }
}

/// What this gateway knows about a job's results.
enum ReadState {
    /// There are results after the requested position, or the list is complete.
    Known(KnownResults),
    /// This gateway owns the job and knows nothing new.
    NothingNew { total: usize, held: usize },
    /// Another gateway or the store has to be asked.
    Ask(CachedJob),
}

/// An answer to a read, and where it came from.
pub(super) struct ReadAnswer {
    pub(super) answer: OwnAnswer,
    pub(super) source: ReadSource,
}

impl ReadAnswer {
    /// The answer for a job that does not exist.
    pub(super) fn no_such_job() -> Self {
        Self { answer: OwnAnswer::of(404), source: ReadSource::Nobody }
    }
}

/// Answers a read of the results from `after` on. With a `wait` it is held until there is one.
pub async fn read_results(
    node: &Arc<EntryNode>,
    job: &str,
    account: &str,
    after: usize,
    wait: Duration,
) -> OwnAnswer {
    let began = node.clock.mono();
    let read = locate_results(node, job, account, after, wait).await;
    let kind = if wait.is_zero() { ReadKind::Results } else { ReadKind::HeldResults };
    note_read(node, kind, read, began)
}

/// Records how long a read took, and returns its answer.
pub(super) fn note_read(
    node: &EntryNode,
    kind: ReadKind,
    read: ReadAnswer,
    began: MonoTime,
) -> OwnAnswer {
    let took = node.clock.mono().since(began);
    node.reads.note(kind, read.source, took);
    if kind != ReadKind::HeldResults {
        node.metrics.observe(Timing::JobRead, took);
    }
    read.answer
}

async fn locate_results(
    node: &Arc<EntryNode>,
    job: &str,
    account: &str,
    after: usize,
    wait: Duration,
) -> ReadAnswer {
    if belongs_to_other_account(node, job, account) {
        return ReadAnswer::no_such_job();
    }
    let until = node.clock.mono() + wait;
    // While ownership is unconfirmed, the store is asked who owns the job. Its answer serves all
    // readers until the next invalidation.
    let mut was_checked = false;
    loop {
        let listener = node.job_updates.listen();
        let left = until.since(node.clock.mono());
        match read_state(node, job, after) {
            ReadState::Known(known) => {
                let is_owned = node.jobs().is_owned(job);
                let source = if is_owned { ReadSource::Owner } else { ReadSource::Copy };
                return match results_answer(node, known.total, after, &known.lines) {
                    Some(answer) => ReadAnswer { answer, source },
                    None => unsure(node, job, "no_memory"),
                };
            }
            ReadState::NothingNew { total, held } => {
                if !left.is_zero() {
                    // Either an event or the timeout leads to another pass.
                    let _ = timeout(left, listener).await;
                    continue;
                }
                if ownership::is_sure(node, job) {
                    return answer_from(node, job, total, after, &[], ReadSource::Owner);
                }
                if !was_checked && ownership::can_confirm(node, job) {
                    was_checked = true;
                    // If the store does not answer, ownership stays unconfirmed.
                    let _ = ownership::check(node, job).await;
                    // The list may have grown meanwhile, and another gateway may own the job.
                    continue;
                }
                // A gateway that is out of reach may have taken the job over and stored more
                // results, or a write by this gateway may have taken effect without an answer.
                let Some(_held) = hold_store_read(node).await else {
                    return unsure(node, job, "no_memory");
                };
                return match stored_results(&node.store, job, held, StoreCallCause::ResultsRead)
                    .await
                {
                    Ok(list) => {
                        let new = list.lines.get(after.saturating_sub(held)..).unwrap_or_default();
                        answer_from(node, job, total, after, new, ReadSource::Store)
                    }
                    Err(_) => unsure(node, job, "store_unavailable"),
                };
            }
            ReadState::Ask(copy) if !left.is_zero() && should_wait_for_owner(node, job, &copy) => {
                let _ = timeout(left, listener).await;
            }
            ReadState::Ask(copy) => return ask(node, job, account, after, left, copy).await,
        }
    }
}

/// Whether a held read should wait for the job's next owner instead of asking the store: no live
/// owner is known, and the store was asked a moment ago.
///
/// Without this, after all gateways were killed, each reader would ask the store twice a second
/// until the jobs are taken over.
fn should_wait_for_owner(node: &EntryNode, job: &str, copy: &CachedJob) -> bool {
    let now = node.clock.mono();
    let is_recent = copy.asked_at.is_some_and(|asked| now.since(asked) < UNOWNED_JOB_READ_INTERVAL);
    if !is_recent {
        return false;
    }
    let reported = node.jobs().owner(job).map(str::to_owned);
    let owner = reported.or_else(|| copy.owner.clone());
    owner.is_none_or(|owner| node.liveness(&owner, now) != OwnerLiveness::Alive)
}

/// Whether the job is known to belong to another account.
fn belongs_to_other_account(node: &EntryNode, job: &str, account: &str) -> bool {
    node.jobs().account(job).is_some_and(|owner| !may_access(owner, account))
}

fn read_state(node: &EntryNode, job: &str, after: usize) -> ReadState {
    let registry = node.jobs();
    if let Some(owned) = registry.table.get(job) {
        let total = owned.spec().items.len();
        let lines = owned.results().get(after..).unwrap_or_default();
        if lines.is_empty() && !owned.is_closed() {
            return ReadState::NothingNew { total, held: owned.results().len() };
        }
        let lines = lines.to_vec();
        let is_sure = owned.results().len() >= total;
        return ReadState::Known(KnownResults { total, lines, is_sure, ends_object: true });
    }
    let copy = registry.cache.get(job).cloned().unwrap_or_default();
    match copy.total {
        Some(total) if after < copy.lines.len() || copy.is_whole() => {
            let lines = copy.lines.get(after..).unwrap_or_default().to_vec();
            let ends_object = copy.chunk_end >= copy.lines.len();
            ReadState::Known(KnownResults { total, lines, is_sure: copy.is_whole(), ends_object })
        }
        _ => ReadState::Ask(copy),
    }
}

/// Asks the job's owner, or the store if there is no owner to ask.
///
/// The answer is appended to the copy taken before the call, not to the cached one: that one may
/// have been evicted meanwhile, and appending to an empty list would leave a gap.
async fn ask(
    node: &Arc<EntryNode>,
    job: &str,
    account: &str,
    after: usize,
    left: Duration,
    mut copy: CachedJob,
) -> ReadAnswer {
    let reported = node.jobs().owner(job).map(str::to_owned);
    let mut is_sure = false;
    if let Some(owner) = reported.or_else(|| copy.owner.clone()) {
        is_sure =
            ask_owner(node, &owner, (job, account), &mut copy, left.min(PEER_READ_WAIT)).await;
    }
    let has_new_lines = copy.total.is_some() && copy.lines.len() > after;
    if !is_sure && !has_new_lines {
        let Some(_held) = hold_store_read(node).await else {
            return unsure(node, job, "no_memory");
        };
        match ask_store(node, job, &mut copy).await {
            Ok(true) => {}
            Ok(false) => return ReadAnswer::no_such_job(),
            Err(_) => return unsure(node, job, "store_unavailable"),
        }
    }
    if copy.belongs_to_other_account(account) {
        return ReadAnswer::no_such_job();
    }
    let Some(total) = copy.total else { return unsure(node, job, "no_total") };
    let lines = copy.lines.get(after..).unwrap_or_default();
    let source = if is_sure || has_new_lines { ReadSource::Peer } else { ReadSource::Store };
    let answer = answer_from(node, job, total, after, lines, source);
    node.jobs().cache.keep(job, copy);
    answer
}

/// Updates the copy of a job from the store. Returns false if there is no such job.
async fn ask_store(
    node: &EntryNode,
    job: &str,
    copy: &mut CachedJob,
) -> Result<bool, StoreFailure> {
    if copy.total.is_none() && !load_job(node, job, copy).await? {
        return Ok(false);
    }
    copy.asked_at = Some(node.clock.mono());
    let position = copy.chunk_end;
    let list = stored_results(&node.store, job, position, StoreCallCause::ResultsRead).await?;
    copy.extend(position, &list.lines, true);
    Ok(true)
}

/// Reads a job's owner and items from the store. Returns false if there is no such job.
pub(super) async fn load_job(
    node: &EntryNode,
    job: &str,
    copy: &mut CachedJob,
) -> Result<bool, StoreFailure> {
    let Some(stored) = read_job(&node.store, job, StoreCallCause::ResultsRead).await? else {
        return Ok(false);
    };
    note_stored_owner(node, &stored);
    let spec = Arc::new(read_spec(&node.store, &stored, StoreCallCause::ResultsRead).await?);
    copy.total = Some(spec.items.len());
    copy.account = Some(spec.account.clone());
    copy.owner = Some(stored.owner().to_owned());
    copy.spec = Some(spec);
    Ok(true)
}

/// Updates the copy of a job from its owner. Returns whether the owner is certain that nothing
/// follows. An owner that has lost the job since may lack the results that were stored last.
async fn ask_owner(
    node: &EntryNode,
    owner: &str,
    (job, account): (&str, &str),
    copy: &mut CachedJob,
    wait: Duration,
) -> bool {
    let held = copy.lines.len();
    let (after, wait_ms) = (held as u64, wait.as_millis() as u64);
    let send = |call| {
        let (job, account) = (job.to_owned(), account.to_owned());
        let message = PeerMessage::JobAsk { call, job, account, after, wait_ms };
        node.peers.send_to_owner(owner, message)
    };
    let reply = match node.peers.job_calls.ask(send, wait + PEER_CALL_GRACE).await {
        CallEnd::Answered(reply) if reply.total > 0 => reply,
        CallEnd::Answered(_) | CallEnd::NotSent | CallEnd::Unanswered => return false,
    };
    let lines: Vec<Arc<ResultLine>> = reply.lines.into_iter().map(Arc::new).collect();
    copy.extend(held, &lines, reply.is_all);
    copy.total = Some(reply.total);
    copy.account = Some(reply.account);
    reply.is_sure
}

/// A read that another gateway makes for a client.
#[derive(Debug)]
pub struct PeerRead {
    /// Id of the job.
    pub job: String,
    /// The client account.
    pub account: String,
    /// Number of results that the other gateway holds already.
    pub after: u64,
    /// How long the answer may be held until there is a result, in milliseconds.
    pub wait_ms: u64,
}

/// Answers another gateway's read of a job.
pub async fn answer_peer(node: &Arc<EntryNode>, peer: &VmName, call: u64, read: &PeerRead) {
    let _active = node.stop.enter();
    let job = read.job.as_str();
    let after = usize::try_from(read.after).unwrap_or(usize::MAX);
    let now = node.clock.mono();
    let wait = Duration::from_millis(read.wait_ms);
    let until = now + node.stop.time_left(now).map_or(wait, |left| wait.min(left));
    if ownership::can_confirm(node, job) {
        ownership::check_soon(node, job);
    }
    let known = loop {
        let listener = node.job_updates.listen();
        let left = until.since(node.clock.mono());
        // An owner whose ownership is unconfirmed sends what it has without claiming that it is
        // complete. The other gateway can ask the store.
        let is_sure = ownership::is_sure(node, job);
        match read_state(node, job, after) {
            ReadState::Known(known) => {
                break KnownResults { is_sure: is_sure || known.is_sure, ..known };
            }
            ReadState::NothingNew { total, held } if after > held => {
                // Readers were shown more results than are known here, so another gateway extends
                // the list.
                ownership::invalidate(node, job, "asked_beyond");
                break KnownResults { total, lines: Vec::new(), is_sure: false, ends_object: true };
            }
            ReadState::NothingNew { total, .. } if left.is_zero() => {
                break KnownResults { total, lines: Vec::new(), is_sure, ends_object: true };
            }
            ReadState::NothingNew { .. } => {
                let _ = timeout(left, listener).await;
            }
            ReadState::Ask(_) => break KnownResults::unknown(),
        }
    };
    let account = node.jobs().account(job).unwrap_or_default().to_owned();
    let known = if may_access(&account, &read.account) { known } else { KnownResults::unknown() };
    let sent = ResultLine::fitting(&known.lines, MAX_PEER_RESULT_BYTES);
    // A result that is too large for a message has to be read from the store.
    let sent = if fits_message(sent) { sent } else { &[] };
    let is_cut = sent.len() < known.lines.len();
    let is_all = known.ends_object && !is_cut;
    let lines = sent.iter().map(|line| ResultLine::clone(line)).collect();
    // The results that did not fit follow those that are sent.
    let is_sure = known.is_sure && !is_cut;
    let total = known.total as u64;
    node.peers.send(peer, PeerMessage::JobNews { call, account, is_sure, total, lines, is_all });
}

/// A page of results, shorter where memory is short; `None` if not even one result fits into the memory budget.
fn results_answer(
    node: &EntryNode,
    total: usize,
    after: usize,
    lines: &[Arc<ResultLine>],
) -> Option<OwnAnswer> {
    let available = node.memory.available(MemoryUse::JobPage);
    let page = ResultLine::fitting(lines, RESULT_PAGE_BYTES.min(available));
    held_answer(node, encode_results(total, after, page))
}

/// A 200 with `body`, whose memory is held until it is written; `None` if the memory budget doesn't suffice.
pub(super) fn held_answer(node: &EntryNode, body: Vec<u8>) -> Option<OwnAnswer> {
    let mut held = node.memory.hold(MemoryUse::JobPage);
    let is_held = held.grow(body.len());
    is_held.then(|| OwnAnswer { status: 200, body, held: Some(held), ..OwnAnswer::default() })
}

/// Holds the memory that reading an object of the store takes: its text and what is decoded from it.
pub(super) async fn hold_store_read(node: &EntryNode) -> Option<HeldBytes> {
    node.memory.hold_within(MemoryUse::JobPage, 2 * OBJECT_BYTES, MEMORY_WAIT).await
}

/// Answers with the results from a position on. An empty answer is logged with its source.
fn answer_from(
    node: &EntryNode,
    job: &str,
    total: usize,
    after: usize,
    lines: &[Arc<ResultLine>],
    source: ReadSource,
) -> ReadAnswer {
    if lines.is_empty() {
        let code = source.code();
        node.log.info("job_read_empty", &[("job", &job), ("after", &after), ("source", &code)]);
        node.metrics.count(Counter::Event("job_reads_empty"));
    }
    match results_answer(node, total, after, lines) {
        Some(answer) => ReadAnswer { answer, source },
        None => unsure(node, job, "no_memory"),
    }
}

/// The answer if the results cannot be determined now: a refusal with a time to retry, not an empty
/// list.
pub(super) fn unsure(node: &EntryNode, job: &str, reason: &'static str) -> ReadAnswer {
    node.log.warn("job_read_unsure", &[("job", &job), ("reason", &reason)]);
    node.metrics.count(Counter::Event("job_reads_unsure"));
    ReadAnswer { answer: OwnAnswer::refused(RETRY_AFTER), source: ReadSource::Nobody }
}
