//! One caller's online request, from its arrival at the router to the last byte of its answer.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_std::task;
use notch_callers::{
    prelude::{answer_response, refusal_event, refusal_response},
    sse::EVENT_STREAM,
};
use notch_http::prelude::*;
use notch_messages::prelude::StoredAnswer;
use notch_routing::{ArrivalId, OnlineRequest, RequestEnd};
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    control::{
        event::{ArrivalNews, ControlEvent, OfferTemplate},
        inbox::ControlInbox,
    },
    traffic::{
        answer_page::{AnswerPage, AnswerPart},
        answer_reader::AnswerReader,
        arrival_guard::ArrivalGuard,
    },
};

/// What an overloaded control thread's callers are told to wait.
const CROWDED_RETRY_MS: u64 = 500;

static NEXT_ARRIVAL: AtomicU64 = AtomicU64::new(1);

/// An online request as the HTTP edge understood it.
#[derive(Debug)]
pub struct OnlineCall {
    /// Who asks.
    pub account: AccountName,
    /// What is asked.
    pub target: TargetName,
    /// Path below the target for a plain service.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
    /// What it runs.
    pub fingerprint: Fingerprint,
    /// Whether the caller reads a stream.
    pub stream: bool,
    /// The idempotency key.
    pub key: Option<String>,
    /// The caller's own mark.
    pub idempotent: Option<bool>,
    /// Time until the caller's deadline.
    pub deadline: Option<Duration>,
    /// Digest of the prompt's head.
    pub prefix: Option<u64>,
}

/// Serves a call.
pub async fn serve(call: OnlineCall, inbox: ControlInbox, metrics: &Metrics) -> Response {
    if inbox.is_crowded() {
        let detail = "the gateway has too much to decide on";
        let refused = Refusal::not_run(RefusalReason::Overloaded, detail);
        return refusal_response(&refused.retry_after(CROWDED_RETRY_MS));
    }
    let request = match &call.key {
        Some(key) => RequestId::keyed(&call.account, key),
        None => RequestId(rand::random()),
    };
    let arrival = ArrivalId(NEXT_ARRIVAL.fetch_add(1, Ordering::Relaxed));
    let stream = call.stream;
    let started = Instant::now();
    let (news, waiting) = async_channel::unbounded();
    let guard = ArrivalGuard::new(arrival, inbox.clone());
    inbox.send(arrive(call, request, arrival, news));
    let mut response = if stream {
        answer_stream(waiting, guard).await
    } else {
        answer_whole(waiting, guard).await
    };
    metrics.observe(
        if stream { Timing::OnlineFirstByte } else { Timing::OnlineTotal },
        started.elapsed(),
    );
    response.insert_header("x-request-id", request.to_string());
    response
}

fn arrive(
    call: OnlineCall,
    request: RequestId,
    arrival: ArrivalId,
    news: async_channel::Sender<ArrivalNews>,
) -> ControlEvent {
    let fingerprint = call.fingerprint;
    let routed = OnlineRequest {
        arrival,
        request,
        account: call.account.clone(),
        target: call.target.clone(),
        path: call.path.clone(),
        keyed: call.key.is_some(),
        idempotent: call.idempotent,
        fingerprint,
        prefix: call.prefix,
        deadline: None,
        stream: call.stream,
    };
    let offer = Arc::new(OfferTemplate {
        target: call.target,
        account: call.account,
        path: call.path,
        body: call.body.into(),
        stream: call.stream,
        fingerprint,
    });
    ControlEvent::Online { request: routed, deadline_in: call.deadline, offer, news }
}

/// Waits for the end and answers whole.
async fn answer_whole(waiting: Receiver<ArrivalNews>, mut guard: ArrivalGuard) -> Response {
    loop {
        match waiting.recv().await {
            Ok(ArrivalNews::Deliver(_)) => {}
            Ok(ArrivalNews::Finish { end, page }) => {
                guard.finish();
                return ended(end, page.as_deref());
            }
            Err(_) => return refusal_response(&stopped()),
        }
    }
}

/// Waits until the answer may be passed on, then streams it.
async fn answer_stream(waiting: Receiver<ArrivalNews>, mut guard: ArrivalGuard) -> Response {
    match waiting.recv().await {
        Ok(ArrivalNews::Deliver(page)) => {
            let (sender, body) = streamed_body();
            task::spawn(pass_on(page, waiting, guard, sender));
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            response.insert_header("content-type", EVENT_STREAM);
            response.insert_header("cache-control", "no-store");
            response
        }
        Ok(ArrivalNews::Finish { end, page }) => {
            guard.finish();
            ended(end, page.as_deref())
        }
        Err(_) => refusal_response(&stopped()),
    }
}

/// Passes an answer on as it grows. Its own end mark is the target's last part; an answer that is
/// cut ends with an error event and without that mark, so that it can't be taken for whole.
async fn pass_on(
    page: Arc<AnswerPage>,
    waiting: Receiver<ArrivalNews>,
    mut guard: ArrivalGuard,
    sender: BodySender,
) {
    let mut reader = AnswerReader::new(page);
    loop {
        match reader.next().await {
            AnswerPart::Bytes(bytes) => {
                if sender.send(bytes).await.is_err() {
                    // The guard tells the router that the caller is gone.
                    return;
                }
            }
            AnswerPart::Complete { .. } => break,
            AnswerPart::Cut | AnswerPart::Nothing => break,
        }
    }
    let end = finish_of(&waiting).await;
    guard.finish();
    if let RequestEnd::Refused(refused) = end {
        let _ = sender.send(refusal_event(&refused)).await;
    }
    let _ = sender.finish().await;
}

async fn finish_of(waiting: &Receiver<ArrivalNews>) -> RequestEnd {
    loop {
        match waiting.recv().await {
            Ok(ArrivalNews::Deliver(_)) => {}
            Ok(ArrivalNews::Finish { end, .. }) => return end,
            Err(_) => return RequestEnd::Refused(stopped()),
        }
    }
}

fn ended(end: RequestEnd, page: Option<&AnswerPage>) -> Response {
    match end {
        RequestEnd::Answered { .. } => match page.and_then(AnswerPage::whole) {
            Some((status, body)) => {
                answer_response(&StoredAnswer::Answered { status, body: body.into() })
            }
            None => refusal_response(&lost()),
        },
        RequestEnd::Stored(answer) => answer_response(&answer),
        RequestEnd::Refused(refused) => refusal_response(&refused),
    }
}

fn stopped() -> Refusal {
    Refusal::unknown(RefusalReason::Leaving, "the gateway stopped before the answer came")
}

fn lost() -> Refusal {
    Refusal::unknown(RefusalReason::Internal, "the answer was lost in this gateway")
}
