//! Remembers where streams began, so that a stream that a client takes up goes on at its software version.
//!
//! While a service has or had targets of several versions, each stream is recorded at two more gateways, chosen by the id of
//! the client's attempt, as the gateway that began it may be gone when the client comes back. While there is only
//! one version nothing needs to be sent.

use std::time::Duration;

use futures_util::stream::{FuturesUnordered, StreamExt};
use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    node::EntryNode,
    online::{origin_reply::OriginReply, request::OnlineRequest, version_records},
    peers::calls::CallEnd,
};

/// Number of other gateways that remember a stream.
const KEEPERS: usize = 2;
/// Maximum number of gateways asked where a stream began, those first that may have been its keepers.
const MAX_ASKED: usize = 32;
/// Timeout of their answers: less than the usual objective of a first event.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// Added to the client's deadline, as those of its attempts differ a little.
const RETENTION_MARGIN: Duration = Duration::from_secs(5);

/// Records that a stream has begun. `attempt` is the client attempt that got its first event.
pub fn note(node: &EntryNode, request: &OnlineRequest, attempt: &str, origin: StreamOrigin) {
    let now = node.clock.mono();
    let limit = request
        .client_deadline
        .map_or(request.route.timeout, |deadline| deadline.max(request.route.timeout));
    let retention = limit + RETENTION_MARGIN;
    node.stream_origins().note(attempt, origin.clone(), retention, now);
    let view = node.targets().version_view(&origin.service, now);
    if !matches!(view, VersionView::Sole(_)) {
        send_record(node, attempt, origin, retention);
    }
}

/// Records the recent streams of a service at other gateways, as a second version has appeared.
pub fn publish(node: &EntryNode, service: &str) {
    let now = node.clock.mono();
    let recent: Vec<(String, StreamOrigin, Duration)> = {
        let origins = node.stream_origins();
        let recent = origins.recent(service, now);
        recent.map(|(attempt, origin, left)| (attempt.to_owned(), origin.clone(), left)).collect()
    };
    node.log.info("stream_origins_published", &[("service", &service), ("streams", &recent.len())]);
    for (attempt, origin, left) in recent {
        send_record(node, &attempt, origin, left);
    }
}

fn send_record(node: &EntryNode, attempt: &str, origin: StreamOrigin, retention: Duration) {
    let keep_ms = retention.as_millis() as u64;
    let message = PeerMessage::StreamBegan { attempt: attempt.to_owned(), origin, keep_ms };
    for keeper in ranked_peers(node, attempt).into_iter().take(KEEPERS) {
        node.peers.send(&keeper, message.clone());
    }
}

/// Other gateways, those first that remember the stream of `attempt` if they are live.
fn ranked_peers(node: &EntryNode, attempt: &str) -> Vec<VmName> {
    let mut peers = node.peers.live_vms();
    peers.sort_by_cached_key(|vm| stable_hash64(&[attempt.as_bytes(), vm.as_str().as_bytes()]));
    peers
}

/// Determines where a stream began that the client of `request` takes up; `service` continues it if that is not
/// known but does not matter. `None` if it may have begun at several versions.
pub async fn find(
    node: &EntryNode,
    request: &OnlineRequest,
    service: &str,
) -> Option<StreamOrigin> {
    let begun_by = request.resumes();
    let known = begun_by.and_then(|attempt| node.stream_origins().get(attempt).cloned());
    let found = match known {
        Some(origin) => origin,
        None => match version_view(node, service) {
            VersionView::Sole(version) => undisputed(service, version),
            view => ask_peers(node, begun_by, service, &view).await?,
        },
    };
    let is_uncertain = node.targets().is_version_uncertain(&found.target, &found.version);
    (!is_uncertain && request.route.runs_at(&found.service)).then_some(found)
}

/// Origin of a stream of a service that has only one version.
fn undisputed(service: &str, version: String) -> StreamOrigin {
    StreamOrigin { service: service.to_owned(), version, target: String::new() }
}

/// What is known here of the versions of a service. While no changes of targets arrive, the other gateways may use
/// versions that are not known here.
fn version_view(node: &EntryNode, service: &str) -> VersionView {
    match node.hears_of_targets() {
        true => node.targets().version_view(service, node.clock.mono()),
        false => VersionView::Unknown,
    }
}

async fn ask_peers(
    node: &EntryNode,
    attempt: Option<&str>,
    service: &str,
    view: &VersionView,
) -> Option<StreamOrigin> {
    let ranked = ranked_peers(node, attempt.unwrap_or_default());
    let mut asks: FuturesUnordered<_> =
        ranked.iter().take(MAX_ASKED).map(|peer| ask(node, peer, attempt, service)).collect();
    let mut views: Vec<VersionView> = Vec::new();
    while let Some(reply) = asks.next().await {
        let Some(OriginReply { origin, versions }) = reply else { continue };
        if origin.is_some() {
            return origin;
        }
        views.push(versions);
    }
    if let Some(version) = view.agreed(&views) {
        return Some(undisputed(service, version));
    }
    if !matches!(view, VersionView::Current(_)) {
        return None;
    }
    version_records::restore(node, service).await;
    version_view(node, service).agreed(&views).map(|version| undisputed(service, version))
}

async fn ask(
    node: &EntryNode,
    peer: &VmName,
    attempt: Option<&str>,
    service: &str,
) -> Option<OriginReply> {
    let (attempt, service) = (attempt.map(str::to_owned), service.to_owned());
    let request = |call| PeerMessage::OriginAsk { call, attempt, service };
    let send = |call| node.peers.send(peer, request(call));
    match node.peers.origin_calls.ask(send, ANSWER_TIMEOUT).await {
        CallEnd::Answered(reply) => Some(reply),
        CallEnd::Unanswered | CallEnd::NotSent => None,
    }
}

/// Answers another gateway that asks where a stream began.
pub fn answer(node: &EntryNode, peer: &VmName, call: u64, attempt: Option<&str>, service: &str) {
    let origin = attempt.and_then(|attempt| node.stream_origins().get(attempt).cloned());
    let versions = version_view(node, service);
    node.peers.send(peer, PeerMessage::OriginTold { call, origin, versions });
}

/// Remembers where a stream began, for the gateway that began it.
pub fn keep(node: &EntryNode, attempt: &str, origin: StreamOrigin, keep_ms: u64) {
    let retention = Duration::from_millis(keep_ms);
    node.stream_origins().note(attempt, origin, retention, node.clock.mono());
}
