//! A store that is one map, with watches that wait.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::entry::EntryKey;
use notch_types::{
    object::{
        ListedObject, ObjectVersion, StoreCall, StoreFailure, StoreOp, StoreReply, StoreResult,
        StoredObject,
    },
    prelude::*,
};

use crate::key;

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreFate {
    /// It is answered after this long (a watch when something changes).
    Answer(Duration),
    /// It fails after this long.
    Fail(Duration, StoreFailure),
    /// No answer ever comes.
    Hang,
}

/// Decides what becomes of a call.
pub type StoreRule<'a> = &'a mut dyn FnMut(&VmName, &StoreOp, MonoTime) -> StoreFate;

/// A store that answers everything in a few milliseconds.
pub fn usual_store(_from: &VmName, _op: &StoreOp, _at: MonoTime) -> StoreFate {
    StoreFate::Answer(Duration::from_millis(5))
}

/// An answer on its way: when, to whom, of which call.
pub(super) type StoreAnswer = (MonoTime, VmName, CallId, StoreResult);

/// A watch that waits.
#[derive(Debug)]
struct WaitingWatch {
    from: VmName,
    call: CallId,
    after: ObjectVersion,
    until: MonoTime,
    delay: Duration,
}

/// A store that is one map. Only the catalogue lies in it.
#[derive(Debug, Default)]
pub struct MemoryStore {
    objects: BTreeMap<String, StoredObject>,
    version: u64,
    watches: Vec<WaitingWatch>,
    calls: u64,
}

impl MemoryStore {
    /// Writes an entry, valid or not; its version.
    pub fn put(&mut self, now: MonoTime, key: &EntryKey, text: &str) -> EntryVersion {
        self.version += 1;
        let object = StoredObject {
            key: key::object_key(key),
            version: ObjectVersion(self.version),
            value: Some(Payload::from(text)),
            written_at: WallTime(now.0 / 1_000),
        };
        self.objects.insert(object.key.clone(), object);
        EntryVersion(self.version)
    }

    /// An entry's object.
    pub fn object(&self, key: &EntryKey) -> Option<&StoredObject> {
        self.objects.get(&key::object_key(key))
    }

    /// Calls since the last time of asking.
    pub fn take_calls(&mut self) -> u64 {
        std::mem::take(&mut self.calls)
    }

    /// Takes a call; its answer unless it waits.
    pub(super) fn call(
        &mut self,
        now: MonoTime,
        from: &VmName,
        call: StoreCall,
        rule: StoreRule<'_>,
    ) -> Option<StoreAnswer> {
        self.calls += 1;
        match rule(from, &call.op, now) {
            StoreFate::Hang => None,
            StoreFate::Fail(delay, failure) => {
                Some((now + delay, from.clone(), call.call, Err(failure)))
            }
            StoreFate::Answer(delay) => self.serve(now, from, call, delay),
        }
    }

    /// Answers of watches whose wait is over or that have something to tell.
    pub(super) fn ripe(&mut self, now: MonoTime) -> Vec<StoreAnswer> {
        let newest = self.version;
        let (ripe, waiting) = std::mem::take(&mut self.watches)
            .into_iter()
            .partition(|watch| watch.until <= now || watch.after.0 < newest);
        self.watches = waiting;
        let answer = |watch: WaitingWatch| {
            let reply = self.changes(watch.after);
            (now + watch.delay, watch.from, watch.call, Ok(reply))
        };
        let ripe: Vec<WaitingWatch> = ripe;
        ripe.into_iter().map(answer).collect()
    }

    /// When the next waiting watch is over.
    pub fn next_at(&self) -> Option<MonoTime> {
        self.watches.iter().map(|watch| watch.until).min()
    }

    fn serve(
        &mut self,
        now: MonoTime,
        from: &VmName,
        call: StoreCall,
        delay: Duration,
    ) -> Option<StoreAnswer> {
        let reply = match call.op {
            StoreOp::Get { key } => StoreReply::Object(self.objects.get(&key).cloned()),
            StoreOp::List { after, limit, .. } => self.list(now, after.as_deref(), limit as usize),
            StoreOp::Watch { after, wait_ms, .. } => {
                let until = now + Duration::from_millis(wait_ms);
                let (from, call) = (from.clone(), call.call);
                self.watches.push(WaitingWatch { from, call, after, until, delay });
                return None;
            }
            StoreOp::Put { .. } | StoreOp::Delete { .. } => StoreReply::Deleted,
        };
        Some((now + delay, from.clone(), call.call, Ok(reply)))
    }

    fn list(&self, now: MonoTime, after: Option<&str>, limit: usize) -> StoreReply {
        let later = self.objects.values().filter(|object| Some(object.key.as_str()) > after);
        let line = |object: &StoredObject| ListedObject {
            key: object.key.clone(),
            version: object.version,
            written_at: object.written_at,
        };
        let mut objects: Vec<ListedObject> = later.take(limit + 1).map(line).collect();
        let more = objects.len() > limit;
        objects.truncate(limit);
        StoreReply::Listing { objects, store_time: WallTime(now.0 / 1_000), more }
    }

    /// Changes above a version, a page of them, in version order.
    fn changes(&self, after: ObjectVersion) -> StoreReply {
        const PAGE: usize = 500;
        let newer = self.objects.values().filter(|object| object.version > after);
        let mut objects: Vec<StoredObject> = newer.cloned().collect();
        objects.sort_by_key(|object| object.version);
        let cut = objects.len() > PAGE;
        objects.truncate(PAGE);
        let last = objects.last().map(|object| object.version);
        let upto = last.filter(|_| cut).unwrap_or(ObjectVersion(self.version));
        StoreReply::Changes { objects, upto }
    }
}
