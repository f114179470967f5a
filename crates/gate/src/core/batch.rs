//! Batch: pulling lots, starting items, handing back, and results until they are settled.

use std::time::Duration;

use notch_messages::prelude::*;
use notch_types::{class::WorkClass, prelude::*};

use super::{GateCore, RETURNS_KEPT};
use crate::{
    effect::{GateEffect, RunRequest},
    result_buffer::split_results,
    run_record::{ItemTicket, RunPhase, RunRecord, StopCause},
    settings::{AdmissionRule, GateSettings},
    target_state::{PullPhase, TargetState},
    timer_set::TimerKind,
    tombstone_set::TombstoneKind,
};

/// Part of the lease after which an item is no longer started: its owner may hand it out again
/// before it could end.
const LEASE_USABLE: f64 = 0.8;
/// One item is kept waiting for each of this many batch slots, so that a slot is filled at once.
const SLOTS_PER_SPARE_ITEM: u32 = 4;
/// Pauses double at most this often.
const PULL_DOUBLINGS: u32 = 10;

impl GateCore {
    /// Takes in a lot for a target that is known.
    pub(crate) fn take_lot(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        grant: LotGrant,
        effects: &mut Vec<GateEffect>,
    ) {
        if matches!(state.pull, PullPhase::Asked { .. }) {
            state.pull = PullPhase::Ready;
        }
        state.pull_misses = 0;
        if !self.admit_lot(&grant, effects) {
            return;
        }
        for item in &grant.items {
            match self.item_bar(state, &grant, item) {
                ItemBar::None => self.queue_item(now, state, &grant, item),
                ItemBar::Known => self.adopt_item(&grant, item),
                ItemBar::Quarantined => self.fail_quarantined(now, &grant, item, effects),
                ItemBar::Return(reason, started) => {
                    let back = returned(&grant, item, reason, started);
                    self.send_return(grant.shard, back, effects);
                }
            }
        }
    }

    /// Whether this lot counts: its owner's epoch is the newest, and it is no second copy.
    pub(crate) fn admit_lot(&mut self, grant: &LotGrant, effects: &mut Vec<GateEffect>) -> bool {
        if !self.lots.admit_epoch(grant.shard, grant.epoch) {
            effects.push(GateEffect::Count(Counter::Dropped(DropReason::StaleEpoch)));
            return false;
        }
        if !self.lots.admit_lot(grant.shard, grant.epoch, grant.lot) {
            Self::count("lots_repeated", effects);
            return false;
        }
        Self::count("lots_taken", effects);
        true
    }

    /// Hands a whole lot back.
    pub(crate) fn return_lot(&mut self, grant: &LotGrant, effects: &mut Vec<GateEffect>) {
        for item in &grant.items {
            let back = returned(grant, item, ReturnReason::NotStarted, false);
            self.send_return(grant.shard, back, effects);
        }
    }

    fn item_bar(&self, state: &TargetState, grant: &LotGrant, item: &LotItem) -> ItemBar {
        let run = self.item_run(item);
        if self.items.contains_key(&item.key) || self.results.contains(item.key) {
            return ItemBar::Known;
        }
        if self.leaving {
            return ItemBar::Return(ReturnReason::Leaving, false);
        }
        if self.suspects.is_quarantined(item.fingerprint) {
            return ItemBar::Quarantined;
        }
        if !grant.idempotent && self.finished.get(run).is_some() {
            return ItemBar::Return(ReturnReason::NotStarted, true);
        }
        let is_barred = self.barred.get(run).is_some() || self.lots.is_cancelled(item.key.job);
        let is_full = state.pending.len() >= 2 * self.settings.lot_items as usize;
        if is_barred || is_full || !state.is_up() {
            return ItemBar::Return(ReturnReason::NotStarted, false);
        }
        ItemBar::None
    }

    fn item_run(&self, item: &LotItem) -> AttemptId {
        let incarnation = self.settings.incarnation;
        AttemptId::for_item(item.key.job, item.key.item, item.attempt, incarnation)
    }

    fn queue_item(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        grant: &LotGrant,
        item: &LotItem,
    ) {
        let run = self.item_run(item);
        let usable = Duration::from_millis(grant.lease_ms).mul_f64(LEASE_USABLE);
        let lease_until = now + usable;
        let request = RunRequest {
            run,
            target: state.name.clone(),
            class: WorkClass::Batch,
            gateway: self.settings.vm.clone(),
            path: String::new(),
            body: item.body.clone(),
            stream: true,
            idempotent: grant.idempotent,
            progress: item.progress.clone(),
        };
        let ticket = ItemTicket {
            key: item.key,
            lot: grant.lot,
            shard: grant.shard,
            number: item.attempt,
            urgent: grant.urgent,
        };
        let record = RunRecord {
            run,
            target: state.name.clone(),
            class: WorkClass::Batch,
            gateway: self.settings.vm.clone(),
            fingerprint: item.fingerprint,
            idempotent: grant.idempotent,
            deadline: lease_until,
            phase: RunPhase::Waiting(Box::new(request)),
            arrived_at: now,
            started_at: None,
            stopped_at: None,
            orphaned_at: None,
            has_first_token: false,
            alone: false,
            holds_slot: false,
            carried: item.progress.as_ref().map_or(0, |text| text.len() as u64),
            item: Some(ticket),
        };
        self.timers.set(lease_until.min(now + self.settings.item_wait), TimerKind::WaitOver(run));
        self.items.insert(item.key, run);
        self.runs.insert(run, record);
        match grant.urgent {
            true => state.pending.push_front(run),
            false => state.pending.push_back(run),
        }
    }

    /// The item is here already: its lease lapsed and it was handed out again. What runs goes on
    /// and answers for the newest lot.
    fn adopt_item(&mut self, grant: &LotGrant, item: &LotItem) {
        let Some(record) = self.items.get(&item.key).and_then(|run| self.runs.get_mut(run)) else {
            return;
        };
        if let Some(ticket) = record.item.as_mut() {
            ticket.lot = grant.lot;
            ticket.number = item.attempt;
        }
    }

    fn fail_quarantined(
        &mut self,
        now: MonoTime,
        grant: &LotGrant,
        item: &LotItem,
        effects: &mut Vec<GateEffect>,
    ) {
        effects.push(GateEffect::Count(Counter::Refused(RefusalReason::Quarantined)));
        let outcome = quarantined_outcome();
        let result = ItemResult { key: item.key, lot: grant.lot, attempt: item.attempt, outcome };
        self.keep_result(now, grant.shard, result, effects);
    }

    /// Ends what waits and has been quarantined since it came.
    pub(crate) fn refuse_quarantined(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        let queued = state.queue.iter().map(|(_, run)| *run);
        let queued: Vec<AttemptId> = queued.filter(|run| self.is_quarantined(*run)).collect();
        for run in queued {
            self.refuse_waiting(now, state, run, RefusalReason::Quarantined, effects);
        }
        let pending = state.pending.iter().copied();
        let pending: Vec<AttemptId> = pending.filter(|run| self.is_quarantined(*run)).collect();
        for run in pending {
            state.pending.retain(|waiting| *waiting != run);
            effects.push(GateEffect::Count(Counter::Refused(RefusalReason::Quarantined)));
            self.finish_item(now, run, quarantined_outcome(), effects);
        }
    }

    fn is_quarantined(&self, run: AttemptId) -> bool {
        self.runs.get(&run).is_some_and(|record| self.suspects.is_quarantined(record.fingerprint))
    }

    /// Starts waiting items while there is room.
    pub(crate) fn start_batch(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        let waiting: Vec<AttemptId> = state.pending.iter().copied().collect();
        for run in waiting {
            if !state.has_slot() {
                return;
            }
            if self.item_may_start(now, state, run) {
                state.pending.retain(|pending| *pending != run);
                self.start(now, state, run, false, effects);
            }
        }
    }

    fn item_may_start(&self, now: MonoTime, state: &TargetState, run: AttemptId) -> bool {
        let Some(record) = self.runs.get(&run) else { return false };
        if self.must_run_alone(now, run) || now >= record.deadline {
            return false;
        }
        if !record.idempotent && !self.has_unstoppable_room(state) {
            return false;
        }
        state.batch_room(&self.weights, record.is_urgent()) > 0
            || (record.is_urgent() && self.has_floor_room(state))
    }

    /// Items that can't be stopped get at most half of the slots, and none while online waits.
    fn has_unstoppable_room(&self, state: &TargetState) -> bool {
        let running = state.batch.iter().filter(|run| !self.is_preemptible(**run)).count() as u32;
        running < (state.limits.limit() / 2).max(1) && state.queue.is_empty()
    }

    fn has_floor_room(&self, state: &TargetState) -> bool {
        let running = state.batch.iter().filter(|run| self.is_urgent(**run)).count() as u32;
        running < state.floor_slots(&self.weights)
    }

    /// Asks for a lot when slots are free and its results will fit.
    pub(crate) fn pull(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        effects: &mut Vec<GateEffect>,
    ) {
        let wanted = self.wanted_items(state);
        if wanted == 0 || state.pull != PullPhase::Ready {
            return;
        }
        let Some(gateway) = self.gateways.next() else { return };
        state.pull_number += 1;
        let number = state.pull_number;
        state.pull = PullPhase::Asked { gateway: gateway.clone(), number };
        let until = now + self.settings.pull_timeout;
        self.timers.set(until, TimerKind::PullTimeout(state.name.clone(), number));
        let pull = LotPull {
            vm: self.settings.vm.clone(),
            incarnation: self.settings.incarnation,
            target: state.name.clone(),
            slots: wanted,
        };
        Self::count("lots_pulled", effects);
        Self::send(&gateway, GatewayMessage::Pull(pull), effects);
    }

    fn wanted_items(&self, state: &TargetState) -> u32 {
        if !state.is_up() || !state.policy.takes_batch || self.leaving || !self.has_result_room() {
            return 0;
        }
        let room = self.pull_room(state);
        if room == 0 && state.batch.is_empty() {
            return 0;
        }
        let spare = (state.limits.fill() / SLOTS_PER_SPARE_ITEM).max(1);
        let wanted = (room + spare).saturating_sub(state.pending.len() as u32);
        wanted.min(self.settings.lot_items)
    }

    fn pull_room(&self, state: &TargetState) -> u32 {
        match self.settings.rule {
            AdmissionRule::OnlineFirst => state.batch_room(&self.weights, false),
            AdmissionRule::ArrivalOrder => state.limits.limit().saturating_sub(state.taken()),
        }
    }

    /// Every item taken may become a result: what is here must fit before more is pulled.
    fn has_result_room(&self) -> bool {
        let GateSettings { result_count, result_bytes, lot_items, .. } = &self.settings;
        let owed = self.results.len() + self.items.len() + *lot_items as usize;
        owed <= *result_count && self.results.bytes() < *result_bytes
    }

    /// Pauses pulling for a target; the pause doubles with each miss in a row.
    pub(crate) fn pause_pull(&mut self, now: MonoTime, state: &mut TargetState, least: Duration) {
        let doubled = self.settings.pull_pause_min * (1 << state.pull_misses.min(PULL_DOUBLINGS));
        let pause = doubled.max(least).min(self.settings.pull_pause_max);
        state.pull_misses = state.pull_misses.saturating_add(1);
        state.pull = PullPhase::Paused;
        let until = now + pause.mul_f64(self.jitter());
        self.timers.set(until, TimerKind::PullResume(state.name.clone()));
    }

    /// Gives a run's item back to its owner and forgets the run.
    pub(crate) fn return_item(
        &mut self,
        run: AttemptId,
        reason: ReturnReason,
        progress: Option<Payload>,
        effects: &mut Vec<GateEffect>,
    ) {
        let Some(record) = self.runs.remove(&run) else { return };
        let Some(ticket) = record.item else { return };
        self.items.remove(&ticket.key);
        let back = ItemReturn {
            key: ticket.key,
            lot: ticket.lot,
            attempt: ticket.number,
            reason,
            progress,
            started: record.started_at.is_some(),
        };
        self.send_return(ticket.shard, back, effects);
    }

    pub(crate) fn send_return(
        &mut self,
        shard: ShardId,
        back: ItemReturn,
        effects: &mut Vec<GateEffect>,
    ) {
        Self::count("items_returned", effects);
        if let Some(gateway) = self.gateways.next() {
            let message = GatewayMessage::ItemsReturned { shard, returns: vec![back] };
            return Self::send(&gateway, message, effects);
        }
        if self.returns.len() >= RETURNS_KEPT {
            self.returns.pop_front();
            effects.push(GateEffect::Count(Counter::Dropped(DropReason::BufferFull)));
        }
        self.returns.push_back((shard, back));
    }

    /// Keeps a result until it is settled, and sends it.
    pub(crate) fn keep_result(
        &mut self,
        now: MonoTime,
        shard: ShardId,
        result: ItemResult,
        effects: &mut Vec<GateEffect>,
    ) {
        let gateway = self.gateways.next();
        let sent = gateway.clone().map(|gateway| (now, gateway));
        if !self.results.insert(shard, result.clone(), sent) {
            return;
        }
        self.timers.set(now + self.settings.result_resend, TimerKind::Resend);
        if let Some(gateway) = gateway {
            let message = GatewayMessage::ItemsDone { shard, results: vec![result] };
            Self::send(&gateway, message, effects);
        }
    }

    /// Sends what is unsent, or unsettled for long, over the next gateway.
    pub(crate) fn resend(&mut self, now: MonoTime, effects: &mut Vec<GateEffect>) {
        let Some(gateway) = self.gateways.next() else { return };
        while let Some((shard, back)) = self.returns.pop_front() {
            let message = GatewayMessage::ItemsReturned { shard, returns: vec![back] };
            Self::send(&gateway, message, effects);
        }
        let due = self.results.take_due(now, self.settings.result_resend, &gateway);
        for (shard, results) in due {
            for results in split_results(results) {
                Self::count("results_sent_again", effects);
                let message = GatewayMessage::ItemsDone { shard, results };
                Self::send(&gateway, message, effects);
            }
        }
        if self.results.len() > 0 {
            self.timers.set(now + self.settings.result_resend, TimerKind::Resend);
        }
    }

    /// The job is cancelled: nothing of it starts any more, what runs is stopped.
    pub(crate) fn cancel_item(
        &mut self,
        now: MonoTime,
        state: &mut TargetState,
        run: AttemptId,
        effects: &mut Vec<GateEffect>,
    ) {
        Self::count("items_cancelled", effects);
        if self.runs.get(&run).is_some_and(RunRecord::is_waiting) {
            self.barred.insert(now, run, TombstoneKind::Refused(RefusalReason::Cancelled));
            return self.return_pending(state, run, effects);
        }
        self.stop(now, state, run, StopCause::Cancelled, effects);
    }
}

/// What keeps an item of a lot from waiting for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ItemBar {
    None,
    /// It runs here, or its result waits to be settled.
    Known,
    Quarantined,
    /// It goes back; the flag tells whether it had started.
    Return(ReturnReason, bool),
}

fn returned(grant: &LotGrant, item: &LotItem, reason: ReturnReason, started: bool) -> ItemReturn {
    ItemReturn {
        key: item.key,
        lot: grant.lot,
        attempt: item.attempt,
        reason,
        progress: item.progress.clone(),
        started,
    }
}

fn quarantined_outcome() -> ItemOutcome {
    ItemOutcome::Failed {
        reason: RefusalReason::Quarantined,
        retryable: false,
        ran: Ran::No,
        detail: "this item crashes targets and is quarantined".to_owned(),
    }
}
