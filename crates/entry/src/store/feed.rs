//! Follows one kind of objects: a whole list first, then every change.

use std::time::Duration;

use async_std::task;
use notch_platform_wire::{
    prelude::{ListPage, StoreObject, WatchPage},
    store::{decode, list_path, watch_path},
};

use crate::{
    constants::{STORE_PAUSE, WATCH_CHECK_INTERVAL, WATCH_GRACE, WATCH_START_DELAY},
    node::EntryNode,
    store::{
        call_cause::StoreCallCause, client::StoreClient, feed_clock::FeedClock,
        feed_event::FeedEvent, reply::StoreFailure, retry::jittered,
    },
};

/// How often the pause after a failed list is doubled, at most: a store that turns this VM away does so for seconds,
/// and counts each call.
const LONGEST_BACKOFF: u32 = 2;

/// Which way calls to the store go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorePath {
    /// From this VM only: changes that can't be watched come from the other gateways.
    Direct,
    /// Through another gateway while the store turns this one away.
    Any,
}

/// When a kind is listed first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedStart {
    /// At once: the gateway needs it, whether or not it follows it later.
    #[default]
    Immediate,
    /// When it's this gateway's duty, after others have had the time to begin theirs.
    WhenRequired,
}

/// How a kind is followed.
#[derive(Clone, Copy, Default)]
pub struct FeedPlan<'a> {
    /// Least time between two answers of a watch.
    pub pause: Duration,
    /// The gateway whose duty it is, or isn't while enough others follow; `None` for always.
    pub watcher: Option<&'a EntryNode>,
    /// When it is listed first.
    pub start: FeedStart,
    /// Told of each answer, where it matters how old the knowledge is.
    pub answer_clock: Option<&'a FeedClock>,
}

impl FeedPlan<'_> {
    /// Waits until it's this gateway's duty to follow the kind.
    async fn wait_until_required(&self) {
        while self.watcher.is_some_and(|node| !node.must_watch()) {
            task::sleep(WATCH_CHECK_INTERVAL).await;
        }
    }

    fn note_answer(&self, store: &StoreClient) {
        if let Some(clock) = self.answer_clock {
            clock.note_answer(store.now());
        }
    }
}

/// Follows `kind` until the process ends.
///
/// The history that a watch goes on from may be dropped at any time, and a cut watch may have
/// missed changes, so whatever is not a plain answer leads back to a whole list.
pub async fn follow(
    store: &StoreClient,
    kind: &str,
    plan: FeedPlan<'_>,
    mut tell: impl FnMut(FeedEvent<'_>),
) {
    // Others rely on what is followed from the start on.
    let counted = plan.watcher.filter(|_| plan.start == FeedStart::Immediate);
    if let Some(node) = counted {
        node.watch.add_feed();
    }
    if plan.start == FeedStart::WhenRequired {
        task::sleep(WATCH_START_DELAY).await;
        plan.wait_until_required().await;
    }
    let mut failures = 0;
    loop {
        let asked = store.boot_now();
        match list_all(store, kind, StorePath::Direct, StoreCallCause::List).await {
            Ok((objects, as_of)) => {
                failures = 0;
                tell(FeedEvent::Snapshot { objects, as_of, asked });
                plan.note_answer(store);
                let _live = counted.map(|node| node.watch.live_feed());
                watch(store, kind, as_of, plan, &mut tell).await;
            }
            Err(_) => {
                task::sleep(jittered(STORE_PAUSE * (2_u32.pow(failures)))).await;
                failures = LONGEST_BACKOFF.min(failures + 1);
            }
        }
        plan.wait_until_required().await;
    }
}

/// Every object of `kind`, with the store's revision.
///
/// # Errors
/// The store did not answer, or not with a list.
pub async fn list_all(
    store: &StoreClient,
    kind: &str,
    path: StorePath,
    cause: StoreCallCause,
) -> Result<(Vec<StoreObject>, u64), StoreFailure> {
    let mut objects: Vec<StoreObject> = Vec::new();
    let mut as_of = None;
    loop {
        let after = objects.last().map(|object| object.metadata.name.clone());
        let page_path = list_path(kind, after.as_deref());
        let reply = match path {
            StorePath::Direct => {
                let wait = store.settings().call_timeout;
                store.call_directly(cause, "GET", &page_path, None, wait).await?
            }
            StorePath::Any => store.get(cause, &page_path).await?,
        };
        if reply.status == 404 {
            return Ok((objects, as_of.unwrap_or(0)));
        }
        let page: ListPage = decode(&reply.body).map_err(|_| StoreFailure::NotDone)?;
        // A watch from the first page's revision repeats what later pages already show, which is
        // harmless; from the last page's it could miss a change of the first.
        let as_of_first = *as_of.get_or_insert(page.store_revision);
        note_unreadable(store, kind, page.items.unreadable);
        let is_last = !page.more || page.items.entries.is_empty();
        objects.extend(page.items.entries);
        if is_last {
            return Ok((objects, as_of_first));
        }
    }
}

/// The others in the list hold.
fn note_unreadable(store: &StoreClient, kind: &str, count: usize) {
    if count > 0 {
        store.log().error("store_entries_unreadable", &[("kind", &kind), ("count", &count)]);
    }
}

async fn watch(
    store: &StoreClient,
    kind: &str,
    mut revision: u64,
    plan: FeedPlan<'_>,
    tell: &mut impl FnMut(FeedEvent<'_>),
) {
    loop {
        if plan.watcher.is_some_and(|node| !node.must_watch()) {
            return;
        }
        task::sleep(plan.pause).await;
        let wait = store.settings().watch_wait;
        let path = watch_path(kind, revision, wait);
        let watching =
            store.call_directly(StoreCallCause::Watch, "GET", &path, None, wait + WATCH_GRACE);
        let Ok(reply) = watching.await else { return };
        if !reply.is_success() {
            return;
        }
        let Ok(page) = decode::<WatchPage>(&reply.body) else { return };
        revision = revision.max(page.store_revision);
        note_unreadable(store, kind, page.events.unreadable);
        for event in &page.events.entries {
            let object = &event.object;
            tell(if event.deleted {
                FeedEvent::Deleted { object, as_of: revision }
            } else {
                FeedEvent::Changed { object }
            });
        }
        plan.note_answer(store);
    }
}
