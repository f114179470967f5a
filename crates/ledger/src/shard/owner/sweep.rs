//! Deletes what nothing names.

use std::collections::{BTreeMap, VecDeque};

use notch_types::{
    object::{ListedObject, StoreOp, StoreReply, StoreResult, WriteCondition},
    prelude::*,
};
use rand::RngExt;

use crate::{
    effect::ShardEffect,
    event::SweepId,
    shard::{
        backoff::RetryBackoff, calls::CallPurpose, context::StageContext, owner::chunk_check::age,
    },
};

/// Which objects a page lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SweepRealm {
    /// The shard's segments and snapshots.
    Ledger,
    /// The chunks of its jobs.
    Chunks,
}

/// Where the sweep stands.
#[derive(Debug, PartialEq, Eq)]
enum SweepState {
    /// Waits for its time.
    Resting,
    /// A page has been asked for.
    Listing,
    /// Old keys nothing named; waits for a write of the head that is issued after the listing.
    Confirming { keys: Vec<String>, serial: u64 },
    /// The user looks through chunk keys.
    Asking { sweep: SweepId, keys: Vec<String> },
    /// Keys on their way out.
    Deleting,
}

/// When a key was first seen without a name, and by which sweep last.
#[derive(Debug, Clone, Copy)]
struct UnnamedSince {
    since: MonoTime,
    round: u64,
}

/// A page of a listing.
#[derive(Debug)]
pub(crate) struct ListedPage {
    pub(crate) objects: Vec<ListedObject>,
    /// The store's clock when it answered.
    pub(crate) store_time: WallTime,
}

/// Goes through the shard's objects page by page, slowly.
///
/// Why nothing that is or will be named is ever deleted:
/// - A key is only considered when older than the grace time by the store's clock.
/// - A page's keys are judged only after a write of the head that was *issued after* the page had
///   come has succeeded. So this node was the owner when the page was listed, and knows every name
///   in force. A deposed owner that still believes in its ownership never gets that far.
/// - Later owners name only objects that they write themselves, or chunks that they have seen
///   younger than half the grace time after their takeover. A judged key is neither, so the
///   deletion may arrive as late as it likes.
/// - What this owner is about to name itself (segments, snapshot parts, chunks of open appends)
///   counts as named.
/// - A segment or snapshot must have been seen without a name for a whole grace time on this
///   node's clock, so that whoever had its key from `locate` has long read it.
#[derive(Debug)]
pub(crate) struct GarbageSweep {
    state: SweepState,
    realm: SweepRealm,
    after: Option<String>,
    more: bool,
    /// When the next call may go.
    next_at: MonoTime,
    round: u64,
    /// Bounded by `max_candidates`; keys not seen again in the next round are forgotten.
    unnamed: BTreeMap<String, UnnamedSince>,
    /// At most one page.
    doomed: VecDeque<String>,
    deleting: bool,
    backoff: RetryBackoff,
}

impl GarbageSweep {
    /// The first sweep starts at a random time within the period, so that shards that start
    /// together don't sweep together.
    pub(crate) fn new(ctx: &mut StageContext<'_>) -> Self {
        let settings = &ctx.core.settings;
        let backoff = RetryBackoff::new(settings.backoff_min, settings.backoff_max);
        let wait = settings.sweep_every.mul_f64(ctx.core.rng.random_range(0.1..1.0));
        Self {
            state: SweepState::Resting,
            realm: SweepRealm::Ledger,
            after: None,
            more: false,
            next_at: ctx.now.mono + wait,
            round: 0,
            unnamed: BTreeMap::new(),
            doomed: VecDeque::new(),
            deleting: false,
            backoff,
        }
    }

    pub(crate) fn wake(&self) -> Option<MonoTime> {
        match self.state {
            SweepState::Resting | SweepState::Asking { .. } => Some(self.next_at),
            SweepState::Deleting if !self.deleting => Some(self.next_at),
            _ => None,
        }
    }

    /// Makes the next call when it's time.
    pub(crate) fn pump(&mut self, ctx: &mut StageContext<'_>) {
        if ctx.now.mono < self.next_at {
            return;
        }
        match self.state {
            SweepState::Resting => self.list(ctx),
            SweepState::Deleting if !self.deleting => self.delete_next(ctx),
            // No answer for a whole period: the page is left for the next sweep.
            SweepState::Asking { .. } => self.page_done(ctx),
            _ => {}
        }
    }

    fn list(&mut self, ctx: &mut StageContext<'_>) {
        let prefix = match self.realm {
            SweepRealm::Ledger => ctx.core.keys.prefix(),
            SweepRealm::Chunks => ctx.core.keys.chunk_prefix(),
        };
        let limit = ctx.core.settings.sweep_page;
        self.state = SweepState::Listing;
        let op = StoreOp::List { prefix, after: self.after.clone(), limit };
        ctx.call(CallPurpose::SweepList, op);
    }

    /// Takes a page; gives its objects for [`GarbageSweep::weigh`].
    pub(crate) fn on_list(
        &mut self,
        result: StoreResult,
        ctx: &mut StageContext<'_>,
    ) -> Option<ListedPage> {
        if self.state != SweepState::Listing {
            return None;
        }
        let (objects, store_time, more) = match result {
            Ok(StoreReply::Listing { objects, store_time, more }) => (objects, store_time, more),
            other => {
                ctx.count_retry(RetryReason::StoreUnavailable);
                let delay = self.backoff.next(other.err(), &mut ctx.core.rng);
                self.rest(ctx.now.mono + delay);
                return None;
            }
        };
        self.backoff.reset();
        self.more = more && !objects.is_empty();
        self.after = objects.last().map(|object| object.key.clone());
        Some(ListedPage { objects, store_time })
    }

    /// Picks the candidates among a page's objects that have no name. `serial` is the number that
    /// the next write of the head will have.
    pub(crate) fn weigh(&mut self, unnamed: ListedPage, serial: u64, ctx: &mut StageContext<'_>) {
        let grace = ctx.core.settings.grace;
        let mut keys = Vec::new();
        for object in unnamed.objects {
            let old = age(&object, unnamed.store_time) > grace;
            let ripe = self.realm == SweepRealm::Chunks || self.is_ripe(&object.key, ctx);
            if old && ripe {
                keys.push(object.key);
            }
        }
        if keys.is_empty() {
            self.page_done(ctx);
        } else {
            self.state = SweepState::Confirming { keys, serial };
        }
    }

    /// Whether a key has been without a name for a whole grace time; notes it otherwise.
    fn is_ripe(&mut self, key: &str, ctx: &StageContext<'_>) -> bool {
        let round = self.round;
        let now = ctx.now.mono;
        if let Some(unnamed) = self.unnamed.get_mut(key) {
            unnamed.round = round;
            return now.since(unnamed.since) >= ctx.core.settings.grace;
        }
        if self.unnamed.len() < ctx.core.settings.max_candidates {
            self.unnamed.insert(key.to_owned(), UnnamedSince { since: now, round });
        }
        false
    }

    /// The keys to be judged, when a write of the head with number `serial` has succeeded and
    /// that's late enough.
    pub(crate) fn take_confirmed(&mut self, serial: u64) -> Option<Vec<String>> {
        match &mut self.state {
            SweepState::Confirming { keys, serial: wanted } if serial >= *wanted => {
                Some(std::mem::take(keys))
            }
            _ => None,
        }
    }

    /// Judges the keys that aren't in force and aren't about to be named.
    pub(crate) fn judge(&mut self, keys: Vec<String>, sweep: SweepId, ctx: &mut StageContext<'_>) {
        match self.realm {
            SweepRealm::Ledger => {
                self.doomed = keys.into();
                self.start_deleting(ctx);
            }
            SweepRealm::Chunks if keys.is_empty() => self.page_done(ctx),
            SweepRealm::Chunks => {
                ctx.effects.push(ShardEffect::SweepChunks { sweep, keys: keys.clone() });
                self.next_at = ctx.now.mono + ctx.core.settings.sweep_every;
                self.state = SweepState::Asking { sweep, keys };
            }
        }
    }

    /// The user's answer about chunks. An append that has come since the question can't name any
    /// of them: they are too old for its check.
    pub(crate) fn on_answer(
        &mut self,
        answered: SweepId,
        unused: Vec<String>,
        ctx: &mut StageContext<'_>,
    ) {
        let SweepState::Asking { sweep, keys } = &self.state else { return };
        if *sweep != answered {
            return;
        }
        self.doomed = unused.into_iter().filter(|key| keys.contains(key)).collect();
        self.start_deleting(ctx);
    }

    fn start_deleting(&mut self, ctx: &mut StageContext<'_>) {
        if self.doomed.is_empty() {
            self.page_done(ctx);
        } else {
            self.state = SweepState::Deleting;
            self.next_at = ctx.now.mono;
        }
    }

    fn delete_next(&mut self, ctx: &mut StageContext<'_>) {
        let Some(key) = self.doomed.front().cloned() else {
            self.page_done(ctx);
            return;
        };
        self.deleting = true;
        ctx.call(
            CallPurpose::SweepDelete,
            StoreOp::Delete { key, condition: WriteCondition::Always },
        );
    }

    /// Takes the answer of a deletion. A failed one is made again, and it may well happen twice:
    /// nothing is ever written under a deleted key again but by a late repetition, which the next
    /// sweep finds.
    pub(crate) fn on_delete(&mut self, result: StoreResult, ctx: &mut StageContext<'_>) {
        self.deleting = false;
        match result {
            Ok(_) => {
                ctx.count("ledger_objects_deleted");
                self.doomed.pop_front();
                self.backoff.reset();
                self.next_at = ctx.now.mono + ctx.core.settings.sweep_pace;
                if self.doomed.is_empty() {
                    self.page_done(ctx);
                }
            }
            Err(failure) => {
                ctx.count_retry(RetryReason::StoreUnavailable);
                let delay = self.backoff.next(Some(failure), &mut ctx.core.rng);
                self.next_at = ctx.now.mono + delay.max(ctx.core.settings.sweep_pace);
            }
        }
    }

    fn rest(&mut self, until: MonoTime) {
        self.state = SweepState::Resting;
        self.next_at = until;
    }

    fn page_done(&mut self, ctx: &StageContext<'_>) {
        let settings = &ctx.core.settings;
        if self.more {
            self.rest(ctx.now.mono + settings.sweep_pace);
            return;
        }
        self.after = None;
        match self.realm {
            SweepRealm::Ledger => {
                let round = self.round;
                self.unnamed.retain(|_, unnamed| unnamed.round == round);
                self.round += 1;
                self.realm = SweepRealm::Chunks;
                self.rest(ctx.now.mono + settings.sweep_pace);
            }
            SweepRealm::Chunks => {
                self.realm = SweepRealm::Ledger;
                self.rest(ctx.now.mono + settings.sweep_every);
            }
        }
    }
}
