//! Runs one item of a job at a target.

use std::{sync::Arc, time::Duration};

use async_channel::Receiver;
use async_std::future::timeout;
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use notch_h1::prelude::*;
use notch_platform_wire::{
    prelude::{AnswerHeaders, RelayTerms},
    target::{item_prompt, item_request},
};
use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    batch::failures,
    constants::{ITEM_FIRST_BYTE, ITEM_STALL},
    node::EntryNode,
    online::{
        lease::{AttemptEvidence, TargetLease},
        suspects::{InterruptedRun, claim_probe},
    },
    target::event_buffer::EventBuffer,
};

/// Time limit passed to the target, which stops work when it is over. A run of an item has no
/// deadline of its own.
const ITEM_TIME_LIMIT: Duration = Duration::from_secs(60);

/// Maximum output of one run of an item; what is longer is no answer, and is dropped.
const ITEM_OUTPUT_BYTES: usize = 8 << 20;

/// Output of a run up to which it isn't counted towards the memory budget: far more than items usually have.
const UNCOUNTED_OUTPUT_BYTES: usize = 128 << 10;

/// What a run has produced so far.
#[derive(Debug, Default)]
struct RunProgress {
    /// Status that the head of the answer reported.
    status: Option<u16>,
    /// The failure that the target reported. Known with the head: it is counted, whatever becomes of the body.
    failure: Option<FailedRun>,
    last_event: Option<u64>,
    data: Vec<u8>,
    events: u64,
}

/// Runs an item and reports the outcome to its job. Closing `cancel` ends the run early.
pub async fn run_item(
    node: Arc<EntryNode>,
    run: u64,
    start: ItemStart,
    choice: TargetChoice,
    cancel: Receiver<()>,
) {
    let began = node.clock.mono();
    let mut progress = RunProgress { last_event: start.last_event, ..RunProgress::default() };
    let mut lease = TargetLease::new(&node, &choice, WorkKind::Batch);
    let suspect = item_suspect(&start.job, &start.item);
    let admission = node.suspects().admit_item(suspect);
    if admission == SuspectAdmission::Probe
        && let Some(handle) = node.jobs().runs.get_mut(&run)
    {
        handle.is_probe = true;
    }
    let may_start = match admission {
        SuspectAdmission::Admitted => true,
        SuspectAdmission::Probe => claim_probe(&node, suspect, ProbeWork::Item).await,
        SuspectAdmission::Refused { .. } => false,
    };
    let outcome = if may_start {
        let running = run_at(&node, run, &start, &choice, &mut progress);
        let cancelled = cancel.recv();
        pin_mut!(running, cancelled);
        match select(running, cancelled).await {
            Either::Left((outcome, _)) => Some(outcome),
            Either::Right(_) => None,
        }
    } else {
        // It is held back, and nothing is known of the target.
        None
    };
    match &outcome {
        Some(Ok(_)) => lease.set_outcome(Ok(())),
        Some(Err(failure)) => lease.set_outcome(Err(*failure)),
        None => {}
    }
    let fingerprint = stable_hash64(&[start.job.as_bytes(), start.item.id.as_bytes()]);
    let reported = progress.status.filter(|_| progress.failure.is_some());
    let result = match (reported, outcome) {
        (Some(status), _) | (None, Some(Ok(status))) => Some(AttemptResult::Status(status)),
        (None, Some(Err(failure))) => Some(AttemptResult::Broken(failure)),
        (None, None) => None,
    };
    if let Some(Err(failure)) = outcome
        && progress.failure.is_none()
    {
        note_broken_run(&node, &start, &choice, (failure, progress.last_event), admission);
    }
    let has_begun = progress.events > 0;
    lease.set_evidence(AttemptEvidence { fingerprint, result, has_begun });
    drop(lease);
    note_sound(&node, &start, outcome.as_ref());
    if progress.failure.is_none()
        && let Some(Ok(status)) = outcome
    {
        note_failure(&node, (run, status), &start, &mut progress);
    }
    let mut end = match progress.failure {
        _ if !may_start => ItemEnd::NotRun,
        Some(FailedRun { is_impossible: true, .. }) => ItemEnd::Impossible,
        Some(run) => ItemEnd::Failed { run },
        None => item_end(outcome.as_ref()),
    };
    if has_uncertain_events(&node, &start, &choice, &end) {
        progress.events = 0;
        if end == ItemEnd::Completed {
            end = ItemEnd::Interrupted;
        }
    }
    let reason = match &outcome {
        Some(Ok(status)) => status.to_string(),
        Some(Err(failure)) => failure.code().to_owned(),
        None if !may_start => "held_back".to_owned(),
        None => "preempted".to_owned(),
    };
    let now = node.clock.mono();
    node.metrics.observe(Timing::ItemRun, now.since(began));
    if outcome.as_ref().is_none_or(Result::is_err) {
        node.metrics.count(Counter::Event("item_runs_broken"));
    }
    node.log.info(
        "item_run_ended",
        &[
            ("job", &start.job),
            ("item", &start.item.id),
            ("target", &choice.id),
            ("outcome", &reason),
            ("status", &progress.status.unwrap_or_default()),
            ("events", &progress.events),
            ("last_event", &progress.last_event.map_or(-1, |id| id as i64)),
            ("ms", &now.since(began).as_millis()),
        ],
    );
    let mut registry = node.jobs();
    registry.runs.remove(&run);
    if end == ItemEnd::Completed && start.last_event.is_none() {
        registry.table.note_whole_run(&start.item, now.since(began));
    }
    if let Some(job) = registry.table.get_mut(&start.job) {
        if matches!(end, ItemEnd::Completed | ItemEnd::Impossible) {
            node.limits.note_ended(&job.spec().limit_name(), start.item.limit_tokens, now);
        }
        if let Some(last) = progress.last_event.filter(|_| progress.events > 0) {
            job.add_progress(start.index, last, &progress.data);
        }
        job.end_item(start.index, &end, now);
    }
    drop(registry);
    node.runner_wake.notify(usize::MAX);
}

/// Counts the run if its target reported a failure of the item.
fn note_failure(
    node: &EntryNode,
    (run, status): (u64, u16),
    start: &ItemStart,
    progress: &mut RunProgress,
) {
    progress.failure = failures::failed_run(node, run, status);
    if let Some(failed) = progress.failure {
        failures::note(node, start, failed);
    }
}

/// Reports a crash of the target, if the run may have caused it.
fn note_broken_run(
    node: &EntryNode,
    start: &ItemStart,
    choice: &TargetChoice,
    (failure, reached): (AttemptFailure, Option<u64>),
    admission: SuspectAdmission,
) {
    let request = item_suspect(&start.job, &start.item);
    if failure.may_be_crash() {
        let suspects = RequestSuspects { request, parts: &[] };
        node.suspects().report_crash(InterruptedRun { suspects, choice, reached });
    } else if admission == SuspectAdmission::Probe && failure.verdict() == RunVerdict::NotRun {
        node.suspects().table().note_unspent_probe(request, node.clock.mono());
    }
}

/// Records that an item and the prompt parts of it are sound, if a target answered it. That a target crashed under it tells
/// nothing of its parts: items are sound as a rule.
fn note_sound(node: &EntryNode, start: &ItemStart, outcome: Option<&Result<u16, AttemptFailure>>) {
    if let Some(Ok(200..300)) = outcome {
        let prompt = item_prompt(&start.item);
        node.suspects().note_answer(item_suspects(&start.job, &start.item, &prompt));
    }
}

/// An item and what of its prompt others share. Items with the same body are told apart: there may be many, and none should
/// wait because another one was interrupted.
pub(super) fn item_suspects<'a>(
    job: &str,
    item: &ItemSpec,
    prompt: &'a PromptPrefixes,
) -> RequestSuspects<'a> {
    RequestSuspects { request: item_suspect(job, item), parts: prompt.shared_parts() }
}

/// What an item is known by as a whole.
pub(super) fn item_suspect(job: &str, item: &ItemSpec) -> u64 {
    CrashSuspect::request_id(job, item.id.as_bytes())
}

/// Whether the events of a run can't be joined with those of others: the target has restarted under its name with other
/// software, possibly before the run.
fn has_uncertain_events(
    node: &EntryNode,
    start: &ItemStart,
    choice: &TargetChoice,
    end: &ItemEnd,
) -> bool {
    let is_joined = start.last_event.is_some() || *end != ItemEnd::Completed;
    is_joined && node.targets().is_version_uncertain(&choice.id, &choice.software_version)
}

fn item_end(outcome: Option<&Result<u16, AttemptFailure>>) -> ItemEnd {
    match outcome {
        None => ItemEnd::Preempted,
        Some(Ok(200..300)) => ItemEnd::Completed,
        Some(Ok(_)) => ItemEnd::Interrupted,
        Some(Err(failure)) => match failure.verdict() {
            RunVerdict::NotRun => ItemEnd::NotRun,
            RunVerdict::Unknown => ItemEnd::Interrupted,
        },
    }
}

/// Exchanges the request with the target. Returns the status of a complete answer.
async fn run_at(
    node: &EntryNode,
    run: u64,
    start: &ItemStart,
    choice: &TargetChoice,
    progress: &mut RunProgress,
) -> Result<u16, AttemptFailure> {
    let mut connection = node.pool.connect(&choice.id, choice.address, false).await?;
    if progress.last_event.is_some() && choice.born > 0 {
        connection.confirm_incarnation(choice.address, choice.born).await?;
    }
    let has_accounts = node.routes().is_some_and(|routes| routes.accounts().is_some());
    let account = Some(start.account.as_str());
    let terms = RelayTerms {
        target: &choice.name,
        left: ITEM_TIME_LIMIT,
        last_event: progress.last_event,
        account: account.filter(|account| has_accounts || !account.is_empty()),
    };
    let bytes = item_request(&start.item, &start.host, terms);
    let head = connection.exchange(&bytes, Some(&start.item.id), ITEM_FIRST_BYTE).await?;
    progress.status = Some(head.status);
    if AnswerHeaders::decode(&head).is_sealed {
        note_failure(node, (run, head.status), start, progress);
    }
    node.targets().note_alive(&choice.id);
    let framing = head.framing().map_err(|_| AttemptFailure::SpoiledAnswer)?;
    let mut body = BodyProgress::new(framing);
    let mut buffer = EventBuffer::after(progress.last_event, &node.memory);
    let mut held = node.memory.hold(MemoryUse::TargetAnswer);
    let mut counted = UNCOUNTED_OUTPUT_BYTES;
    let mut pace = node.stream_pace(&choice.id);
    let mut waiting_since = node.clock.mono();
    loop {
        // Bytes that complete no event don't prolong the wait.
        let wait = ITEM_STALL.saturating_sub(node.clock.mono().since(waiting_since));
        if wait.is_zero() {
            return Err(AttemptFailure::StalledAnswer);
        }
        pace.start_wait();
        let reading = connection.reader.body_part(&mut body);
        let part = match timeout(wait, reading).await {
            Ok(Ok(part)) => part,
            Ok(Err(_)) => return Err(AttemptFailure::CutAnswer),
            Err(_) => return Err(AttemptFailure::StalledAnswer),
        };
        let Some(part) = part else { break };
        if head.status == 200 {
            pace.end_wait();
            buffer.push(&part)?;
            let events = progress.events;
            take_events(&mut buffer, progress)?;
            let more = progress.data.len().saturating_sub(counted);
            counted += more;
            if progress.data.len() > ITEM_OUTPUT_BYTES || (more > 0 && !held.grow(more)) {
                progress.last_event = start.last_event;
                progress.data.clear();
                progress.events = 0;
                return Err(AttemptFailure::SpoiledAnswer);
            }
            if progress.events != events {
                waiting_since = node.clock.mono();
            }
            pace.note_events((progress.events - events) as u32);
        }
    }
    if buffer.has_partial_event() {
        return Err(AttemptFailure::CutAnswer);
    }
    node.give_back(&choice.id, connection, &head);
    Ok(head.status)
}

fn take_events(buffer: &mut EventBuffer, progress: &mut RunProgress) -> Result<(), AttemptFailure> {
    loop {
        match buffer.next_event() {
            Ok(Some(event)) => {
                if progress.events > 0 {
                    progress.data.push(b'\n');
                }
                progress.data.extend_from_slice(&event.data());
                progress.last_event = Some(event.id);
                progress.events += 1;
            }
            Ok(None) => return Ok(()),
            Err(_) => return Err(AttemptFailure::CutAnswer),
        }
    }
}
