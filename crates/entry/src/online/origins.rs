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
    online::{origin_reply::OriginReply, request::OnlineRequest, target_views, version_records},
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
        None => find_elsewhere(node, begun_by, service).await?,
    };
    let is_uncertain = node.targets().is_version_uncertain(&found.target, &found.version);
    (!is_uncertain && request.route.runs_at(&found.service)).then_some(found)
}

/// Origin of a stream of a service that has only one version.
fn undisputed(service: &str, version: String) -> StreamOrigin {
    StreamOrigin { service: service.to_owned(), version, target: String::new() }
}

/// Determines where a stream began of which nothing is known here.
///
/// The version that began it was registered before the client came, so the targets known here are confirmed for the time
/// from then on. The keepers are asked in any case: that version may have left again.
async fn find_elsewhere(
    node: &EntryNode,
    attempt: Option<&str>,
    service: &str,
) -> Option<StreamOrigin> {
    let is_confirmed = target_views::confirm(node, node.clock.mono()).await;
    let view = node.targets().version_view(service, node.clock.mono());
    let is_sole = is_confirmed && matches!(view, VersionView::Sole(_));
    let query = OriginQuery {
        attempt,
        service,
        known: node.targets().versions().known_for(node.clock.mono()),
    };
    let views = match ask_peers(node, query, if is_sole { KEEPERS } else { MAX_ASKED }).await {
        PeerReplies::Origin(origin) => return Some(origin),
        PeerReplies::Views(views) => views,
    };
    if !is_confirmed {
        return None;
    }
    if let Some(version) = view.agreed(&views) {
        return Some(undisputed(service, version));
    }
    if !matches!(view, VersionView::Current(_)) {
        return None;
    }
    version_records::restore(node, service).await;
    let view = node.targets().version_view(service, node.clock.mono());
    view.agreed(&views).map(|version| undisputed(service, version))
}

/// What is asked about a stream.
#[derive(Debug, Clone, Copy)]
pub struct OriginQuery<'a> {
    /// The client attempt that got the first event; `None` if the client does not name it.
    pub attempt: Option<&'a str>,
    /// The service that would continue the stream.
    pub service: &'a str,
    /// For how long the asker has known the targets.
    pub known: Duration,
}

/// What other gateways know of a stream.
#[derive(Debug)]
enum PeerReplies {
    /// Where it began.
    Origin(StreamOrigin),
    /// Not where it began, but the versions of its service.
    Views(Vec<VersionView>),
}

async fn ask_peers(node: &EntryNode, query: OriginQuery<'_>, most: usize) -> PeerReplies {
    let ranked = ranked_peers(node, query.attempt.unwrap_or_default());
    let mut asks: FuturesUnordered<_> =
        ranked.iter().take(most).map(|peer| ask(node, peer, query)).collect();
    let mut views: Vec<VersionView> = Vec::new();
    while let Some(reply) = asks.next().await {
        let Some(OriginReply { origin, versions }) = reply else { continue };
        if let Some(origin) = origin {
            return PeerReplies::Origin(origin);
        }
        views.push(versions);
    }
    PeerReplies::Views(views)
}

async fn ask(node: &EntryNode, peer: &VmName, query: OriginQuery<'_>) -> Option<OriginReply> {
    let (attempt, service) = (query.attempt.map(str::to_owned), query.service.to_owned());
    let known_ms = query.known.as_millis() as u64;
    let request = |call| PeerMessage::OriginAsk { call, attempt, service, known_ms };
    let send = |call| node.peers.send(peer, request(call));
    match node.peers.origin_calls.ask(send, ANSWER_TIMEOUT).await {
        CallEnd::Answered(reply) => Some(reply),
        CallEnd::Unanswered | CallEnd::NotSent => None,
    }
}

/// Answers another gateway that asks where a stream began.
pub fn answer(node: &EntryNode, peer: &VmName, call: u64, query: OriginQuery<'_>) {
    let origin = query.attempt.and_then(|attempt| node.stream_origins().get(attempt).cloned());
    let now = node.clock.mono();
    let age = node.target_confirmation.clock.age(now);
    let versions = node.targets().version_view(query.service, now).confirmed(age, query.known);
    node.peers.send(peer, PeerMessage::OriginTold { call, origin, versions });
}

/// Remembers where a stream began, for the gateway that began it.
pub fn keep(node: &EntryNode, attempt: &str, origin: StreamOrigin, keep_ms: u64) {
    let retention = Duration::from_millis(keep_ms);
    node.stream_origins().note(attempt, origin, retention, node.clock.mono());
}
