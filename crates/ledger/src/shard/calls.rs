//! The calls that wait for an answer.

use std::collections::BTreeMap;

use notch_types::prelude::*;

/// What a call is for; decides who gets its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallPurpose {
    /// A look at the head by a node that doesn't own the shard.
    Poll,
    /// A write of the head.
    HeadPut,
    /// A read of the head that settles a write.
    HeadGet,
    /// A part of the snapshot, for replay.
    ReplayPart(usize),
    /// A segment, for replay.
    ReplaySegment(usize),
    /// A piece of the batch to be committed next.
    SealPut(usize),
    /// A part of a new snapshot.
    SnapshotPut(usize),
    /// A listing of chunks that an append names.
    ChunkList,
    /// A page of the sweep for garbage.
    SweepList,
    /// A deletion of garbage.
    SweepDelete,
}

/// An open call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct OpenCall {
    /// What it's for.
    pub(crate) purpose: CallPurpose,
    /// When it was made.
    pub(crate) issued: MonoTime,
}

/// Open calls by id. Bounded: each purpose has a bounded number of calls in flight, and a call
/// without an answer is given up after the call time-out.
#[derive(Debug)]
pub(crate) struct CallBook {
    next: u64,
    open: BTreeMap<CallId, OpenCall>,
}

impl CallBook {
    /// Ids carry the shard in their high bits, so that shards of one process never share one.
    pub(crate) fn new(shard: ShardId) -> Self {
        Self { next: u64::from(shard.0) << 48, open: BTreeMap::new() }
    }

    /// Opens a call.
    pub(crate) fn open(&mut self, purpose: CallPurpose, issued: MonoTime) -> CallId {
        let call = CallId(self.next);
        self.next += 1;
        self.open.insert(call, OpenCall { purpose, issued });
        call
    }

    /// Closes a call; `None` when it was given up before.
    pub(crate) fn close(&mut self, call: CallId) -> Option<OpenCall> {
        self.open.remove(&call)
    }

    /// Gives up the calls that `given_up` names: their answers will be dropped.
    pub(crate) fn abandon(&mut self, given_up: impl Fn(&CallPurpose) -> bool) {
        self.open.retain(|_, call| !given_up(&call.purpose));
    }

    /// The oldest open call, and when it was made. Ids rise with time, so it comes first.
    pub(crate) fn oldest(&self) -> Option<(CallId, MonoTime)> {
        self.open.first_key_value().map(|(call, open)| (*call, open.issued))
    }
}
