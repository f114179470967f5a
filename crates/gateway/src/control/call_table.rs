//! Calls to shards' owners that are not yet answered.

use std::{collections::BTreeSet, time::Duration};

use notch_messages::prelude::ShardRequest;
use notch_types::prelude::*;

use crate::control::step::ShardReply;

/// First and longest wait before a call is sent again.
const RETRY_MIN: Duration = Duration::from_millis(50);
const RETRY_MAX: Duration = Duration::from_millis(1_000);
/// Calls that may be open; more are refused as overloaded.
const MAX_CALLS: usize = 50_000;

/// A call not yet answered.
#[derive(Debug)]
pub struct OpenCall {
    /// Which shard is asked.
    pub shard: ShardId,
    /// What.
    pub request: Box<ShardRequest>,
    /// Where the answer goes.
    pub reply: ShardReply,
    /// When it is given up.
    pub deadline: MonoTime,
    /// Whether it ever left for an owner: from then on nobody can say that it had no effect.
    pub sent: bool,
    /// When it is looked at again; the deadline at the latest.
    due: MonoTime,
    backoff: Duration,
}

/// Open calls and their timers.
#[derive(Debug, Default)]
pub struct CallTable {
    /// Bound: `MAX_CALLS`; each leaves at its deadline at the latest.
    calls: FastMap<CallId, OpenCall>,
    /// Every open call by its `due`: exactly one element a call.
    timers: BTreeSet<(MonoTime, CallId)>,
    last: u64,
}

impl CallTable {
    /// Whether no further call may be opened.
    pub fn is_full(&self) -> bool {
        self.calls.len() >= MAX_CALLS
    }

    /// Opens a call that is due at once.
    pub fn open(
        &mut self,
        now: MonoTime,
        shard: ShardId,
        request: Box<ShardRequest>,
        reply: ShardReply,
    ) -> CallId {
        self.last += 1;
        let call = CallId(self.last);
        let deadline = now + patience(&request);
        let open =
            OpenCall { shard, request, reply, deadline, sent: false, due: now, backoff: RETRY_MIN };
        self.calls.insert(call, open);
        self.timers.insert((now, call));
        call
    }

    /// A call that is still open.
    pub fn get_mut(&mut self, call: CallId) -> Option<&mut OpenCall> {
        self.calls.get_mut(&call)
    }

    /// Whether a call is still open.
    pub fn contains(&self, call: CallId) -> bool {
        self.calls.contains_key(&call)
    }

    /// When the next call is due.
    pub fn next_due(&self) -> Option<MonoTime> {
        self.timers.first().map(|(due, _)| *due)
    }

    /// A call that is due.
    pub fn first_due(&self, now: MonoTime) -> Option<CallId> {
        self.timers.first().filter(|(due, _)| *due <= now).map(|(_, call)| *call)
    }

    /// Moves a call's timer; the deadline is never passed over.
    pub fn set_due(&mut self, call: CallId, due: MonoTime) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        self.timers.remove(&(open.due, call));
        open.due = due.min(open.deadline);
        self.timers.insert((open.due, call));
    }

    /// Sets the time of the next try, twice as far off each time.
    pub fn back_off(&mut self, now: MonoTime, call: CallId) {
        let Some(open) = self.calls.get_mut(&call) else { return };
        let due = now + open.backoff;
        open.backoff = (open.backoff * 2).min(RETRY_MAX);
        self.set_due(call, due);
    }

    /// Takes a call out.
    pub fn close(&mut self, call: CallId) -> Option<OpenCall> {
        let open = self.calls.remove(&call)?;
        self.timers.remove(&(open.due, call));
        Some(open)
    }
}

/// How long a call is tried before it is given up.
fn patience(request: &ShardRequest) -> Duration {
    match request {
        ShardRequest::Pull(_) => Duration::from_secs(2),
        ShardRequest::Claim { .. } | ShardRequest::FetchAnswer { .. } => Duration::from_secs(3),
        ShardRequest::SubmitJob(_) | ShardRequest::CancelJob { .. } => Duration::from_secs(20),
        _ => Duration::from_secs(10),
    }
}
