//! The front: each HTTP request to where it is answered.

use std::sync::Arc;

use notch_callers::prelude::*;
use notch_catalogue::{TargetEntry, key_digest};
use notch_http::prelude::*;
use notch_platform::ObjectApi;
use notch_settings::GatewayConfig;
use notch_telemetry::prelude::*;
use notch_types::{class::TargetKind, prelude::*};

use crate::{
    control::{entries_view::SharedView, inbox::ControlInbox},
    traffic::{
        job_desk::JobDesk,
        online::{self, OnlineCall},
        operator_front::OperatorFront,
        shard_client::ShardClient,
    },
};

/// Answers callers and operators.
pub struct TrafficFront {
    view: Arc<SharedView>,
    inbox: ControlInbox,
    metrics: Arc<Metrics>,
    jobs: JobDesk,
    operators: OperatorFront,
    /// SHA-256 of the operators' key.
    operator_key: Option<[u8; 32]>,
    body_limit: u64,
    deadline_max: std::time::Duration,
}

/// Who asks, once the key was looked at.
enum CallerRole {
    Operator,
    Account(AccountName),
}

impl TrafficFront {
    /// A front over a gateway's parts.
    pub fn new(
        config: &GatewayConfig,
        objects: Arc<dyn ObjectApi>,
        view: Arc<SharedView>,
        inbox: ControlInbox,
        metrics: Arc<Metrics>,
    ) -> Self {
        let shards = ShardClient::new(inbox.clone());
        let digest = config.operators.key_sha256.as_deref().and_then(parse_digest);
        Self {
            jobs: JobDesk::new(config, Arc::clone(&objects), shards),
            operators: OperatorFront::new(objects, inbox.clone()),
            view,
            inbox,
            metrics,
            operator_key: digest,
            body_limit: config.limits.body,
            deadline_max: config.online.deadline_max,
        }
    }

    /// Answers a request.
    pub async fn serve(&self, request: Request) -> Response {
        match self.answer(request).await {
            Ok(response) => response,
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Answers a monitor, on the port that only has metrics and health.
    pub fn serve_health(&self, request: &Request) -> Response {
        match CallHead::parse(request) {
            Ok(CallHead { route, .. }) if route.is_open() => self.open_page(&route),
            Ok(_) => self.refuse(&Refusal::not_run(RefusalReason::NotFound, "no such path")),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    async fn answer(&self, request: Request) -> Result<Response, Refusal> {
        let head = CallHead::parse(&request)?;
        if head.route.is_open() {
            return Ok(self.open_page(&head.route));
        }
        let role = self.role_of(&head)?;
        let call = read_call(head, request, self.body_limit).await?;
        match (role, call) {
            (CallerRole::Operator, CallerRequest::PutEntry(put)) => self.operators.put(put).await,
            (CallerRole::Operator, CallerRequest::Plain(route)) => self.operators.ask(route).await,
            (CallerRole::Account(account), CallerRequest::Chat(call)) => {
                self.chat(account, call).await
            }
            (CallerRole::Account(account), CallerRequest::Service(call)) => {
                self.service(account, call).await
            }
            (CallerRole::Account(account), CallerRequest::SubmitJob(call)) => {
                let entry = self.target(&call.target)?;
                self.jobs.submit(account, call, &entry).await
            }
            (CallerRole::Account(account), CallerRequest::Plain(route)) => {
                self.jobs.ask(account, route).await
            }
            _ => Err(unauthorized("this path is for the other kind of key")),
        }
    }

    /// Finds who a key belongs to. Until the catalogue is complete nobody can be told from a
    /// stranger, so nobody is refused as one.
    fn role_of(&self, head: &CallHead) -> Result<CallerRole, Refusal> {
        let bearer =
            head.bearer.as_deref().ok_or_else(|| unauthorized("a bearer key is needed"))?;
        if head.route.is_operators() {
            let known = self.operator_key.is_some_and(|digest| same_digest(bearer, &digest));
            return if known {
                Ok(CallerRole::Operator)
            } else {
                Err(unauthorized("not an operator's key"))
            };
        }
        let view = self.view.get();
        if !view.ready {
            let detail = "this gateway has no complete catalogue yet";
            let refusal = Refusal::not_run(RefusalReason::StoreUnavailable, detail);
            return Err(refusal.retry_after(1_000));
        }
        let account = view.accounts.find(bearer);
        account.cloned().map(CallerRole::Account).ok_or_else(|| unauthorized("no such key"))
    }

    fn target(&self, name: &TargetName) -> Result<TargetEntry, Refusal> {
        self.view.get().targets.get(name).cloned().ok_or_else(|| {
            Refusal::not_run(RefusalReason::UnknownTarget, "no entry in force has this name")
        })
    }

    async fn chat(&self, account: AccountName, call: ChatCall) -> Result<Response, Refusal> {
        let entry = self.target(&call.model)?;
        self.check_online(&entry, TargetKind::Engine, call.body.len())?;
        let online = OnlineCall {
            account,
            target: call.model,
            path: String::new(),
            body: call.body.0,
            fingerprint: call.fingerprint,
            stream: call.stream,
            key: call.options.key,
            idempotent: call.options.idempotent,
            deadline: self.bounded(call.options.deadline, &entry),
            prefix: call.prompt_head,
        };
        Ok(online::serve(online, self.inbox.clone(), &self.metrics).await)
    }

    async fn service(&self, account: AccountName, call: ServiceCall) -> Result<Response, Refusal> {
        let entry = self.target(&call.target)?;
        self.check_online(&entry, TargetKind::Service, call.body.len())?;
        let online = OnlineCall {
            account,
            target: call.target,
            path: call.path,
            body: call.body.0,
            fingerprint: call.fingerprint,
            stream: false,
            key: call.options.key,
            idempotent: call.options.idempotent,
            deadline: self.bounded(call.options.deadline, &entry),
            prefix: None,
        };
        Ok(online::serve(online, self.inbox.clone(), &self.metrics).await)
    }

    fn check_online(
        &self,
        entry: &TargetEntry,
        kind: TargetKind,
        body: usize,
    ) -> Result<(), Refusal> {
        if entry.kind != kind {
            let detail = "the target is of the other kind: models by chat, services by their path";
            return Err(Refusal::not_run(RefusalReason::BadRequest, detail));
        }
        if !entry.class.takes_online() {
            let detail = "the target takes batch work only";
            return Err(Refusal::not_run(RefusalReason::BadRequest, detail));
        }
        if body as u64 > entry.limits.max_body_bytes {
            let detail = "the body is over the target's limit";
            return Err(Refusal::not_run(RefusalReason::TooLarge, detail));
        }
        Ok(())
    }

    fn bounded(
        &self,
        deadline: Option<std::time::Duration>,
        entry: &TargetEntry,
    ) -> Option<std::time::Duration> {
        let longest = std::time::Duration::from_millis(entry.limits.max_deadline_ms);
        deadline.map(|deadline| deadline.min(longest).min(self.deadline_max))
    }

    fn open_page(&self, route: &CallRoute) -> Response {
        match route {
            CallRoute::Metrics => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(self.metrics.render());
                response
            }
            CallRoute::Ready if !self.is_ready() => {
                let mut response = Response::new(StatusCode::ServiceUnavailable);
                response.set_body("not ready\n");
                response
            }
            _ => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body("ok\n");
                response
            }
        }
    }

    fn is_ready(&self) -> bool {
        self.view.get().ready && self.metrics.value(Gauge::Leaving) == 0
    }

    /// Refusals made at this edge are counted here; the router counts its own.
    fn refuse(&self, refusal: &Refusal) -> Response {
        self.metrics.count(Counter::Refused(refusal.reason));
        refusal_response(refusal)
    }
}

fn unauthorized(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::Unauthorized, detail)
}

/// Compares digests, so that timing tells nothing of the key.
fn same_digest(bearer: &str, digest: &[u8; 32]) -> bool {
    let given = key_digest(bearer);
    given.iter().zip(digest).fold(0, |differing, (a, b)| differing | (a ^ b)) == 0
}

fn parse_digest(text: &str) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    if text.len() != 2 * digest.len() {
        return None;
    }
    for (place, byte) in digest.iter_mut().enumerate() {
        *byte = u8::from_str_radix(text.get(2 * place..2 * place + 2)?, 16).ok()?;
    }
    Some(digest)
}
