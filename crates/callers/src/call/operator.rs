//! Operators' paths.

use http_types::{Method, Request, headers};
use notch_messages::entry::{EntryKey, EntryKind};
use notch_types::prelude::*;

use super::{CallRoute, NAME_BYTES, bad, decode, only, wrong_method};

/// Reads the segments below `/v1/operator`.
pub(super) fn parse(request: &Request, segments: &[&str]) -> Result<CallRoute, Refusal> {
    match segments {
        ["status"] => only(request, Method::Get, CallRoute::Status),
        ["catalogue-status"] => only(request, Method::Get, CallRoute::CatalogueStatus),
        ["catalogue"] => only(request, Method::Get, CallRoute::ListEntries { kind: None }),
        ["catalogue", kind] => {
            let kind = Some(entry_kind(kind)?);
            only(request, Method::Get, CallRoute::ListEntries { kind })
        }
        ["catalogue", kind, name] => entry(request, kind, name),
        ["explain", kind, id] => {
            only(request, Method::Get, CallRoute::Explain(subject(kind, &decode(id)?)?))
        }
        _ => Err(Refusal::not_run(RefusalReason::NotFound, "no such path")),
    }
}

fn entry(request: &Request, kind: &str, name: &str) -> Result<CallRoute, Refusal> {
    let name = decode(name)?;
    if name.is_empty() || name.len() > NAME_BYTES {
        return Err(Refusal::not_run(RefusalReason::NotFound, "no entry has such a name"));
    }
    let key = EntryKey { kind: entry_kind(kind)?, name };
    match request.method() {
        Method::Get => Ok(CallRoute::GetEntry(key)),
        Method::Put => Ok(CallRoute::PutEntry { key, base: edit_base(request)? }),
        _ => Err(wrong_method("GET or PUT")),
    }
}

/// The version an edit was made from. An edit without one would overwrite a colleague's unseen.
fn edit_base(request: &Request) -> Result<Option<EntryVersion>, Refusal> {
    let matching = request.header(headers::IF_MATCH).map(|value| value.as_str());
    let absent = request.header(headers::IF_NONE_MATCH).map(|value| value.as_str());
    match (matching, absent) {
        (Some(version), None) => {
            let digits = version.trim().trim_matches('"');
            let version = digits.parse().map_err(|_| bad("If-Match is not a version"))?;
            Ok(Some(EntryVersion(version)))
        }
        (None, Some("*")) => Ok(None),
        _ => Err(bad("an edit needs either If-Match: \"version\" or If-None-Match: *")),
    }
}

fn subject(kind: &str, id: &str) -> Result<NoteSubject, Refusal> {
    let unknown = |_| bad("not a valid id");
    match kind {
        "request" => id.parse().map(NoteSubject::Request).map_err(unknown),
        "job" => id.parse().map(NoteSubject::Job).map_err(unknown),
        "target" => Ok(NoteSubject::Target(TargetName::new(id))),
        "vm" => Ok(NoteSubject::Vm(VmName::new(id))),
        _ => Err(bad("explain takes request, job, target or vm")),
    }
}

fn entry_kind(name: &str) -> Result<EntryKind, Refusal> {
    parse_kind(name).ok_or_else(|| bad("a kind is account, target, policy or leaving"))
}

/// The kind of entry that a path names.
pub fn parse_kind(name: &str) -> Option<EntryKind> {
    let kinds = [EntryKind::Account, EntryKind::Target, EntryKind::Policy, EntryKind::Leaving];
    kinds.into_iter().find(|kind| kind_name(*kind) == name)
}

/// A kind's name in paths and JSON.
pub fn kind_name(kind: EntryKind) -> &'static str {
    match kind {
        EntryKind::Account => "account",
        EntryKind::Target => "target",
        EntryKind::Policy => "policy",
        EntryKind::Leaving => "leaving",
    }
}
