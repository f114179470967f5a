//! Takes, keeps and loses the placement lease.

use std::time::Duration;

use notch_types::{
    object::{
        ObjectVersion, StoreCall, StoreFailure, StoreOp, StoreReply, StoreResult, StoredObject,
        WriteCondition,
    },
    prelude::*,
};

use crate::{lease::LeaseRecord, settings::LeaseSettings};

/// Most writes whose outcome is unknown at once; the oldest is forgotten first, which only makes
/// the holder renew once more before it acts.
const MAX_DOUBTS: usize = 8;

/// What the holder is told.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEvent {
    /// The end of a call.
    Answer {
        /// Which call.
        call: CallId,
        /// How it ended.
        result: StoreResult,
    },
    /// This node's rank among those that may hold the lease; `None` when it may not.
    Prefer(Option<u32>),
    /// Somebody knows this epoch. A newer one than the own: stop, and read the object.
    EpochSeen(Epoch),
    /// Give the lease up and don't take it again.
    Leave,
    /// The time asked for by `next_wake` came.
    Tick,
}

/// What the holder wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseEffect {
    /// Make this call.
    Call(StoreCall),
    /// The lease is held now, at this epoch.
    Gained(Epoch),
    /// The lease of this epoch is another's now, or given up.
    Lost(Epoch),
    /// The object says that this epoch is in force.
    EpochKnown(Epoch),
    /// Count.
    Count(Counter),
}

/// The record last read while another held the lease.
#[derive(Debug, Clone, Copy)]
struct SeenVersion {
    version: ObjectVersion,
    /// When the answer that first showed it came.
    since: MonoTime,
}

/// The lease in own hands.
#[derive(Debug, Clone, Copy)]
struct HeldLease {
    epoch: Epoch,
    version: ObjectVersion,
    /// When the newest write that surely took effect was sent. `None`: nothing may be ordered
    /// until a renewal succeeds.
    renewed: Option<MonoTime>,
}

#[derive(Debug, Clone, Copy)]
enum CallKind {
    Read,
    Write(LeaseWrite),
}

/// A write on its way.
#[derive(Debug, Clone, Copy)]
struct LeaseWrite {
    epoch: Epoch,
    nonce: u64,
    sent: MonoTime,
    released: bool,
}

#[derive(Debug, Clone, Copy)]
struct OpenCall {
    call: CallId,
    kind: CallKind,
    sent: MonoTime,
}

/// Takes, keeps and loses the lease. At most one call is open at a time, so the holder's load on
/// the object API is bounded by its paces.
#[derive(Debug)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    rank: Option<u32>,
    leaving: bool,
    held: Option<HeldLease>,
    seen: Option<SeenVersion>,
    /// Writes whose answer was lost; at most [`MAX_DOUBTS`].
    doubts: Vec<LeaseWrite>,
    open: Option<OpenCall>,
    /// Whether what is known of the object may be out of date: the next call is a read.
    must_read: bool,
    /// When to make the next call; `None` while there is nothing to do.
    wake: Option<MonoTime>,
    backoff: Duration,
    next_call: u64,
    next_nonce: u64,
    /// Highest epoch known from anywhere: a lease made anew begins above it.
    epoch_floor: Epoch,
}

impl LeaseHolder {
    /// A node that knows nothing of the lease yet, and doesn't look before it has a rank.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            backoff: settings.backoff_min,
            settings,
            rank: None,
            leaving: false,
            held: None,
            seen: None,
            doubts: Vec::new(),
            open: None,
            must_read: false,
            wake: None,
            next_call: 1,
            next_nonce: 1,
            epoch_floor: Epoch(0),
        }
    }

    /// The epoch under which orders may be given at `now`.
    ///
    /// A holder that was paused would go on ordering although its lease lapsed meanwhile and
    /// another took over. It would show as two epochs ordering at once. The lease counts from
    /// the sending of the last write that took effect, which is before anyone else could have
    /// seen it, so it is over here before it is over for any other.
    pub fn valid_epoch(&self, now: MonoTime) -> Option<Epoch> {
        let held = self.held.filter(|_| !self.leaving)?;
        let end = held.renewed? + self.settings.lease - self.settings.margin;
        (now < end).then_some(held.epoch)
    }

    /// The epoch held, whether or not the lease still runs on the own clock.
    pub fn held_epoch(&self) -> Option<Epoch> {
        self.held.map(|held| held.epoch)
    }

    /// When the next `Tick` is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let timeout = self.open.map(|open| open.sent + self.settings.call_timeout);
        timeout.or(self.wake)
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: LeaseEvent, effects: &mut Vec<LeaseEffect>) {
        match event {
            LeaseEvent::Answer { call, result } => self.take_answer(now, call, result, effects),
            LeaseEvent::Prefer(rank) => self.prefer(now, rank),
            LeaseEvent::EpochSeen(epoch) => self.see_epoch(now, epoch),
            LeaseEvent::Leave => self.leave(now),
            LeaseEvent::Tick => self.expire_call(now, effects),
        }
        self.act(now, effects);
    }

    fn prefer(&mut self, now: Now, rank: Option<u32>) {
        self.rank = rank.filter(|rank| *rank <= self.settings.max_standby_rank);
        if self.held.is_some() || self.leaving {
            return;
        }
        self.wake = match self.rank {
            Some(_) => Some(self.wake.unwrap_or(now.mono)),
            None => None,
        };
    }

    fn see_epoch(&mut self, now: Now, epoch: Epoch) {
        self.epoch_floor = self.epoch_floor.max(epoch);
        if let Some(held) = self.held.as_mut().filter(|held| held.epoch < epoch) {
            held.renewed = None;
            self.must_read = true;
            self.wake = Some(now.mono);
        }
    }

    fn leave(&mut self, now: Now) {
        self.leaving = true;
        self.wake = self.held.map(|_| now.mono);
    }

    fn expire_call(&mut self, now: Now, effects: &mut Vec<LeaseEffect>) {
        let Some(open) = self.open else { return };
        if now.mono >= open.sent + self.settings.call_timeout {
            self.take_answer(now, open.call, Err(StoreFailure::Unknown), effects);
        }
    }

    fn take_answer(
        &mut self,
        now: Now,
        call: CallId,
        result: StoreResult,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(open) = self.open.take_if(|open| open.call == call) else {
            effects.push(LeaseEffect::Count(Counter::Dropped(DropReason::LateAnswer)));
            return;
        };
        match (open.kind, result) {
            (CallKind::Read, Ok(StoreReply::Object(object))) => {
                self.backoff = self.settings.backoff_min;
                self.must_read = false;
                self.take_object(now, open.sent, object, effects);
            }
            (CallKind::Write(write), Ok(StoreReply::Written(version))) => {
                self.backoff = self.settings.backoff_min;
                self.take_written(now, write, version, effects);
            }
            (CallKind::Write(_), Err(StoreFailure::Conflict(_))) => {
                effects.push(retried(RetryReason::WriteConflict));
                self.doubt_version();
                self.wake = Some(now.mono);
            }
            (kind, result) => self.take_failure(now, kind, result, effects),
        }
    }

    fn take_failure(
        &mut self,
        now: Now,
        kind: CallKind,
        result: StoreResult,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let mut pause = self.backoff;
        match result {
            Err(StoreFailure::Throttled { retry_after_ms }) => {
                effects.push(retried(RetryReason::StoreUnavailable));
                pause = pause.max(Duration::from_millis(retry_after_ms));
            }
            Err(StoreFailure::Unavailable | StoreFailure::TooLarge) => {
                effects.push(retried(RetryReason::StoreUnavailable));
            }
            _ => {
                if let CallKind::Write(write) = kind {
                    effects.push(retried(RetryReason::AmbiguousWrite));
                    self.must_read = true;
                    self.remember_doubt(write);
                }
            }
        }
        self.wake = Some(now.mono + pause);
        self.backoff = (self.backoff * 2).min(self.settings.backoff_max);
    }

    fn remember_doubt(&mut self, write: LeaseWrite) {
        if self.doubts.len() >= MAX_DOUBTS {
            self.doubts.remove(0);
        }
        self.doubts.push(write);
    }

    /// The object has another version than the one known: nothing is ordered until it's read.
    fn doubt_version(&mut self) {
        if let Some(held) = &mut self.held {
            held.renewed = None;
        }
        self.seen = None;
        self.must_read = true;
    }

    fn take_written(
        &mut self,
        now: Now,
        write: LeaseWrite,
        version: ObjectVersion,
        effects: &mut Vec<LeaseEffect>,
    ) {
        // Every write in doubt was conditional on an older version: none can take effect now.
        self.doubts.clear();
        if write.released {
            return self.step_down(effects);
        }
        self.adopt(now, write.epoch, version, Some(write.sent), effects);
    }

    /// The object shows that the lease is ours at this version.
    fn adopt(
        &mut self,
        now: Now,
        epoch: Epoch,
        version: ObjectVersion,
        renewed: Option<MonoTime>,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let gained = self.held.is_none();
        self.held = Some(HeldLease { epoch, version, renewed });
        self.seen = None;
        self.epoch_floor = self.epoch_floor.max(epoch);
        let next = renewed.map_or(now.mono, |renewed| renewed + self.settings.renew);
        self.wake = Some(next.max(now.mono));
        if gained {
            effects.push(LeaseEffect::Gained(epoch));
            effects.push(LeaseEffect::EpochKnown(epoch));
        }
    }

    fn take_object(
        &mut self,
        now: Now,
        sent: MonoTime,
        object: Option<StoredObject>,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let Some(object) = object else {
            return self.take_absence(now, effects);
        };
        let record = object.value.as_ref().and_then(LeaseRecord::decode);
        let Some(record) = record else {
            return self.watch(now, sent, &object, None, effects);
        };
        self.epoch_floor = self.epoch_floor.max(record.epoch);
        let own = record.writer == self.settings.vm
            && record.incarnation == self.settings.incarnation
            && !record.released;
        match own {
            true => self.take_own(now, &record, object.version, effects),
            false => self.watch(now, sent, &object, Some(&record), effects),
        }
    }

    /// Nobody has held the lease yet, or its object was deleted.
    fn take_absence(&mut self, now: Now, effects: &mut Vec<LeaseEffect>) {
        self.step_down(effects);
        self.seen = None;
        match self.may_take() {
            true => self.write(now, WriteCondition::IfAbsent, self.raised(None), effects),
            false => self.wake = self.poll_pause().map(|pause| now.mono + pause),
        }
    }

    /// A record of our own: a write whose answer was lost took effect.
    fn take_own(
        &mut self,
        now: Now,
        record: &LeaseRecord,
        version: ObjectVersion,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let write = self.doubts.iter().find(|write| write.nonce == record.nonce).copied();
        let known = self.held.filter(|held| held.version == version).and_then(|h| h.renewed);
        let renewed = write.map(|write| write.sent).max(known);
        if self.held.is_none_or(|held| held.version != version) {
            // The others in doubt were conditional on an older version.
            self.doubts.clear();
        }
        self.adopt(now, record.epoch, version, renewed, effects);
    }

    /// Another's record: waits until it has stood still for the lease's length.
    fn watch(
        &mut self,
        now: Now,
        sent: MonoTime,
        object: &StoredObject,
        record: Option<&LeaseRecord>,
        effects: &mut Vec<LeaseEffect>,
    ) {
        self.step_down(effects);
        if let Some(record) = record {
            effects.push(LeaseEffect::EpochKnown(record.epoch));
        }
        let seen = self.seen.filter(|seen| seen.version == object.version);
        // From the first answer to the sending of this read the version was in force throughout,
        // for versions are never reused.
        let still = seen.map_or(Duration::ZERO, |seen| sent.since(seen.since));
        let released = record.is_some_and(|record| record.released);
        if self.may_take() && (released || still >= self.settings.lease) {
            let epoch = self.raised(record.is_none().then_some(object.version));
            return self.write(now, WriteCondition::IfVersion(object.version), epoch, effects);
        }
        let since = seen.map_or(now.mono, |seen| seen.since);
        self.seen = Some(SeenVersion { version: object.version, since });
        self.wake = self.poll_pause().map(|pause| now.mono + pause);
    }

    fn step_down(&mut self, effects: &mut Vec<LeaseEffect>) {
        if let Some(held) = self.held.take() {
            effects.push(LeaseEffect::Lost(held.epoch));
        }
        self.wake = None;
    }

    fn act(&mut self, now: Now, effects: &mut Vec<LeaseEffect>) {
        let due = self.wake.is_some_and(|wake| wake <= now.mono);
        if !due || self.open.is_some() {
            return;
        }
        match self.held {
            Some(held) if !self.must_read => {
                let condition = WriteCondition::IfVersion(held.version);
                self.write(now, condition, held.epoch, effects);
            }
            _ => self.read(now, effects),
        }
    }

    fn read(&mut self, now: Now, effects: &mut Vec<LeaseEffect>) {
        let op = StoreOp::Get { key: self.settings.key.clone() };
        self.call(now, CallKind::Read, op, effects);
    }

    fn write(
        &mut self,
        now: Now,
        condition: WriteCondition,
        epoch: Epoch,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let write =
            LeaseWrite { epoch, nonce: self.next_nonce, sent: now.mono, released: self.leaving };
        self.next_nonce += 1;
        let record = LeaseRecord {
            epoch,
            writer: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            nonce: write.nonce,
            released: write.released,
        };
        let key = self.settings.key.clone();
        let op = StoreOp::Put { key, value: record.encode(), condition };
        self.call(now, CallKind::Write(write), op, effects);
    }

    fn call(&mut self, now: Now, kind: CallKind, op: StoreOp, effects: &mut Vec<LeaseEffect>) {
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.open = Some(OpenCall { call, kind, sent: now.mono });
        self.wake = None;
        effects.push(LeaseEffect::Call(StoreCall { call, op }));
    }

    fn may_take(&self) -> bool {
        self.rank.is_some() && !self.leaving
    }

    fn poll_pause(&self) -> Option<Duration> {
        let rank = self.rank.filter(|_| !self.leaving)?;
        Some(self.settings.standby_poll * (rank + 1))
    }

    /// An epoch above every one known. `unread` is the version of a record that can't be read:
    /// epochs never overtake the object's versions, so the next one is surely above it.
    fn raised(&self, unread: Option<ObjectVersion>) -> Epoch {
        let unread = unread.map_or(0, |version| version.0);
        Epoch(self.epoch_floor.0.max(unread).saturating_add(1))
    }
}

fn retried(reason: RetryReason) -> LeaseEffect {
    LeaseEffect::Count(Counter::Retried(reason))
}
