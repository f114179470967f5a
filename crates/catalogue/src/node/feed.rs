//! The store as a source of entries: watch, poll, audit.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use notch_types::{
    object::{
        ListedObject, ObjectVersion, StoreCall, StoreFailure, StoreOp, StoreReply, StoredObject,
    },
    prelude::*,
};

use crate::{effect::CatalogueEffect, key, settings::CatalogueSettings, table::EntryTable};

/// A watch that answers this much too early with nothing is asked again only after a pause.
const EARLY_SHARE: u32 = 4;

/// What the node does at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedRole {
    /// Nothing.
    Off,
    /// Watches and audits.
    Watcher,
    /// Polls besides.
    FirstWatcher,
}

/// A call that was made.
#[derive(Debug, Clone, Copy)]
struct OpenCall {
    call: CallId,
    sent: MonoTime,
    deadline: MonoTime,
}

/// A read of one entry that was made.
#[derive(Debug, Clone)]
struct OpenRead {
    key: String,
    deadline: MonoTime,
}

/// Where the audit is.
#[derive(Debug, Clone, PartialEq, Eq)]
enum AuditPhase {
    Idle,
    /// Lists the page after this key.
    Listing {
        after: Option<String>,
    },
    /// Reads what was listed newer than in force.
    Reading,
}

/// What an answer brought.
#[derive(Debug, Default)]
pub(crate) struct FeedNews {
    /// Objects to adopt.
    pub(crate) objects: Vec<StoredObject>,
    /// Whether everything listed is now read.
    pub(crate) audited: bool,
}

/// The store as a source of entries.
///
/// A watch tells of changes at once but can hang for good, without an error, when something
/// between both ends has lost track of the connection: nobody would notice until an operator
/// wonders why an edit has no effect. So every watch has a deadline; the first watcher of each domain
/// also polls, which is cheap for a few nodes and finds a change within the poll's interval; and an
/// audit compares the listing of all entries with what is in force now and then.
///
/// Invariants: the cursor only rises. An audit starts only after a watch has answered since this
/// node took the role: what is older than the cursor is then visible to the listing.
/// Bounds: one watch, one poll, one listing, `max_reads` reads; `wanted` holds at most
/// `max_entries` keys.
#[derive(Debug)]
pub(crate) struct StoreFeed {
    role: FeedRole,
    next_call: u64,
    cursor: Option<ObjectVersion>,
    caught_up: bool,
    watch: Option<OpenCall>,
    poll: Option<OpenCall>,
    list: Option<OpenCall>,
    reads: BTreeMap<CallId, OpenRead>,
    wanted: BTreeSet<String>,
    audit: AuditPhase,
    backoff: Duration,
    retry_at: MonoTime,
    next_poll: MonoTime,
    next_audit: MonoTime,
    settings: CatalogueSettings,
}

impl StoreFeed {
    pub(crate) fn new(settings: &CatalogueSettings) -> Self {
        Self {
            role: FeedRole::Off,
            next_call: 1,
            cursor: None,
            caught_up: false,
            watch: None,
            poll: None,
            list: None,
            reads: BTreeMap::new(),
            wanted: BTreeSet::new(),
            audit: AuditPhase::Idle,
            backoff: settings.retry_min,
            retry_at: MonoTime::default(),
            next_poll: MonoTime::default(),
            next_audit: MonoTime::default(),
            settings: settings.clone(),
        }
    }

    /// Takes a role. Leaving it gives up all calls; their answers are still adopted.
    pub(crate) fn set_role(&mut self, now: MonoTime, role: FeedRole) {
        let was_off = self.role == FeedRole::Off;
        self.role = role;
        match (was_off, role == FeedRole::Off) {
            (false, true) => {
                let fresh = Self::new(&self.settings);
                *self = Self { next_call: self.next_call, ..fresh };
            }
            (true, false) => self.next_audit = now,
            _ => {}
        }
    }

    /// Makes the calls that are due.
    pub(crate) fn drive(
        &mut self,
        now: MonoTime,
        table: &EntryTable,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        if self.role == FeedRole::Off {
            return;
        }
        self.expire(now, effects);
        if now < self.retry_at {
            return;
        }
        if self.watch.is_none() {
            self.start_watch(now, table, effects);
        }
        if self.poll_is_due(now) {
            self.start_poll(now, effects);
        }
        if self.caught_up && self.audit == AuditPhase::Idle && now >= self.next_audit {
            self.audit = AuditPhase::Listing { after: None };
        }
        if let (AuditPhase::Listing { after }, None) = (&self.audit, &self.list) {
            let after = after.clone();
            self.start_list(now, after, effects);
        }
        while self.reads.len() < self.settings.max_reads {
            let Some(key) = self.wanted.pop_first() else { break };
            self.start_read(now, key, effects);
        }
    }

    /// Takes a call's end.
    pub(crate) fn answered(
        &mut self,
        now: MonoTime,
        call: CallId,
        result: Result<StoreReply, StoreFailure>,
        table: &EntryTable,
        effects: &mut Vec<CatalogueEffect>,
    ) -> FeedNews {
        let reply = match result {
            Ok(reply) => reply,
            Err(failure) => {
                self.failed(now, call, failure, effects);
                return FeedNews::default();
            }
        };
        let mut news = FeedNews::default();
        match reply {
            StoreReply::Changes { objects, upto } => {
                self.changes(now, call, &objects, upto, effects);
                news.objects = objects;
            }
            StoreReply::Listing { objects, more, .. } => {
                self.listed(now, call, &objects, more, table, effects);
            }
            StoreReply::Object(object) => {
                self.reads.remove(&call);
                self.backoff = self.settings.retry_min;
                news.objects.extend(object);
            }
            StoreReply::Written(_) | StoreReply::Deleted => {
                self.failed(now, call, StoreFailure::Malformed, effects);
            }
        }
        news.audited = self.finish_audit(now);
        news
    }

    /// When [`Self::drive`] has something to do.
    pub(crate) fn next_wake(&self) -> Option<MonoTime> {
        if self.role == FeedRole::Off {
            return None;
        }
        let open =
            [self.watch, self.poll, self.list].into_iter().flatten().map(|open| open.deadline);
        let reads = self.reads.values().map(|read| read.deadline);
        let starts = self.next_start().map(|start| start.max(self.retry_at));
        open.chain(reads).chain(starts).min()
    }

    fn next_start(&self) -> Option<MonoTime> {
        let listing = matches!(self.audit, AuditPhase::Listing { .. }) && self.list.is_none();
        if self.watch.is_none() || listing || (!self.wanted.is_empty() && self.reads.is_empty()) {
            return Some(self.retry_at);
        }
        let polls = self.role == FeedRole::FirstWatcher && self.caught_up && self.poll.is_none();
        let poll = polls.then_some(self.next_poll);
        let audits = self.caught_up && self.audit == AuditPhase::Idle;
        let audit = audits.then_some(self.next_audit);
        poll.into_iter().chain(audit).min()
    }

    fn poll_is_due(&self, now: MonoTime) -> bool {
        let polls = self.role == FeedRole::FirstWatcher && self.caught_up;
        polls && self.poll.is_none() && now >= self.next_poll
    }

    fn open(
        &mut self,
        now: MonoTime,
        wait: Duration,
        op: StoreOp,
        effects: &mut Vec<CatalogueEffect>,
    ) -> OpenCall {
        let call = CallId(self.next_call);
        self.next_call += 1;
        effects.push(CatalogueEffect::Call(StoreCall { call, op }));
        OpenCall { call, sent: now, deadline: now + wait }
    }

    fn start_watch(
        &mut self,
        now: MonoTime,
        table: &EntryTable,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let after = *self.cursor.get_or_insert(ObjectVersion(table.highest_version().0));
        // Until nothing more comes the answers are wanted at once.
        let wait = if self.caught_up { self.settings.watch_wait } else { Duration::ZERO };
        let wait_ms = wait.as_millis() as u64;
        let op = StoreOp::Watch { prefix: key::PREFIX.to_owned(), after, wait_ms };
        self.watch = Some(self.open(now, wait + self.settings.watch_grace, op, effects));
    }

    fn start_poll(&mut self, now: MonoTime, effects: &mut Vec<CatalogueEffect>) {
        let after = self.cursor.unwrap_or_default();
        let op = StoreOp::Watch { prefix: key::PREFIX.to_owned(), after, wait_ms: 0 };
        self.next_poll = now + self.settings.poll_interval;
        self.poll = Some(self.open(now, self.settings.call_timeout, op, effects));
    }

    fn start_list(
        &mut self,
        now: MonoTime,
        after: Option<String>,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let limit = self.settings.list_page;
        let op = StoreOp::List { prefix: key::PREFIX.to_owned(), after, limit };
        self.list = Some(self.open(now, self.settings.call_timeout, op, effects));
    }

    fn start_read(&mut self, now: MonoTime, key: String, effects: &mut Vec<CatalogueEffect>) {
        let op = StoreOp::Get { key: key.clone() };
        let open = self.open(now, self.settings.call_timeout, op, effects);
        self.reads.insert(open.call, OpenRead { key, deadline: open.deadline });
    }

    fn changes(
        &mut self,
        now: MonoTime,
        call: CallId,
        objects: &[StoredObject],
        upto: ObjectVersion,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        if is_call(self.watch, call) {
            self.watch_ended(now, objects.is_empty());
        } else if is_call(self.poll, call) {
            self.poll = None;
            self.poll_found(now, !objects.is_empty(), effects);
        } else {
            // Of a call given up: its objects are good, but newer calls set the cursor.
            return;
        }
        self.backoff = self.settings.retry_min;
        self.cursor = self.cursor.max(Some(upto));
    }

    fn watch_ended(&mut self, now: MonoTime, empty: bool) {
        let Some(watch) = self.watch.take() else { return };
        let early = now.since(watch.sent) < self.settings.watch_wait / EARLY_SHARE;
        if empty && self.caught_up && early {
            // A store that doesn't wait would be asked in a busy loop.
            self.retry_at = now + self.settings.retry_min;
        }
        if empty && !self.caught_up {
            self.caught_up = true;
            self.next_poll = now + self.settings.poll_interval;
        }
    }

    /// A poll that finds what the watch did not tell: the watch gets a short while to tell it,
    /// and is then held hung.
    fn poll_found(&mut self, now: MonoTime, found: bool, effects: &mut Vec<CatalogueEffect>) {
        let Some(watch) = self.watch.as_mut().filter(|_| found) else { return };
        watch.deadline = watch.deadline.min(now + self.settings.retry_min);
        effects.push(CatalogueEffect::Count(Counter::Event("catalogue_polls_first")));
    }

    fn listed(
        &mut self,
        now: MonoTime,
        call: CallId,
        objects: &[ListedObject],
        more: bool,
        table: &EntryTable,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        if !is_call(self.list, call) {
            return;
        }
        self.list = None;
        self.backoff = self.settings.retry_min;
        for object in objects {
            self.compare(object, table, effects);
        }
        let last = objects.last().map(|object| object.key.clone());
        self.audit = match last.filter(|_| more) {
            Some(last) => AuditPhase::Listing { after: Some(last) },
            None => AuditPhase::Reading,
        };
        self.drive(now, table, effects);
    }

    fn compare(
        &mut self,
        object: &ListedObject,
        table: &EntryTable,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let Some(key) = key::entry_key(&object.key) else {
            effects.push(CatalogueEffect::Count(Counter::Event("catalogue_strange_keys")));
            return;
        };
        let known = table.newest_version(&key).unwrap_or_default();
        if object.version.0 <= known.0 {
            return;
        }
        if self.wanted.len() >= self.settings.max_entries {
            effects.push(CatalogueEffect::Count(Counter::Dropped(DropReason::BufferFull)));
            return;
        }
        self.wanted.insert(object.key.clone());
    }

    fn finish_audit(&mut self, now: MonoTime) -> bool {
        let read = self.wanted.is_empty() && self.reads.is_empty();
        if self.audit != AuditPhase::Reading || !read {
            return false;
        }
        self.audit = AuditPhase::Idle;
        self.next_audit = now + self.settings.audit_interval;
        true
    }

    fn failed(
        &mut self,
        now: MonoTime,
        call: CallId,
        failure: StoreFailure,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let own = self.forget(call);
        if !own {
            return;
        }
        effects.push(CatalogueEffect::Count(Counter::Retried(RetryReason::StoreUnavailable)));
        let asked = match failure {
            StoreFailure::Throttled { retry_after_ms } => Duration::from_millis(retry_after_ms),
            _ => Duration::ZERO,
        };
        self.back_off(now, asked);
    }

    /// Gives a call up; a read is wanted again. Whether it was a call of this feed's.
    fn forget(&mut self, call: CallId) -> bool {
        for open in [&mut self.watch, &mut self.poll, &mut self.list] {
            if is_call(*open, call) {
                *open = None;
                return true;
            }
        }
        let read = self.reads.remove(&call);
        let own = read.is_some();
        self.wanted.extend(read.map(|read| read.key));
        own
    }

    fn back_off(&mut self, now: MonoTime, asked: Duration) {
        self.retry_at = self.retry_at.max(now + self.backoff.max(asked));
        self.backoff = (self.backoff * 2).min(self.settings.retry_max);
    }

    fn expire(&mut self, now: MonoTime, effects: &mut Vec<CatalogueEffect>) {
        if self.watch.is_some_and(|watch| now >= watch.deadline) {
            self.watch = None;
            effects.push(CatalogueEffect::Count(Counter::Event("catalogue_watches_hung")));
        }
        let late = |open: &OpenCall| now >= open.deadline;
        let mut expired: Vec<CallId> = [self.poll, self.list]
            .iter()
            .flatten()
            .filter(|open| late(open))
            .map(|open| open.call)
            .collect();
        let reads = self.reads.iter().filter(|(_, read)| now >= read.deadline);
        expired.extend(reads.map(|(call, _)| *call));
        for call in &expired {
            self.forget(*call);
            effects.push(CatalogueEffect::Count(Counter::Retried(RetryReason::StoreUnavailable)));
        }
        if !expired.is_empty() {
            self.back_off(now, Duration::ZERO);
        }
    }
}

fn is_call(open: Option<OpenCall>, call: CallId) -> bool {
    open.is_some_and(|open| open.call == call)
}
