//! What a request's head asks for, before its body is read.

pub mod body;
mod operator;
pub mod options;
mod query;

use http_types::{Method, Request};
use notch_messages::entry::{EntryKey, EntryKind};
use notch_types::prelude::*;
use percent_encoding::percent_decode_str;

pub use self::operator::{kind_name, parse_kind};
use self::{options::CallOptions, query::QueryFields};
use crate::{due::parse_due, fault::bad};

/// Longest name of a target or entry in a path, bytes.
const NAME_BYTES: usize = 200;
/// Longest path below a service, bytes.
const SERVICE_PATH_BYTES: usize = 2_000;

/// A request's head: who asks, for what, under which conditions. The key is not checked here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// The bearer key's text; `None` when there is none.
    pub bearer: Option<String>,
    /// Key, deadline and idempotence.
    pub options: CallOptions,
    /// What is asked for.
    pub route: CallRoute,
}

/// Everything that can be asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallRoute {
    /// `POST /v1/chat/completions`.
    Chat,
    /// `POST /v1/services/{name}[/{path}]`.
    Service {
        /// The service's catalogue name.
        target: TargetName,
        /// The path below it with its query, without a leading slash; may be empty.
        path: String,
    },
    /// `POST /v1/jobs?target=…&due=…[&idempotent=false]`.
    SubmitJob {
        /// The target's catalogue name.
        target: TargetName,
        /// When the job is due.
        due: WallTime,
        /// Whether items may run more than once.
        idempotent: bool,
    },
    /// `GET /v1/jobs/{id}`.
    JobStatus(JobId),
    /// `GET /v1/jobs/{id}/results[?from=…&limit=…]`.
    JobResults {
        /// The job.
        job: JobId,
        /// First item wanted.
        from: ItemIndex,
        /// Most lines; `None` for all there are.
        limit: Option<u32>,
    },
    /// `DELETE /v1/jobs/{id}`.
    CancelJob(JobId),
    /// `GET /v1/results/{idempotency key}`.
    OnlineResult {
        /// The idempotency key of the request.
        key: String,
    },
    /// `GET /v1/operator/catalogue[/{kind}]`.
    ListEntries {
        /// Only this kind.
        kind: Option<EntryKind>,
    },
    /// `GET /v1/operator/catalogue/{kind}/{name}`.
    GetEntry(EntryKey),
    /// `PUT /v1/operator/catalogue/{kind}/{name}` with `If-Match: "version"`, or with
    /// `If-None-Match: *` for a new entry.
    PutEntry {
        /// The entry.
        key: EntryKey,
        /// The version that the edit was made from; `None` for a new entry.
        base: Option<EntryVersion>,
    },
    /// `GET /v1/operator/catalogue-status`.
    CatalogueStatus,
    /// `GET /v1/operator/status`.
    Status,
    /// `GET /v1/operator/explain/{request|job|target|vm}/{id}`.
    Explain(NoteSubject),
    /// `GET /metrics`.
    Metrics,
    /// `GET /healthz`: the process lives.
    Health,
    /// `GET /readyz`: the process can take work.
    Ready,
}

impl CallRoute {
    /// Whether only an operator's key may ask.
    pub fn is_operators(&self) -> bool {
        matches!(
            self,
            Self::ListEntries { .. }
                | Self::GetEntry(_)
                | Self::PutEntry { .. }
                | Self::CatalogueStatus
                | Self::Status
                | Self::Explain(_)
        )
    }

    /// Whether no key is needed.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Metrics | Self::Health | Self::Ready)
    }
}

impl CallHead {
    /// Reads the head of `request`.
    ///
    /// # Errors
    /// A refusal `not run` that names what is wrong: an unknown path, a method that the path
    /// doesn't have, a malformed header, or an unknown, missing or malformed query field.
    pub fn parse(request: &Request) -> Result<Self, Refusal> {
        let options = CallOptions::parse(request)?;
        let bearer = options::bearer(request)?;
        let route = parse_route(request)?;
        Ok(Self { bearer, options, route })
    }
}

fn parse_route(request: &Request) -> Result<CallRoute, Refusal> {
    let url = request.url();
    let segments: Vec<&str> = url.path().split('/').skip(1).collect();
    let route = match segments.as_slice() {
        ["v1", "chat", "completions"] => only(request, Method::Post, CallRoute::Chat)?,
        ["v1", "services", name, rest @ ..] => service(request, name, rest)?,
        ["v1", "jobs"] => submit(request)?,
        ["v1", "jobs", id] => match request.method() {
            Method::Get => CallRoute::JobStatus(job_id(id)?),
            Method::Delete => CallRoute::CancelJob(job_id(id)?),
            _ => return Err(wrong_method("GET or DELETE")),
        },
        ["v1", "jobs", id, "results"] => results(request, job_id(id)?)?,
        ["v1", "results", key] => {
            let key = options::check_key(&decode(key)?)?;
            only(request, Method::Get, CallRoute::OnlineResult { key })?
        }
        ["v1", "operator", rest @ ..] => operator::parse(request, rest)?,
        ["metrics"] => only(request, Method::Get, CallRoute::Metrics)?,
        ["healthz"] => only(request, Method::Get, CallRoute::Health)?,
        ["readyz"] => only(request, Method::Get, CallRoute::Ready)?,
        _ => return Err(Refusal::not_run(RefusalReason::NotFound, "no such path")),
    };
    let takes_query = matches!(
        route,
        CallRoute::Service { .. } | CallRoute::SubmitJob { .. } | CallRoute::JobResults { .. }
    );
    if !takes_query && !route.is_open() {
        QueryFields::parse(url).finish()?;
    }
    Ok(route)
}

fn service(request: &Request, name: &str, rest: &[&str]) -> Result<CallRoute, Refusal> {
    let target = target_name(&decode(name)?)?;
    let mut path = rest.join("/");
    if let Some(query) = request.url().query() {
        path = format!("{path}?{query}");
    }
    if path.len() > SERVICE_PATH_BYTES {
        return Err(Refusal::not_run(RefusalReason::TooLarge, "the service's path is too long"));
    }
    only(request, Method::Post, CallRoute::Service { target, path })
}

fn submit(request: &Request) -> Result<CallRoute, Refusal> {
    let mut fields = QueryFields::parse(request.url());
    let target = target_name(&fields.required("target")?)?;
    let due = parse_due(&fields.required("due")?)?;
    let idempotent = fields.optional_flag("idempotent")?.unwrap_or(true);
    fields.finish()?;
    only(request, Method::Post, CallRoute::SubmitJob { target, due, idempotent })
}

fn results(request: &Request, job: JobId) -> Result<CallRoute, Refusal> {
    let mut fields = QueryFields::parse(request.url());
    let from = ItemIndex(fields.optional_number("from")?.unwrap_or(0));
    let limit = fields.optional_number("limit")?;
    fields.finish()?;
    only(request, Method::Get, CallRoute::JobResults { job, from, limit })
}

fn only(request: &Request, method: Method, route: CallRoute) -> Result<CallRoute, Refusal> {
    if request.method() == method { Ok(route) } else { Err(wrong_method(method.as_ref())) }
}

fn wrong_method(allowed: &str) -> Refusal {
    bad(&format!("this path takes {allowed} only"))
}

fn job_id(text: &str) -> Result<JobId, Refusal> {
    text.parse().map_err(|_| Refusal::not_run(RefusalReason::NotFound, "no such job"))
}

fn target_name(text: &str) -> Result<TargetName, Refusal> {
    if text.is_empty() || text.len() > NAME_BYTES {
        return Err(Refusal::not_run(RefusalReason::UnknownTarget, "no target has such a name"));
    }
    Ok(TargetName::new(text))
}

/// One segment of a path, decoded.
fn decode(segment: &str) -> Result<String, Refusal> {
    let decoded = percent_decode_str(segment).decode_utf8();
    decoded.map(String::from).map_err(|_| bad("the path is not UTF-8"))
}
