//! A node that doesn't own the shard: looks at the head now and then, and decides to take over.

use std::time::Duration;

use notch_types::{
    object::{ObjectVersion, StoreFailure, StoreReply, StoreResult, StoredObject},
    prelude::*,
};
use rand::RngExt;

use crate::{
    effect::ShardEffect,
    event::ShardStanding,
    head::LedgerHead,
    shard::{
        calls::CallPurpose,
        context::{ShardCore, StageContext},
        write::FoundHead,
    },
};

/// A version of the head, and for how long it has been seen unchanged.
#[derive(Debug)]
struct SeenHead {
    /// `None` while there is no head.
    version: Option<ObjectVersion>,
    /// When the first answer with this version came.
    since: MonoTime,
    /// When the newest one came.
    last: MonoTime,
}

/// What a look at the head leads to.
#[derive(Debug)]
pub(crate) enum WatchStep {
    /// Go on looking.
    Stay,
    /// Take the shard over from this head (`None`: create it).
    Claim(Option<Box<FoundHead>>),
}

/// Watches the head from outside.
///
/// The takeover rule uses this node's own monotonic clock only: the version must have been the
/// same for a whole lease. A gap in the observation starts it anew: else, after an outage of the
/// store during which no owner could renew, every standby would take over at its first look, and
/// all shards would move at once. The rule only saves work; the version decides.
#[derive(Debug)]
pub(crate) struct HeadWatch {
    next_poll: Option<MonoTime>,
    /// When the open poll was sent.
    polling: Option<MonoTime>,
    seen: Option<SeenHead>,
    observed: Option<(Epoch, Option<VmName>)>,
    /// Whether this process may still take over at once from an earlier process of its VM. Once
    /// only: two live processes by one VM name would take the shard from each other for ever.
    may_succeed: bool,
}

impl HeadWatch {
    pub(crate) fn new(may_succeed: bool) -> Self {
        Self { next_poll: None, polling: None, seen: None, observed: None, may_succeed }
    }

    /// Plans the first look after a change of standing or of stage.
    pub(crate) fn restart(&mut self, ctx: &mut StageContext<'_>) {
        self.next_poll = poll_interval(ctx.core).map(|interval| {
            let wait = match ctx.core.standing {
                ShardStanding::Preferred => Duration::ZERO,
                _ => interval.mul_f64(ctx.core.rng.random_range(0.0..1.0)),
            };
            ctx.now.mono + wait
        });
    }

    /// Plans the next look after a claim or an ownership has ended. What was seen so far still
    /// counts, unless the gap is too long.
    pub(crate) fn pause(&mut self, ctx: &mut StageContext<'_>) {
        self.polling = None;
        self.next_poll = poll_interval(ctx.core)
            .map(|interval| ctx.now.mono + interval.mul_f64(ctx.core.rng.random_range(0.5..1.0)));
    }

    /// Looks no more.
    pub(crate) fn stop(&mut self) {
        self.next_poll = None;
    }

    /// Remembers a head known from elsewhere, so that the owner's name is told.
    pub(crate) fn observe(&mut self, head: &LedgerHead, ctx: &mut StageContext<'_>) {
        let observed = (head.epoch, head.owner.clone());
        if self.observed.as_ref() != Some(&observed) {
            let (epoch, owner) = observed.clone();
            ctx.effects.push(ShardEffect::Observed { epoch, owner });
            self.observed = Some(observed);
        }
    }

    pub(crate) fn wake(&self) -> Option<MonoTime> {
        if self.polling.is_some() { None } else { self.next_poll }
    }

    /// Looks when it's time.
    pub(crate) fn tick(&mut self, ctx: &mut StageContext<'_>) {
        if self.polling.is_none() && self.next_poll.is_some_and(|poll| poll <= ctx.now.mono) {
            self.polling = Some(ctx.now.mono);
            let key = ctx.core.keys.head();
            ctx.get(CallPurpose::Poll, key);
        }
    }

    /// Takes a poll's answer.
    pub(crate) fn on_poll(&mut self, result: StoreResult, ctx: &mut StageContext<'_>) -> WatchStep {
        let Some(asked) = self.polling.take() else { return WatchStep::Stay };
        let Some(interval) = poll_interval(ctx.core) else {
            self.next_poll = None;
            return WatchStep::Stay;
        };
        let jitter = ctx.core.rng.random_range(0.9..1.1);
        let patience = match &result {
            Err(StoreFailure::Throttled { retry_after_ms }) => {
                Duration::from_millis(*retry_after_ms)
            }
            _ => Duration::ZERO,
        };
        self.next_poll = Some(ctx.now.mono + interval.mul_f64(jitter).max(patience));
        match result {
            Ok(StoreReply::Object(object)) => self.look(object, asked, interval, ctx),
            _ => {
                ctx.count_retry(RetryReason::StoreUnavailable);
                WatchStep::Stay
            }
        }
    }

    fn look(
        &mut self,
        object: Option<StoredObject>,
        asked: MonoTime,
        interval: Duration,
        ctx: &mut StageContext<'_>,
    ) -> WatchStep {
        let version = object.as_ref().map(|object| object.version);
        self.see(version, asked, interval, ctx.now.mono);
        let Some(object) = object else {
            return self.if_ripe(None, asked, ctx);
        };
        let value = object.value.unwrap_or_default();
        let Ok(head) = LedgerHead::decode(&value) else {
            ctx.count("ledger_head_undecodable");
            return WatchStep::Stay;
        };
        self.observe(&head, ctx);
        let found = FoundHead { head, version: object.version };
        self.if_ripe(Some(Box::new(found)), asked, ctx)
    }

    /// Notes the version, starting anew when it has changed or wasn't watched closely enough.
    fn see(
        &mut self,
        version: Option<ObjectVersion>,
        asked: MonoTime,
        interval: Duration,
        now: MonoTime,
    ) {
        let longest_gap = interval * 2;
        match &mut self.seen {
            Some(seen) if seen.version == version && asked.since(seen.last) <= longest_gap => {
                seen.last = now;
            }
            _ => self.seen = Some(SeenHead { version, since: now, last: now }),
        }
    }

    /// Claims the shard if the head has been left alone long enough.
    fn if_ripe(
        &mut self,
        found: Option<Box<FoundHead>>,
        asked: MonoTime,
        ctx: &mut StageContext<'_>,
    ) -> WatchStep {
        let Some(seen) = &self.seen else { return WatchStep::Stay };
        let unchanged = asked.since(seen.since);
        let settings = &ctx.core.settings;
        let turn = match ctx.core.standing {
            ShardStanding::Preferred => Duration::ZERO,
            ShardStanding::Standby(rank) => settings.poll_every * 3 * u32::from(rank),
            ShardStanding::Bystander => return WatchStep::Stay,
        };
        let owned_by = found.as_deref().and_then(|found| found.head.owner.as_ref());
        let wait = match owned_by {
            None => turn,
            Some(owner) if *owner == settings.writer => {
                let mark = found.as_deref().map(|found| &found.head.writer);
                let by_me = mark.is_some_and(|mark| mark.incarnation == settings.incarnation);
                // An own claim that took effect after it was given up, or an earlier process of
                // this VM: nobody else will renew it.
                if by_me || self.may_succeed { Duration::ZERO } else { settings.lease + turn }
            }
            Some(_) => settings.lease + turn,
        };
        if wait.is_zero() || unchanged >= wait {
            self.may_succeed = false;
            WatchStep::Claim(found)
        } else {
            WatchStep::Stay
        }
    }
}

/// Time between looks, by standing; `None` when this node doesn't look.
fn poll_interval(core: &ShardCore) -> Option<Duration> {
    if core.retired {
        return None;
    }
    let settings = &core.settings;
    match core.standing {
        ShardStanding::Preferred => Some(settings.poll_every),
        ShardStanding::Standby(rank) if rank <= settings.max_standby_rank => {
            Some(settings.poll_every * (1 + 2 * u32::from(rank)))
        }
        ShardStanding::Standby(_) | ShardStanding::Bystander => None,
    }
}
