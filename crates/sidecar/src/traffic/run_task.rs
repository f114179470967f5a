//! One call of the target, from its start to its end.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Instant,
};

use async_channel::Receiver;
use futures_util::{
    future::{Either, select},
    pin_mut,
};
use notch_gate::prelude::{GateEvent, RunEnd, RunRequest};
use notch_target::prelude::*;
use notch_telemetry::prelude::{Metrics, Timing};
use notch_types::{class::WorkClass, prelude::*};

use super::{
    link_board::LinkBoard, run_board::RunBoard, run_buffer::RunBuffer, timing_board::TimingBoard,
    warm_board::WarmBoard,
};
use crate::control::EventSender;

/// What every run's task needs.
#[derive(Clone)]
pub(crate) struct RunContext {
    pub(crate) target: Arc<dyn TargetLink>,
    pub(crate) is_engine: bool,
    pub(crate) links: Arc<LinkBoard>,
    pub(crate) board: Arc<RunBoard>,
    pub(crate) timings: Arc<TimingBoard>,
    pub(crate) warm: Arc<WarmBoard>,
    pub(crate) activity: Arc<AtomicU64>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) events: EventSender,
}

/// Makes the call, or stops it when told; posts exactly one `RunEnded`.
pub(crate) async fn run_call(
    context: RunContext,
    request: Box<RunRequest>,
    buffer: Arc<RunBuffer>,
    stop: Receiver<()>,
) {
    let run = request.run;
    let class = request.class;
    let call = target_call(*request);
    let mut sink = RunSink {
        run,
        class,
        target: call.target,
        buffer: Arc::clone(&buffer),
        context: context.clone(),
        begun: Instant::now(),
        last: None,
    };
    let call = call.call;
    if context.is_engine
        && let Some(head) = prompt_head(&call.body)
    {
        context.warm.note(head);
    }
    let answer = {
        let running = context.target.run(&call, &mut sink);
        let stopped = stop.recv();
        pin_mut!(running, stopped);
        match select(running, stopped).await {
            Either::Left((answer, _)) => Some(answer),
            Either::Right(_) => None,
        }
    };
    let answer = match answer {
        Some(answer) => answer,
        None => {
            // The call's future is dropped and its connection cut by now; an engine is told
            // besides, for it may notice a lost reader only at its next write.
            context.target.cancel(&call.id).await;
            return post_end(&context, run, class, RunEnd::Stopped, &buffer, &call);
        }
    };
    if class == WorkClass::Batch {
        context.metrics.observe(Timing::ItemRun, sink.begun.elapsed());
    }
    let end = match answer.end {
        CallEnd::Complete { status } => RunEnd::Complete { status },
        CallEnd::Failed { status, retryable } => RunEnd::Failed { status, retryable },
        CallEnd::Cut => RunEnd::Cut,
        CallEnd::Unreached => RunEnd::Unreached,
    };
    match (class, answer.body) {
        (WorkClass::Batch, Some(body)) => {
            let total = body.len() as u64;
            context.events.gate(GateEvent::RunEnded { run, end, total, output: Some(body) });
        }
        _ => post_end(&context, run, class, end, &buffer, &call),
    }
}

struct NamedCall {
    target: TargetName,
    call: TargetCall,
}

fn target_call(request: RunRequest) -> NamedCall {
    let mode = match (request.class, request.stream) {
        (WorkClass::Batch, _) => CallMode::Collect,
        (WorkClass::Online, true) => CallMode::Stream,
        (WorkClass::Online, false) => CallMode::Whole,
    };
    let AttemptId { request: id, number, incarnation } = request.run;
    let call = TargetCall {
        id: format!("{:032x}-{number:x}-{:x}", id.0, incarnation.0),
        request: id,
        path: request.path,
        body: request.body,
        mode,
        idempotent: request.idempotent,
        progress: request.progress,
    };
    NamedCall { target: request.target, call }
}

/// Posts an end without a whole answer; a batch run's text so far goes with it.
fn post_end(
    context: &RunContext,
    run: AttemptId,
    class: WorkClass,
    end: RunEnd,
    buffer: &RunBuffer,
    call: &TargetCall,
) {
    let output = (class == WorkClass::Batch).then(|| progress(context, buffer, call)).flatten();
    let total = buffer.len();
    context.events.gate(GateEvent::RunEnded { run, end, total, output });
}

/// What a batch run can be resumed after. A service's half answer is no progress.
fn progress(context: &RunContext, buffer: &RunBuffer, call: &TargetCall) -> Option<Payload> {
    let before = call.progress.clone();
    if !context.is_engine {
        return before;
    }
    let mut text = before.unwrap_or_default().0;
    text.extend_from_slice(&buffer.text());
    (!text.is_empty()).then_some(Payload(text))
}

/// Hears of one call.
struct RunSink {
    run: AttemptId,
    class: WorkClass,
    target: TargetName,
    buffer: Arc<RunBuffer>,
    context: RunContext,
    begun: Instant,
    last: Option<Instant>,
}

impl CallSink for RunSink {
    fn started(&mut self) {
        self.context.events.gate(GateEvent::RunStarted { run: self.run });
    }

    fn bytes(&mut self, bytes: &[u8]) {
        self.context.activity.fetch_add(1, Ordering::Relaxed);
        self.buffer.append(bytes, &self.context.links);
        let now = Instant::now();
        match self.last.replace(now) {
            None => {
                self.context.events.gate(GateEvent::RunFirstToken { run: self.run });
                if self.class == WorkClass::Online {
                    self.context.metrics.observe(Timing::OnlineFirstByte, now - self.begun);
                }
            }
            Some(last) => {
                self.context.timings.add(&self.target, self.class, now - last);
                if self.class == WorkClass::Online {
                    self.context.metrics.observe(Timing::OnlineGap, now - last);
                }
            }
        }
    }
}
