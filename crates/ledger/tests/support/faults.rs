//! What can befall calls, and one node under it.

use std::collections::{BTreeMap, BTreeSet};

use notch_ledger::{LedgerShard, ShardEvent};
use notch_types::{
    object::{StoreCall, StoreOp, StoreResult},
    prelude::*,
};

/// How the store treats a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Unavailable,
    Throttled,
    /// Takes effect; the answer is lost.
    UnknownApplied,
    /// Has no effect; nobody knows.
    UnknownNotApplied,
    /// Called unknown at once, takes effect after this many milliseconds.
    AppliedLate(u64),
    /// Takes effect after this many milliseconds, and is answered then.
    Slow(u64),
    /// Takes effect, and nobody ever answers.
    Silent,
}

pub type CallFilter = fn(&StoreOp) -> bool;

/// How often calls meet faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weather {
    Fair,
    /// Each fault now and then.
    Foul,
    /// Every call is refused.
    Outage,
    /// Every answer is lost.
    Mute,
}

/// Something that comes later.
pub enum Happening {
    Arrive { node: usize, life: u64, call: StoreCall, fault: Fault },
    Answer { node: usize, life: u64, call: CallId, result: StoreResult },
    Event { node: usize, life: u64, event: ShardEvent },
    Snapshot { node: usize, life: u64 },
}

pub struct Node {
    pub shard: Option<LedgerShard>,
    pub life: u64,
    pub paused_until: u64,
    /// Every record applied since the last `Restore`, from place 0 on: the user's whole state.
    pub state: Vec<Payload>,
    pub owned: Option<Epoch>,
    /// Epochs lost so far.
    pub lost: BTreeSet<Epoch>,
    pub observed: Option<(Epoch, Option<VmName>)>,
    /// Counted events.
    pub counts: BTreeMap<Counter, u64>,
}
