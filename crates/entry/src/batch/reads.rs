//! Reads of jobs: results and bodies, at any gateway.

use std::{sync::Arc, time::Duration};

use async_std::future::timeout;
use notch_messages::prelude::PeerMessage;
use notch_platform_wire::job::encode_results;
use notch_relay::prelude::*;
use notch_telemetry::prelude::Timing;
use notch_types::prelude::*;

use crate::{
    batch::{
        job_cache::CachedJob,
        ownership,
        read_latency::{ReadKind, ReadSource},
        records::{read_job, read_results as stored_results, read_spec},
    },
    constants::{
        PEER_CALL_GRACE, PEER_READ_WAIT, RESULT_PAGE_BYTES, RETRY_AFTER, UNOWNED_JOB_READ_INTERVAL,
    },
    front::answer::OwnAnswer,
    node::EntryNode,
    peers::{calls::CallEnd, table::OwnerLiveness},
    store::{call_cause::StoreCallCause, reply::StoreFailure},
};

/// Bytes of results in an answer to another gateway, at most: well under a link's largest message.
const NEWS_BYTES: usize = 1 << 20;

/// Results of a job from a position on, as this gateway knows them.
struct KnownLines {
    /// Items of the job; 0 when nothing is known of it.
    total: usize,
    lines: Vec<Arc<ResultLine>>,
    /// Whether nothing follows them.
    is_sure: bool,
    /// Whether they end where an object of the store ends.
    ends_object: bool,
}

impl KnownLines {
    /// Nothing is known of the job, or may be told.
    fn nothing() -> Self {
        Self { total: 0, lines: Vec::new(), is_sure: false, ends_object: false }
    }
}

/// What this gateway can say of a job's results.
enum ReadState {
    /// There are results from the position asked for on, or the list has ended.
    Known(KnownLines),
    /// Nothing new, as far as the job's owner, who is this gateway, knows.
    OwnedNothing { total: usize, held: usize },
    /// Another gateway or the store has to be asked.
    Ask(CachedJob),
}

/// An answer to a read, and by whose word it is one.
pub(super) struct ReadAnswer {
    pub(super) answer: OwnAnswer,
    pub(super) source: ReadSource,
}

impl ReadAnswer {
    /// There is no such job.
    pub(super) fn no_such() -> Self {
        Self { answer: OwnAnswer::of(404), source: ReadSource::Nobody }
    }
}

/// Answers a read of results from `after` on, which may wait for one.
pub async fn read_results(
    node: &Arc<EntryNode>,
    job: &str,
    account: &str,
    after: usize,
    wait: Duration,
) -> OwnAnswer {
    let began = node.clock.mono();
    let read = find_results(node, job, account, after, wait).await;
    let kind = if wait.is_zero() { ReadKind::Results } else { ReadKind::HeldResults };
    note_read(node, kind, read, began)
}

/// Notes how long a read took; gives its answer.
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

async fn find_results(
    node: &Arc<EntryNode>,
    job: &str,
    account: &str,
    after: usize,
    wait: Duration,
) -> ReadAnswer {
    if is_of_another(node, job, account) {
        return ReadAnswer::no_such();
    }
    let until = node.clock.mono() + wait;
    // In doubt the store is asked who owns the job; its answer serves all readers until the next doubt.
    let mut was_checked = false;
    loop {
        let listener = node.job_updates.listen();
        let left = until.since(node.clock.mono());
        match read_state(node, job, after) {
            ReadState::Known(known) => {
                let answer = results_answer(known.total, after, &known.lines);
                let is_owned = node.jobs().is_owned(job);
                let source = if is_owned { ReadSource::Owner } else { ReadSource::Copy };
                return ReadAnswer { answer, source };
            }
            ReadState::OwnedNothing { total, held } => {
                if !left.is_zero() {
                    // News or the end of the wait: both lead to another look.
                    let _ = timeout(left, listener).await;
                    continue;
                }
                if ownership::is_sure(node, job) {
                    return told_answer(node, job, total, after, &[], ReadSource::Owner);
                }
                if !was_checked && ownership::can_confirm(node, job) {
                    was_checked = true;
                    // A store that doesn't answer leaves the doubt.
                    let _ = ownership::check(node, job).await;
                    // The list may have grown meanwhile, and the job may be another gateway's.
                    continue;
                }
                // A gateway out of touch may have taken the job over and listed more, or a write of
                // our own may have been done that was not answered.
                return match stored_results(&node.store, job, held, StoreCallCause::ResultsRead)
                    .await
                {
                    Ok(list) => {
                        let new = list.lines.get(after.saturating_sub(held)..).unwrap_or_default();
                        told_answer(node, job, total, after, new, ReadSource::Store)
                    }
                    Err(_) => unsure(node, job, "store_unavailable"),
                };
            }
            ReadState::Ask(copy) if !left.is_zero() && waits_for_owner(node, job, &copy) => {
                let _ = timeout(left, listener).await;
            }
            ReadState::Ask(copy) => return ask(node, job, account, after, left, copy).await,
        }
    }
}

/// Whether nobody can be asked who extends the job's list, and the store was asked a moment ago: a read that may
/// be held waits for the next owner to tell.
///
/// Load pattern: all gateways were killed; until their jobs are taken over, each reader would ask the store
/// twice a second.
fn waits_for_owner(node: &EntryNode, job: &str, copy: &CachedJob) -> bool {
    let now = node.clock.mono();
    let is_recent = copy.asked_at.is_some_and(|asked| now.since(asked) < UNOWNED_JOB_READ_INTERVAL);
    if !is_recent {
        return false;
    }
    let told = node.jobs().owner(job).map(str::to_owned);
    let owner = told.or_else(|| copy.owner.clone());
    owner.is_none_or(|owner| node.liveness(&owner, now) != OwnerLiveness::Alive)
}

/// Whether the job is known to be of another account.
fn is_of_another(node: &EntryNode, job: &str, account: &str) -> bool {
    node.jobs().account(job).is_some_and(|owner| !may_access(owner, account))
}

fn read_state(node: &EntryNode, job: &str, after: usize) -> ReadState {
    let registry = node.jobs();
    if let Some(owned) = registry.table.get(job) {
        let total = owned.spec().items.len();
        let lines = owned.results().get(after..).unwrap_or_default();
        if lines.is_empty() && !owned.is_closed() {
            return ReadState::OwnedNothing { total, held: owned.results().len() };
        }
        let lines = lines.to_vec();
        let is_sure = owned.results().len() >= total;
        return ReadState::Known(KnownLines { total, lines, is_sure, ends_object: true });
    }
    let copy = registry.cache.get(job).cloned().unwrap_or_default();
    match copy.total {
        Some(total) if after < copy.lines.len() || copy.is_whole() => {
            let lines = copy.lines.get(after..).unwrap_or_default().to_vec();
            let ends_object = copy.chunk_end >= copy.lines.len();
            ReadState::Known(KnownLines { total, lines, is_sure: copy.is_whole(), ends_object })
        }
        _ => ReadState::Ask(copy),
    }
}

/// Asks the job's owner, and the store when there is none to ask.
///
/// What comes is joined to the copy taken before, not to the one held now: that may have been
/// dropped for want of memory meanwhile, and lines joined to nothing would leave a gap.
async fn ask(
    node: &Arc<EntryNode>,
    job: &str,
    account: &str,
    after: usize,
    left: Duration,
    mut copy: CachedJob,
) -> ReadAnswer {
    let told = node.jobs().owner(job).map(str::to_owned);
    let mut is_sure = false;
    if let Some(owner) = told.or_else(|| copy.owner.clone()) {
        is_sure =
            ask_owner(node, &owner, (job, account), &mut copy, left.min(PEER_READ_WAIT)).await;
    }
    let has_news = copy.total.is_some() && copy.lines.len() > after;
    if !is_sure && !has_news {
        match ask_store(node, job, &mut copy).await {
            Ok(true) => {}
            Ok(false) => return ReadAnswer::no_such(),
            Err(_) => return unsure(node, job, "store_unavailable"),
        }
    }
    if copy.is_of_another(account) {
        return ReadAnswer::no_such();
    }
    let Some(total) = copy.total else { return unsure(node, job, "no_total") };
    let lines = copy.lines.get(after..).unwrap_or_default();
    let source = if is_sure || has_news { ReadSource::Told } else { ReadSource::Store };
    let answer = told_answer(node, job, total, after, lines, source);
    node.jobs().cache.keep(job, copy);
    answer
}

/// Brings the copy of a job up to what the store holds; false when there is no such job.
async fn ask_store(
    node: &EntryNode,
    job: &str,
    copy: &mut CachedJob,
) -> Result<bool, StoreFailure> {
    if copy.total.is_none() && !learn_job(node, job, copy).await? {
        return Ok(false);
    }
    copy.asked_at = Some(node.clock.mono());
    let position = copy.chunk_end;
    let list = stored_results(&node.store, job, position, StoreCallCause::ResultsRead).await?;
    copy.extend(position, &list.lines, true);
    Ok(true)
}

/// Reads a job from the store: its owner and its items; false when there is none.
pub(super) async fn learn_job(
    node: &EntryNode,
    job: &str,
    copy: &mut CachedJob,
) -> Result<bool, StoreFailure> {
    let Some(stored) = read_job(&node.store, job, StoreCallCause::ResultsRead).await? else {
        return Ok(false);
    };
    let spec = Arc::new(read_spec(&node.store, &stored, StoreCallCause::ResultsRead).await?);
    copy.total = Some(spec.items.len());
    copy.account = Some(spec.account.clone());
    copy.owner = Some(stored.owner().to_owned());
    copy.spec = Some(spec);
    Ok(true)
}

/// Brings the copy of a job up to what its owner knows; whether the owner is sure that nothing
/// follows. One that has let go of the job since may have missed what was stored last.
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
    let news = match node.peers.job_calls.ask(send, wait + PEER_CALL_GRACE).await {
        CallEnd::Answered(news) if news.total > 0 => news,
        CallEnd::Answered(_) | CallEnd::NotSent | CallEnd::Unanswered => return false,
    };
    let lines: Vec<Arc<ResultLine>> = news.lines.into_iter().map(Arc::new).collect();
    copy.extend(held, &lines, news.is_all);
    copy.total = Some(news.total);
    copy.account = Some(news.account);
    news.is_sure
}

/// A read that another gateway makes for a client.
#[derive(Debug)]
pub struct PeerRead {
    /// The job.
    pub job: String,
    /// The client's account.
    pub account: String,
    /// Results that the gateway holds already.
    pub after: u64,
    /// How long the answer may wait for a result, milliseconds.
    pub wait_ms: u64,
}

/// Answers another gateway's question about a job.
pub async fn answer_peer(node: &Arc<EntryNode>, peer: &VmName, call: u64, read: &PeerRead) {
    let job = read.job.as_str();
    let after = usize::try_from(read.after).unwrap_or(usize::MAX);
    let until = node.clock.mono() + Duration::from_millis(read.wait_ms);
    if ownership::can_confirm(node, job) {
        ownership::check_soon(node, job);
    }
    let known = loop {
        let listener = node.job_updates.listen();
        let left = until.since(node.clock.mono());
        // An owner in doubt tells what it has, and that more may follow; who asks has a store to ask, too.
        let is_sure = ownership::is_sure(node, job);
        match read_state(node, job, after) {
            ReadState::Known(known) => {
                break KnownLines { is_sure: is_sure || known.is_sure, ..known };
            }
            ReadState::OwnedNothing { total, held } if after > held => {
                // Readers were shown more than is known here: somebody else extends the list.
                ownership::doubt(node, job, "asked_beyond");
                break KnownLines { total, lines: Vec::new(), is_sure: false, ends_object: true };
            }
            ReadState::OwnedNothing { total, .. } if left.is_zero() => {
                break KnownLines { total, lines: Vec::new(), is_sure, ends_object: true };
            }
            ReadState::OwnedNothing { .. } => {
                let _ = timeout(left, listener).await;
            }
            ReadState::Ask(_) => break KnownLines::nothing(),
        }
    };
    let account = node.jobs().account(job).unwrap_or_default().to_owned();
    let known = if may_access(&account, &read.account) { known } else { KnownLines::nothing() };
    let sent = ResultLine::fitting(&known.lines, NEWS_BYTES);
    let is_cut = sent.len() < known.lines.len();
    let is_all = known.ends_object && !is_cut;
    let lines = sent.iter().map(|line| ResultLine::clone(line)).collect();
    // What didn't fit follows what is told.
    let is_sure = known.is_sure && !is_cut;
    let total = known.total as u64;
    node.peers.send(peer, PeerMessage::JobNews { call, account, is_sure, total, lines, is_all });
}

fn results_answer(total: usize, after: usize, lines: &[Arc<ResultLine>]) -> OwnAnswer {
    let body = encode_results(total, after, ResultLine::fitting(lines, RESULT_PAGE_BYTES));
    OwnAnswer { status: 200, body, ..OwnAnswer::default() }
}

/// The results from a position on, by the word of whom `source` names; that there are none is logged.
fn told_answer(
    node: &EntryNode,
    job: &str,
    total: usize,
    after: usize,
    lines: &[Arc<ResultLine>],
    source: ReadSource,
) -> ReadAnswer {
    if lines.is_empty() {
        let word = source.code();
        node.log.info("job_read_empty", &[("job", &job), ("after", &after), ("source", &word)]);
        node.metrics.count(Counter::Event("job_reads_empty"));
    }
    ReadAnswer { answer: results_answer(total, after, lines), source }
}

/// Nobody can say now: not that there is nothing.
pub(super) fn unsure(node: &EntryNode, job: &str, reason: &'static str) -> ReadAnswer {
    node.log.warn("job_read_unsure", &[("job", &job), ("reason", &reason)]);
    node.metrics.count(Counter::Event("job_reads_unsure"));
    ReadAnswer { answer: OwnAnswer::refused(RETRY_AFTER), source: ReadSource::Nobody }
}
