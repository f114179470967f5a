//! The state machine of one shard.

mod backoff;
mod calls;
mod claim;
mod context;
mod owner;
mod watch;
mod window;
mod write;

use notch_types::{
    object::{StoreFailure, StoreResult},
    prelude::*,
};

use self::{
    claim::{ClaimStep, ShardClaim},
    context::{ShardCore, StageContext},
    owner::{ArrivedAppend, OwnerStep, ShardOwner},
    watch::{HeadWatch, WatchStep},
    write::FoundHead,
};
use crate::{
    effect::{RejectCertainty, RejectReason, ShardEffect},
    event::{ShardEvent, ShardStanding},
    place::RecordPlace,
    seq::Seq,
    settings::ShardSettings,
};

/// What the node is to the shard.
#[derive(Debug)]
enum ShardStage {
    /// Not the owner.
    Watching,
    /// Trying to become it.
    Claiming(Box<ShardClaim>),
    /// The owner, as far as it knows; what it does is decided by the head's version alone.
    Owning(Box<ShardOwner>),
}

/// One node's view of one shard, and its part in owning it.
#[derive(Debug)]
pub struct LedgerShard {
    core: ShardCore,
    watch: HeadWatch,
    stage: ShardStage,
}

impl LedgerShard {
    /// A shard not yet looked at. `seed` feeds the jitter and, with writer and incarnation, the
    /// nonces.
    pub fn new(settings: ShardSettings, seed: u64) -> Self {
        Self {
            core: ShardCore::new(settings, seed),
            watch: HeadWatch::new(true),
            stage: ShardStage::Watching,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Now, event: ShardEvent, effects: &mut Vec<ShardEffect>) {
        self.expire_calls(now, effects);
        match event {
            ShardEvent::StoreAnswered { call, result } => {
                self.on_answer(now, call, result, effects);
            }
            ShardEvent::Stand(standing) => self.stand(now, standing, effects),
            ShardEvent::Release => self.release(),
            ShardEvent::Tick => {}
            event => self.on_user(now, event, effects),
        }
        self.advance(now, effects);
    }

    /// Calls that never got an answer count as unknown, so that a lost answer can't stop a shard.
    fn expire_calls(&mut self, now: Now, effects: &mut Vec<ShardEffect>) {
        let timeout = self.core.settings.call_timeout;
        while let Some((call, issued)) = self.core.calls.oldest() {
            if now.mono.since(issued) < timeout {
                return;
            }
            effects.push(ShardEffect::Count(Counter::Event("ledger_calls_timed_out")));
            self.on_answer(now, call, Err(StoreFailure::Unknown), effects);
        }
    }

    fn stand(&mut self, now: Now, standing: ShardStanding, effects: &mut Vec<ShardEffect>) {
        if self.core.standing == standing {
            return;
        }
        self.core.standing = standing;
        if matches!(self.stage, ShardStage::Watching) {
            let mut ctx = StageContext { now, core: &mut self.core, effects };
            self.watch.restart(&mut ctx);
        }
    }

    fn release(&mut self) {
        self.core.retired = true;
        self.watch.stop();
        if let ShardStage::Owning(owner) = &mut self.stage {
            owner.release();
        }
    }

    fn on_user(&mut self, now: Now, event: ShardEvent, effects: &mut Vec<ShardEffect>) {
        let mut ctx = StageContext { now, core: &mut self.core, effects };
        let ShardStage::Owning(owner) = &mut self.stage else {
            if let ShardEvent::Append { ticket, .. } = event {
                ctx.reject(ticket, RejectCertainty::NotCommitted, RejectReason::NotOwner);
            }
            return;
        };
        match event {
            ShardEvent::Append { ticket, records, urgency, chunks } => {
                owner.append(ArrivedAppend { ticket, records, urgency, chunks }, &mut ctx);
            }
            ShardEvent::Withdraw { ticket } => owner.withdraw(ticket, &mut ctx),
            ShardEvent::SnapshotTaken { upto, state, needed } => {
                owner.take_snapshot(upto, state, needed, &mut ctx);
            }
            ShardEvent::SweepAnswered { sweep, unused } => {
                owner.sweep_answered(sweep, unused, &mut ctx);
            }
            ShardEvent::SegmentMissed => owner.segment_missed(),
            ShardEvent::Stand(_)
            | ShardEvent::StoreAnswered { .. }
            | ShardEvent::Release
            | ShardEvent::Tick => {}
        }
    }

    fn on_answer(
        &mut self,
        now: Now,
        call: CallId,
        result: StoreResult,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(open) = self.core.calls.close(call) else {
            effects.push(ShardEffect::Count(Counter::Dropped(DropReason::LateAnswer)));
            return;
        };
        let mut ctx = StageContext { now, core: &mut self.core, effects };
        match &mut self.stage {
            ShardStage::Watching => {
                if let WatchStep::Claim(found) = self.watch.on_poll(result, &mut ctx) {
                    let claim = ShardClaim::start(found.map(|found| *found), &mut ctx);
                    self.stage = ShardStage::Claiming(Box::new(claim));
                }
            }
            ShardStage::Claiming(claim) => {
                let issued = claim.issued();
                match claim.on_answer(&open.purpose, result, &mut ctx) {
                    ClaimStep::Stay => {}
                    ClaimStep::Won(won) => {
                        let owner = ShardOwner::new(*won, issued, &mut ctx);
                        self.stage = ShardStage::Owning(Box::new(owner));
                    }
                    ClaimStep::Lost(found) => self.watch_again(now, found, effects),
                }
            }
            ShardStage::Owning(owner) => {
                if let OwnerStep::Ended(found) = owner.on_answer(&open.purpose, result, &mut ctx) {
                    self.watch_again(now, found, effects);
                }
            }
        }
    }

    fn watch_again(
        &mut self,
        now: Now,
        found: Option<Box<FoundHead>>,
        effects: &mut Vec<ShardEffect>,
    ) {
        self.core.calls.abandon(|_| true);
        self.stage = ShardStage::Watching;
        let mut ctx = StageContext { now, core: &mut self.core, effects };
        if let Some(found) = found {
            self.watch.observe(&found.head, &mut ctx);
        }
        self.watch.pause(&mut ctx);
    }

    fn advance(&mut self, now: Now, effects: &mut Vec<ShardEffect>) {
        let mut ctx = StageContext { now, core: &mut self.core, effects };
        match &mut self.stage {
            ShardStage::Watching => self.watch.tick(&mut ctx),
            ShardStage::Claiming(claim) => claim.tick(&mut ctx),
            ShardStage::Owning(owner) => owner.advance(&mut ctx),
        }
    }

    /// When to send the next `Tick`, if nothing else happens.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let settings = &self.core.settings;
        let timeout = self.core.calls.oldest().map(|(_, issued)| issued + settings.call_timeout);
        let is_preferred = self.core.standing == ShardStanding::Preferred;
        let stage = match &self.stage {
            ShardStage::Watching => self.watch.wake(),
            ShardStage::Claiming(claim) => claim.wake(),
            ShardStage::Owning(owner) => owner.wake(settings, is_preferred),
        };
        timeout.into_iter().chain(stage).min()
    }

    /// The settings given.
    pub fn settings(&self) -> &ShardSettings {
        &self.core.settings
    }

    /// The epoch held, when the shard is owned and replayed.
    pub fn owned_epoch(&self) -> Option<Epoch> {
        self.ready_owner().map(ShardOwner::epoch)
    }

    /// Whether nothing is under way: neither a takeover nor an ownership. After `Release` the
    /// process may stop once this holds.
    pub fn is_idle(&self) -> bool {
        matches!(self.stage, ShardStage::Watching)
    }

    /// Whether this node owns the shard and its lease surely runs at `now` on its own clock. An
    /// owner answers nothing from its state, and grants no lots, while it's false.
    pub fn lease_held(&self, now: Now) -> bool {
        let lease = self.core.settings.lease;
        self.ready_owner().is_some_and(|owner| owner.lease_held(now.mono, lease))
    }

    /// Where a committed record is; `None` if it isn't committed, is forgotten, or the shard
    /// isn't owned.
    pub fn locate(&self, seq: Seq) -> Option<RecordPlace<'_>> {
        let keys = self.core.keys;
        self.ready_owner().and_then(|owner| owner.locate(seq, keys))
    }

    /// Bytes accepted and not yet committed.
    pub fn queued_bytes(&self) -> usize {
        self.ready_owner().map_or(0, ShardOwner::queued_bytes)
    }

    fn ready_owner(&self) -> Option<&ShardOwner> {
        match &self.stage {
            ShardStage::Owning(owner) if owner.is_ready() => Some(owner),
            _ => None,
        }
    }
}
