//! Follows one kind of objects: lists it once, then watches for changes.

use std::time::Duration;

use async_std::task;
use notch_platform_wire::{
    prelude::{ListPage, StoreObject, WatchPage},
    store::{decode, decode_split, is_readable, list_path, object_path, watch_path},
};
use notch_relay::prelude::WatchPace;
use notch_types::prelude::*;

use crate::{
    constants::{STORE_PAUSE, WATCH_CHECK_INTERVAL, WATCH_GRACE, WATCH_START_DELAY},
    node::EntryNode,
    store::{
        call_cause::StoreCallCause,
        client::StoreClient,
        feed_clock::FeedClock,
        feed_event::FeedEvent,
        reply::{StoreFailure, StoreReply},
        retry::jittered,
    },
};

/// How often the pause after a failed list is doubled at most. A store that refuses this VM does so
/// for seconds, and counts each call.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

/// How often a list is continued behind an object that can't be read. Each costs two calls.
const MAX_CUTS: u32 = 16;
/// How many objects at the end of a list that was cut are read alone, to find the one at which it was.
const MAX_CUT_READS: usize = 16;

/// Interval at which a gateway that has just started checks whether it has to list a kind.
const START_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How calls to the store are routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StorePath {
    /// From this VM only. If that fails, changes are reported by the other gateways.
    Direct,
    /// Through another gateway while the store is unreachable from this VM.
    Any,
}

/// When a kind is first listed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeedStart {
    /// Immediately: the gateway needs the list, whether or not it watches the kind later.
    #[default]
    Immediate,
    /// When this gateway is required to watch, or others that do haven't passed the state on.
    UnlessPassedOn,
    /// When this gateway is required to watch, after others had time to start their watches.
    WhenRequired,
}

/// How a kind is followed.
#[derive(Clone, Copy, Default)]
pub struct FeedPlan<'a> {
    /// Minimum pause before each watch call.
    pub pause: Duration,
    /// The gateway that follows the kind only while too few others do; `None` to follow it always.
    pub watcher: Option<&'a EntryNode>,
    /// When the kind is first listed.
    pub start: FeedStart,
    /// Records the time of each answer, where it matters whether the store is in reach.
    pub answer_clock: Option<&'a FeedClock>,
    /// Records from when on each answer certainly holds, where the age of the data matters.
    pub view_clock: Option<&'a FeedClock>,
}

impl FeedPlan<'_> {
    /// Waits until the kind is to be listed first.
    async fn wait_for_start(&self) {
        match self.start {
            FeedStart::Immediate => {}
            FeedStart::UnlessPassedOn => {
                let is_due = |node: &EntryNode| node.must_watch() || node.lacks_state();
                while let Some(node) = self.watcher.filter(|node| !is_due(node)) {
                    // Only a gateway that waits for its first state is in a hurry; most wait here for good.
                    let pause =
                        if node.was_synced() { WATCH_CHECK_INTERVAL } else { START_CHECK_INTERVAL };
                    task::sleep(pause).await;
                }
            }
            FeedStart::WhenRequired => {
                task::sleep(WATCH_START_DELAY).await;
                self.wait_until_required().await;
            }
        }
    }

    /// Waits until this gateway is required to watch.
    async fn wait_until_required(&self) {
        let Some(node) = self.watcher else { return };
        let mut required_since = None;
        loop {
            let now = node.clock.mono();
            if node.must_watch() {
                required_since.get_or_insert(now);
            } else {
                required_since = None;
            }
            if required_since.is_some_and(|since| now.since(since) >= node.watch_delay()) {
                return;
            }
            task::sleep(WATCH_CHECK_INTERVAL).await;
        }
    }

    /// Records an answer that holds from `as_of` on.
    fn note_answer(&self, store: &StoreClient, as_of: MonoTime) {
        if let Some(clock) = self.answer_clock {
            clock.note_answer(store.now());
        }
        if let Some(clock) = self.view_clock {
            clock.note_answer(as_of);
        }
    }
}

/// Follows `kind` until the process ends.
///
/// The store may drop the history that a watch continues from, and an interrupted watch may have
/// missed changes, so after any failure the kind is listed again.
pub async fn follow(
    store: &StoreClient,
    kind: &str,
    plan: FeedPlan<'_>,
    mut on_event: impl FnMut(FeedEvent<'_>),
) {
    // Feeds that start when they are required serve no other gateway.
    let counted_node = plan.watcher.filter(|_| plan.start != FeedStart::WhenRequired);
    if let Some(node) = counted_node {
        node.watch.add_feed();
    }
    plan.wait_for_start().await;
    let mut failures = 0;
    loop {
        let (asked, asked_mono) = (store.boot_now(), store.now());
        match list_all(store, kind, StorePath::Direct, StoreCallCause::List).await {
            Ok((objects, as_of)) => {
                failures = 0;
                on_event(FeedEvent::Snapshot { objects, as_of, asked });
                plan.note_answer(store, asked_mono);
                let _live = counted_node.map(|node| node.watch.live_feed());
                watch(store, kind, as_of, plan, &mut on_event).await;
            }
            Err(_) => {
                task::sleep(jittered(STORE_PAUSE * (2_u32.pow(failures)))).await;
                failures = MAX_BACKOFF_DOUBLINGS.min(failures + 1);
            }
        }
        plan.wait_until_required().await;
    }
}

/// Lists every object of `kind`, with the store's revision.
///
/// # Errors
/// The store did not answer, or not with a list.
pub async fn list_all(
    store: &StoreClient,
    kind: &str,
    path: StorePath,
    cause: StoreCallCause,
) -> Result<(Vec<StoreObject>, u64), StoreFailure> {
    let mut all: Vec<StoreObject> = Vec::new();
    let as_of = list_pages(store, kind, path, cause, |page| all.extend(page)).await?;
    Ok((all, as_of))
}

/// Lists every object of `kind` page by page, so that not all have to be held at once. Returns the store's revision.
///
/// # Errors
/// The store did not answer, or not with a list. Some pages may have been listed.
pub async fn list_pages(
    store: &StoreClient,
    kind: &str,
    path: StorePath,
    cause: StoreCallCause,
    mut on_page: impl FnMut(Vec<StoreObject>),
) -> Result<u64, StoreFailure> {
    let mut after: Option<String> = None;
    let mut as_of = None;
    let mut cuts = 0;
    loop {
        let page_path = list_path(kind, after.as_deref());
        let reply = get(store, path, cause, &page_path).await?;
        if reply.status == 404 {
            return Ok(as_of.unwrap_or(0));
        }
        let decoded = if cuts < MAX_CUTS { decode(&reply.body) } else { decode_split(&reply.body) };
        let mut page: ListPage = decoded.map_err(|_| StoreFailure::NotDone)?;
        drop(reply);
        if page.is_cut {
            cuts += 1;
            trim_cut(store, kind, path, cause, &mut page.items.entries).await?;
        }
        // A watch from the first page's revision repeats changes that later pages already contain,
        // which is harmless. From the last page's revision it could miss a change on the first
        // page.
        let as_of_first = *as_of.get_or_insert(page.store_revision);
        note_unreadable(store, kind, page.items.unreadable);
        let last = page.items.entries.last().map(|object| object.metadata.name.clone());
        let has_more = page.more || page.is_cut;
        on_page(page.items.entries);
        if !has_more {
            return Ok(as_of_first);
        }
        // A part of a list must not be taken for the whole.
        if last.is_none() || last == after {
            return Err(StoreFailure::NotDone);
        }
        after = last;
    }
}

/// Removes what may be made of the bytes of the object at which a list was cut: all behind the last object that, read alone,
/// can't be read.
///
/// # Errors
/// There is no such object, or it could not be read.
async fn trim_cut(
    store: &StoreClient,
    kind: &str,
    path: StorePath,
    cause: StoreCallCause,
    entries: &mut Vec<StoreObject>,
) -> Result<(), StoreFailure> {
    for _ in 0..MAX_CUT_READS {
        let Some(last) = entries.last_mut() else { break };
        let object = object_path(kind, &last.metadata.name);
        let reply = get(store, path, cause, &object).await?;
        if reply.is_success() && !is_readable(&reply.body) {
            last.spec = None;
            last.status = None;
            return Ok(());
        }
        entries.pop();
    }
    store.log().error("store_list_unreadable", &[("kind", &kind)]);
    Err(StoreFailure::NotDone)
}

async fn get(
    store: &StoreClient,
    way: StorePath,
    cause: StoreCallCause,
    path: &str,
) -> Result<StoreReply, StoreFailure> {
    match way {
        StorePath::Direct => {
            let wait = store.settings().call_timeout;
            store.call_directly(cause, "GET", path, None, wait).await
        }
        StorePath::Any => store.get(cause, path).await,
    }
}

/// Logs entries that cannot be decoded; the others in the list stay valid.
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
    on_event: &mut impl FnMut(FeedEvent<'_>),
) {
    let mut pace = WatchPace::new(store.now());
    loop {
        if plan.watcher.is_some_and(|node| !node.must_watch()) {
            return;
        }
        task::sleep(plan.pause.max(pace.next_pause(store.now()))).await;
        let wait = store.settings().watch_wait;
        let path = watch_path(kind, revision, wait);
        let asked = store.now();
        let watching =
            store.call_directly(StoreCallCause::Watch, "GET", &path, None, wait + WATCH_GRACE);
        let Ok(reply) = watching.await else { return };
        if !reply.is_success() {
            return;
        }
        let Ok(page) = decode::<WatchPage>(&reply.body) else { return };
        if page.is_cut {
            return;
        }
        revision = revision.max(page.store_revision);
        note_unreadable(store, kind, page.events.unreadable);
        for event in &page.events.entries {
            let object = &event.object;
            on_event(if event.deleted {
                FeedEvent::Deleted { object, as_of: revision }
            } else {
                FeedEvent::Changed { object }
            });
        }
        if let Some(last) = page.events.entries.last() {
            let as_of = if last.deleted { revision } else { last.object.metadata.revision };
            on_event(FeedEvent::Complete { as_of });
        }
        // Without changes, the store waited until the end.
        let waited = if page.events.is_empty() { wait } else { Duration::ZERO };
        plan.note_answer(store, store.now().min(asked + waited));
    }
}
