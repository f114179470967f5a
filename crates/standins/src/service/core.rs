//! What runs behind a service's port.

use std::{
    sync::{
        Arc, OnceLock, Weak,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::task::{self, sleep};
use notch_http::prelude::*;
use serde::Deserialize;

use super::{body_key, expected_answer};
use crate::{
    CRASH_MARKER,
    control::{bad_request, json_answer, json_body},
    runs::RunLog,
    served::{RequestHandler, ServedPort, until_cut},
};

/// Path under which calls are taken.
const CALL_PATH: &str = "/call/";
/// Largest call, bytes.
const MAX_CALL_BYTES: u64 = 4 << 20;
/// How often a frozen service looks whether it may go on.
const FREEZE_POLL: Duration = Duration::from_millis(5);

/// A service's shared part.
pub(super) struct ServiceCore {
    pub(super) runs: RunLog,
    delay_ms: AtomicU64,
    crash_down: Duration,
    frozen: AtomicBool,
    /// Rises at each crash; a call begun before one never ends.
    generation: AtomicU64,
    stopped: AtomicBool,
    /// Set once, right after the port was opened.
    pub(super) port: OnceLock<ServedPort>,
}

impl ServiceCore {
    pub(super) fn new(delay: Duration, crash_down: Duration) -> Self {
        Self {
            runs: RunLog::default(),
            delay_ms: AtomicU64::new(delay.as_millis() as u64),
            crash_down,
            frozen: AtomicBool::new(false),
            generation: AtomicU64::new(0),
            stopped: AtomicBool::new(false),
            port: OnceLock::new(),
        }
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    pub(super) fn set_frozen(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::Relaxed);
    }

    /// Ends every connection for good.
    pub(super) fn shut_down(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(port) = self.port.get() {
            port.drop_server();
        }
    }

    async fn thawed(&self) {
        while self.frozen.load(Ordering::Relaxed) && !self.stopped.load(Ordering::Relaxed) {
            sleep(FREEZE_POLL).await;
        }
    }
}

/// The core holds the port, and the port this handler: a strong one would never be dropped.
pub(super) fn handler_of(
    core: &Arc<ServiceCore>,
    answer: fn(Arc<ServiceCore>, Request) -> BoxFuture<'static, Response>,
) -> RequestHandler {
    let core: Weak<ServiceCore> = Arc::downgrade(core);
    Arc::new(move |request| match core.upgrade() {
        Some(core) => answer(core, request),
        None => Box::pin(until_cut()),
    })
}

/// Answers one call.
pub(super) async fn answer_call(core: Arc<ServiceCore>, mut request: Request) -> Response {
    core.thawed().await;
    let path = request.url().path().to_string();
    let Some(path) = path.strip_prefix(CALL_PATH).map(str::to_string) else {
        return Response::new(StatusCode::NotFound);
    };
    let named = request.header("idempotency-key").map(|values| values.last().as_str().to_string());
    let body = match read_body(request.take_body(), MAX_CALL_BYTES).await {
        Ok(body) => body,
        Err(error) => return bad_request(&error.to_string()),
    };
    let key = named.unwrap_or_else(|| body_key(&body));
    // In a task of its own: a call that has begun goes on when its caller leaves.
    let run = task::spawn(run_call(core, key, path, body));
    match run.await {
        Some(answer) => text_answer(answer),
        None => until_cut().await,
    }
}

fn text_answer(answer: String) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header("content-type", "text/plain");
    response.set_body(answer.into_bytes());
    response
}

/// Runs one call; `None` when the service crashed meanwhile.
async fn run_call(
    core: Arc<ServiceCore>,
    key: String,
    path: String,
    body: Vec<u8>,
) -> Option<String> {
    let generation = core.generation.load(Ordering::Relaxed);
    core.runs.count_start(&key);
    if contains(&body, CRASH_MARKER.as_bytes()) {
        crash(&core, core.crash_down);
        return None;
    }
    sleep(Duration::from_millis(core.delay_ms.load(Ordering::Relaxed))).await;
    core.thawed().await;
    if core.generation.load(Ordering::Relaxed) != generation {
        return None;
    }
    core.runs.count_finish(&key);
    Some(expected_answer(&path, &body))
}

fn contains(body: &[u8], marker: &[u8]) -> bool {
    body.windows(marker.len()).any(|window| window == marker)
}

/// Ends every call in flight and every connection; serves again after `down`.
pub(super) fn crash(core: &Arc<ServiceCore>, down: Duration) {
    core.generation.fetch_add(1, Ordering::Relaxed);
    let core = core.clone();
    task::spawn(async move {
        let Some(port) = core.port.get() else { return };
        port.cut().await;
        sleep(down).await;
        if !core.stopped.load(Ordering::Relaxed) {
            port.reopen().await;
        }
    });
}

/// A time.
#[derive(Debug, Deserialize)]
struct MillisBody {
    ms: u64,
}

/// Answers one control.
pub(super) async fn answer_control(core: Arc<ServiceCore>, mut request: Request) -> Response {
    let path = request.url().path().to_string();
    if request.method() == Method::Get && path == "/control/runs" {
        return json_answer(&core.runs.all());
    }
    match path.as_str() {
        "/control/freeze" => core.set_frozen(true),
        "/control/thaw" => core.set_frozen(false),
        "/control/delay" | "/control/crash" => {
            let body: MillisBody = match json_body(&mut request).await {
                Ok(body) => body,
                Err(refusal) => return refusal,
            };
            match path.ends_with("crash") {
                true => crash(&core, Duration::from_millis(body.ms)),
                false => core.set_delay(Duration::from_millis(body.ms)),
            }
        }
        _ => return bad_request("no such control"),
    }
    Response::new(StatusCode::NoContent)
}
