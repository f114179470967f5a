//! Lots for sidecars that ask.

use std::{collections::BTreeMap, sync::Arc};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{
    Effects, OwnerTerm, ShardService, answer, count, millis,
    outbox::AppendPurpose,
    reads::ChunkWant,
    waiting::{PendingLot, PullCall},
};
use crate::{
    chunk::ParsedChunk,
    dispatch::{
        job_queue::{ItemPick, ItemPlace, PickQuery},
        job_rank::{JobRank, laxity_ms, sort_ranks},
        lot_table::{LotEntry, LotLease},
        target_share::{Served, TargetShare},
    },
    policy::TargetPolicy,
    record::LedgerRecord,
    service::event::RejectKind,
};

/// Most items without a readable input that one pull ends.
const MAX_BROKEN: usize = 256;

/// What a job gave.
enum Gathered {
    /// Nothing may leave now.
    Nothing,
    /// A chunk is being read.
    Reading,
    /// These leave.
    Items(Vec<LotItem>),
}

impl ShardService {
    pub(super) fn pull(&mut self, now: Now, call: PullCall, effects: &mut Effects) {
        self.lapse_orphans(now, &call.pull, effects);
        let policy = self.target_policy(&call.pull.target);
        let room = self.lot_room(&call.pull, &policy);
        let room = match room {
            Ok(room) => room,
            Err(retry_ms) => return no_work(&call, retry_ms, effects),
        };
        let ranks = self.rank_jobs(now, &call.pull.target);
        for (place, rank) in ranks.iter().enumerate() {
            match self.gather(now, rank.job, room, &call.pull.vm, effects) {
                Gathered::Nothing => {}
                Gathered::Reading => return self.park_pull(call, effects),
                Gathered::Items(items) => {
                    self.serve(rank, &ranks[place..], &policy, items.len() as u32);
                    return self.send_lot(now, call, rank, items, effects);
                }
            }
        }
        no_work(&call, millis(self.settings.idle_retry), effects);
    }

    /// Runs pulls again that wait for a chunk.
    pub(super) fn resume_pulls(&mut self, now: Now, effects: &mut Effects) {
        let Some(term) = self.owner.as_mut() else { return };
        for call in std::mem::take(&mut term.pulls) {
            self.pull(now, call, effects);
        }
    }

    /// Most items the lot may have, or how long to wait.
    fn lot_room(&self, pull: &LotPull, policy: &TargetPolicy) -> Result<u32, u64> {
        // Results that can't be committed pile up. Above half of the bound nothing more leaves:
        // the other half is for results of what is out already, so that memory stays bounded in
        // an outage and sidecars seldom have to keep theirs. Seen by the counter.
        if self.outbox.fact_bytes() >= self.settings.buffered_bytes / 2 {
            return Err(self.store_retry_ms());
        }
        let leased = self.owner.as_ref().map_or(0, |term| term.lots.leased(&pull.target));
        let free = policy.max_leased.saturating_sub(leased);
        let room = pull.slots.min(policy.lot_items).min(free);
        match room {
            _ if !policy.open => Err(millis(self.settings.idle_retry)),
            0 => Err(millis(self.settings.idle_retry)),
            room => Ok(room),
        }
    }

    /// Running jobs of the target in the order in which they are asked.
    fn rank_jobs(&mut self, now: Now, target: &TargetName) -> Vec<JobRank> {
        let down = self.store_is_down(now);
        let rate = self.target_rate(target);
        let margin = millis(self.settings.late_margin) as i64;
        let Some(term) = self.owner.as_mut() else { return Vec::new() };
        let share = term.shares.entry(target.clone()).or_insert_with(|| TargetShare::new(now.mono));
        let mut ranks = Vec::new();
        for (job, queue) in &term.queues {
            let Some(state) = self.state.job(*job) else { continue };
            let accepted = state.accepted();
            // A claim can't be made durable while the store is down.
            let claimable = accepted.idempotent || !down;
            if accepted.target != *target || queue.stopping || !claimable {
                continue;
            }
            let laxity_ms = laxity_ms(accepted.due, now.wall, state.items().open(), rate);
            let account = accepted.account.clone();
            let turn = share.turn(&account);
            ranks.push(JobRank { job: *job, account, turn, laxity_ms, late: laxity_ms < margin });
        }
        sort_ranks(&mut ranks, share.has_floor());
        ranks
    }

    /// Items a second of the target: measured, or assumed.
    pub(super) fn target_rate(&self, target: &TargetName) -> f64 {
        let share = self.owner.as_ref().and_then(|term| term.shares.get(target));
        share.and_then(TargetShare::rate).unwrap_or(self.settings.assumed_rate)
    }

    /// Books the items on the account, or on the floor where it was another account's turn.
    /// `rest` is the rank chosen and those after it; the ones before had nothing to give.
    fn serve(&mut self, rank: &JobRank, rest: &[JobRank], policy: &TargetPolicy, items: u32) {
        let Some(target) = self.state.job(rank.job).map(|job| job.accepted().target.clone()) else {
            return;
        };
        let floor_share = self.floor_share(&target, policy);
        let weight = self.policy.account_weights.get(&rank.account).copied().unwrap_or(1);
        let first = rest.iter().all(|other| rank.turn <= other.turn);
        let share = self.owner.as_mut().and_then(|term| term.shares.get_mut(&target));
        if let Some(share) = share {
            let in_turn = first || !(share.has_floor() && rank.late);
            share.serve(&rank.account, weight, items, Served { in_turn, floor_share });
        }
    }

    /// Takes up to `room` items out of a job's queue.
    fn gather(
        &mut self,
        now: Now,
        job: JobId,
        room: u32,
        vm: &VmName,
        effects: &mut Effects,
    ) -> Gathered {
        let mut items = Vec::new();
        let mut broken = 0;
        let mut current: Option<(usize, Arc<ParsedChunk>)> = None;
        while (items.len() as u32) < room && broken < MAX_BROKEN {
            let Some(pick) = self.peek(now, job, vm, items.is_empty()) else { break };
            let Some(state) = self.state.job(job) else { break };
            let Some((place, line)) = state.chunk_of(pick.item) else { break };
            let chunk = match &current {
                Some((known, chunk)) if *known == place => Arc::clone(chunk),
                _ => {
                    let key = state.accepted().chunks[place].0.clone();
                    match self.want_chunk(now, &key, effects) {
                        ChunkWant::Ready(chunk) => chunk,
                        _ if !items.is_empty() => break,
                        ChunkWant::Reading => return Gathered::Reading,
                        ChunkWant::Unreadable => break,
                    }
                }
            };
            current = Some((place, Arc::clone(&chunk)));
            match self.take_item(job, pick, &chunk, line, effects) {
                Some(item) => items.push(item),
                None => broken += 1,
            }
            if pick.suspect {
                break;
            }
        }
        match items.is_empty() {
            true => Gathered::Nothing,
            false => Gathered::Items(items),
        }
    }

    fn peek(&mut self, now: Now, job: JobId, vm: &VmName, alone: bool) -> Option<ItemPick> {
        let state = self.state.job(job)?;
        let queue = self.owner.as_mut()?.queues.get_mut(&job)?;
        let query = PickQuery {
            vm,
            alone,
            patience: self.settings.lease,
            tracked_items: self.settings.tracked_items,
        };
        queue.peek(state, now.mono, query)
    }

    /// Takes one item out of its queue; `None` if it ended instead.
    fn take_item(
        &mut self,
        job: JobId,
        pick: ItemPick,
        chunk: &ParsedChunk,
        line: u32,
        effects: &mut Effects,
    ) -> Option<LotItem> {
        let key = ItemKey { job, item: pick.item };
        let Some(body) = chunk.line(line).map(|line| line.body()) else {
            self.end_item(key, input_gone(), effects);
            return None;
        };
        let state = self.state.job(job)?;
        let fingerprint = Fingerprint::of(&state.accepted().target, &body);
        if self.state.is_quarantined(fingerprint) {
            self.quarantine_item(key, fingerprint, effects);
            return None;
        }
        let term = self.owner.as_mut()?;
        let queue = term.queues.get_mut(&job)?;
        let leave = queue.take(state, pick, term.epoch);
        queue.set_place(pick.item, ItemPlace::Claiming);
        let (attempt, progress) = (leave.attempt, leave.progress);
        Some(LotItem { key, attempt, body, progress, fingerprint })
    }

    fn send_lot(
        &mut self,
        now: Now,
        call: PullCall,
        rank: &JobRank,
        items: Vec<LotItem>,
        effects: &mut Effects,
    ) {
        let job = rank.job;
        let lot = PendingLot { call, job, urgent: rank.late, items };
        if self.state.job(job).is_some_and(|state| state.accepted().idempotent) {
            self.grant(now, lot, effects);
            return;
        }
        let claim = |item: &LotItem| LedgerRecord::ItemClaimed {
            job,
            item: item.key.item,
            attempt: item.attempt,
        };
        let claims: Vec<LedgerRecord> = lot.items.iter().map(claim).collect();
        let purpose = AppendPurpose::Lot(Box::new(lot));
        self.outbox.append(now.mono, purpose, &claims, Vec::new(), effects);
    }

    /// The lot leaves.
    fn grant(&mut self, now: Now, lot: PendingLot, effects: &mut Effects) {
        let PendingLot { call, job, urgent, items } = lot;
        let lease_ms = millis(self.settings.lease);
        let expires = now.mono + self.settings.lease;
        let Some(accepted) = self.state.job(job).map(|state| state.accepted()) else { return };
        let Some(term) = self.owner.as_mut() else { return };
        let number = term.lots.draw();
        lease_items(term, job, number, &items);
        let entries: BTreeMap<u32, LotEntry> = items.iter().map(lot_entry).collect();
        let LotPull { vm, incarnation, .. } = &call.pull;
        let lease = LotLease::new(job, &accepted.target, vm, *incarnation, entries);
        term.lots.insert(number, lease, expires);
        let grant = LotGrant {
            lot: number,
            shard: self.shard,
            epoch: term.epoch,
            target: accepted.target.clone(),
            account: accepted.account.clone(),
            idempotent: accepted.idempotent,
            lease_ms,
            urgent,
            items,
        };
        count(effects, Counter::Event("lots_granted"));
        answer(effects, &call.from, call.call, ShardAnswer::Lot(grant));
    }

    /// The claims are in the ledger: what still holds leaves, unless the pull is long over.
    pub(super) fn lot_committed(&mut self, now: Now, mut lot: PendingLot, effects: &mut Effects) {
        let job = lot.job;
        let stopping = self
            .owner
            .as_ref()
            .is_none_or(|term| term.queues.get(&job).is_none_or(|queue| queue.stopping));
        let late = now.mono.since(lot.call.since) >= self.settings.park_time;
        let Some(state) = self.state.job(job) else {
            return no_work(&lot.call, millis(self.settings.idle_retry), effects);
        };
        let holds = |item: &LotItem| state.claims().get(&item.key.item.0) == Some(&item.attempt);
        lot.items.retain(holds);
        if lot.items.is_empty() || late || stopping {
            // Nothing was sent, so the claims are surely unused.
            for item in &lot.items {
                self.release_claim(item.key, item.attempt);
            }
            return no_work(&lot.call, millis(self.settings.idle_retry), effects);
        }
        self.grant(now, lot, effects);
    }

    /// The claims are not in the ledger, or perhaps they are; the lot has not left.
    pub(super) fn lot_rejected(
        &mut self,
        now: Now,
        lot: PendingLot,
        kind: RejectKind,
        effects: &mut Effects,
    ) {
        let retry_at = now.mono + self.settings.store_retry;
        for item in &lot.items {
            match kind {
                RejectKind::Unknown => self.release_claim(item.key, item.attempt),
                RejectKind::NotCommitted | RejectKind::ChunkStale => {
                    let term = self.owner.as_mut();
                    let queue = term.and_then(|term| term.queues.get_mut(&lot.job));
                    let place = ItemPlace::Waiting(retry_at);
                    queue.into_iter().for_each(|queue| queue.set_place(item.key.item, place));
                }
            }
        }
        no_work(&lot.call, self.store_retry_ms(), effects);
    }

    fn park_pull(&mut self, call: PullCall, effects: &mut Effects) {
        let bound = self.settings.max_parked;
        let Some(term) = self.owner.as_mut() else { return };
        if term.pulls.len() < bound {
            term.pulls.push(call);
            return;
        }
        no_work(&call, millis(self.settings.idle_retry), effects);
    }
}

fn lease_items(term: &mut OwnerTerm, job: JobId, lot: LotId, items: &[LotItem]) {
    let Some(queue) = term.queues.get_mut(&job) else { return };
    for item in items {
        let place = ItemPlace::Leased { lot, attempt: item.attempt };
        queue.set_place(item.key.item, place);
    }
}

fn lot_entry(item: &LotItem) -> (u32, LotEntry) {
    let entry = LotEntry { attempt: item.attempt, fingerprint: item.fingerprint };
    (item.key.item.0, entry)
}

pub(super) fn no_work(call: &PullCall, retry_after_ms: u64, effects: &mut Effects) {
    answer(effects, &call.from, call.call, ShardAnswer::NoWork { retry_after_ms });
}

/// The result of an item whose input can't be read any more.
fn input_gone() -> ItemOutcome {
    ItemOutcome::Failed {
        reason: RefusalReason::Internal,
        retryable: false,
        ran: Ran::No,
        detail: "the item's input is gone from the store".to_owned(),
    }
}
