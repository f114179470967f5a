//! Confirms by the store that the view of the targets is current.
//!
//! Neither an open watch nor a link tells that: both stay open for seconds while nothing passes, or while this process stands
//! still. Only an answer tells, and only of the time at which it was requested.

use std::time::Duration;

use async_std::{future::timeout, sync::Mutex};
use notch_platform_wire::store::TARGET_KIND;
use notch_types::prelude::*;

use crate::{
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        feed::{StorePath, list_all},
        feed_clock::FeedClock,
        feed_event::FeedEvent,
    },
};

/// How long a request waits for the store's answer: less than the usual objective of a first event.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(250);

/// When the store confirmed this gateway's view of the targets.
#[derive(Debug, Default)]
pub struct TargetConfirmation {
    /// Time from which on the newest answer holds: when it was requested, or the end of a watch without changes.
    pub clock: FeedClock,
    /// Held while the store is asked, so that one answer serves all that wait.
    asking: Mutex<()>,
}

impl TargetConfirmation {
    /// Whether the view was confirmed at `since` or later.
    fn is_newer(&self, since: MonoTime, now: MonoTime) -> bool {
        self.clock.age(now).is_some_and(|age| age <= now.since(since))
    }
}

/// Whether every target that was registered before `since` is known here. If no answer tells so yet, lists the targets.
pub async fn confirm(node: &EntryNode, since: MonoTime) -> bool {
    let confirming = async {
        let _asking = node.target_confirmation.asking.lock().await;
        node.target_confirmation.is_newer(since, node.clock.mono()) || list(node).await
    };
    let is_confirmed = timeout(CONFIRM_TIMEOUT, confirming).await.unwrap_or(false);
    let age_ms = node.clock.mono().since(since).as_millis();
    node.log.info("targets_confirmed", &[("confirmed", &is_confirmed), ("after_ms", &age_ms)]);
    is_confirmed
}

async fn list(node: &EntryNode) -> bool {
    let (asked, asked_mono) = (node.clock.boot(), node.clock.mono());
    let cause = StoreCallCause::TargetsConfirmed;
    let Ok((objects, as_of)) = list_all(&node.store, TARGET_KIND, StorePath::Any, cause).await
    else {
        return false;
    };
    node.apply_target_event(FeedEvent::Snapshot { objects, as_of, asked });
    node.target_confirmation.clock.note_answer(asked_mono);
    true
}
