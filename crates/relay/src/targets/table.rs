//! Every target known, how loaded it is, and the choice among them.

mod admission;

use std::{net::SocketAddr, time::Duration};

use notch_types::prelude::*;

use crate::targets::{
    choice::{TargetChoice, TargetQuery, WorkKind},
    entry::{TargetEntry, TargetState},
    failure::AttemptFailure,
    health::TargetHealth,
    homes::TargetHomes,
    pace::ServiceLatency,
    record::{TargetRecord, TargetUse},
    warm_prompts::WarmPrompts,
};

/// How long a target that closes a connection counts as about to leave: its entry says so within a
/// second if it does.
const CLOSING_HINT: Duration = Duration::from_secs(1);
/// Divided by the number of gateways, the share of the others' home targets that one choice for an item looks
/// at. Were all looked at, every gateway would pick the one that was least loaded a tenth of a second ago.
const FOREIGN_CHOICES: f64 = 4.0;
/// Spread of the random tie-break, in requests. Without it gateways that hear the same reports
/// pick the same target at the same moment.
const TIE_SPREAD: f64 = 0.5;
/// Share of the other gateways' home targets where only the own ones are looked at.
const OWN_ONLY: f64 = -1.0;
/// Requests that may wait at a target before items of jobs are broken off there: one waits for an
/// eighth of a usual stream, 75 ms, which an objective of 300 ms bears.
const PREEMPT_QUEUE: u32 = 1;
/// A peer's report counts for this long; it is sent anew at least twice as often.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_500);

/// Own use of a target whose entry is gone.
#[derive(Debug, Clone, Copy, Default)]
struct LeftoverUse {
    own: TargetUse,
    /// The target has started again: what was under way there has ended, whether or not its
    /// connection says so.
    has_restarted: bool,
}

#[derive(Debug, Default)]
struct PeerReport {
    at: MonoTime,
    uses: FastMap<String, TargetUse>,
}

/// Every target known to one gateway.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// The gateway's own failure domain.
    domain: String,
    records: FastMap<String, TargetRecord>,
    reports: FastMap<VmName, PeerReport>,
    /// Which gateway admits requests to which target.
    homes: TargetHomes,
    /// Share of the other gateways' home targets that one choice looks at.
    foreign_share: f64,
    /// How long answers take, by service.
    paces: FastMap<String, ServiceLatency>,
    /// What targets have read of prompts.
    warm: WarmPrompts,
    /// Own use of targets whose entry is gone, until their last request ends.
    leftovers: FastMap<String, LeftoverUse>,
}

impl TargetTable {
    /// An empty table of a gateway in `domain`.
    pub fn new(domain: &str) -> Self {
        Self { domain: domain.to_owned(), ..Self::default() }
    }

    /// Takes a target's entry as it is at `now`.
    pub fn put(&mut self, entry: TargetEntry, now: MonoTime) {
        let id = entry.id.clone();
        let slow_until = now + entry.cold_left;
        if let Some(record) = self.records.get_mut(&id) {
            record.entry = entry;
            record.displaced = false;
            record.slow_until = slow_until.max(record.slow_until);
            return;
        }
        let own = self.leftovers.remove(&id).unwrap_or_default().own;
        let mut others = TargetUse::default();
        for report in self.reports.values() {
            let reported = report.uses.get(&id).copied().unwrap_or_default();
            others.online += reported.online;
            others.batch += reported.batch;
        }
        let health = TargetHealth::default();
        let displaced = false;
        let record = TargetRecord { entry, own, others, health, displaced, slow_until };
        self.records.insert(id, record);
    }

    /// A target told that it closes the connection. One that is about to leave does so before its
    /// entry says it; others do now and then.
    pub fn note_closing(&mut self, id: &str, now: MonoTime) {
        if let Some(record) = self.records.get_mut(id) {
            record.slow_until = record.slow_until.max(now + CLOSING_HINT);
        }
    }

    /// A target's entry is gone: it gets nothing new.
    pub fn remove(&mut self, id: &str) {
        if let Some(record) = self.records.remove(id)
            && record.own.total() > 0
        {
            let leftover = LeftoverUse { own: record.own, has_restarted: false };
            self.leftovers.insert(id.to_owned(), leftover);
        }
    }

    /// The start `id` of a target is over, and a later one has registered: a connection that is
    /// silent since the target lost power tells nothing, so runs there would wait for their time-out.
    pub fn remove_restarted(&mut self, id: &str) {
        self.remove(id);
        if let Some(leftover) = self.leftovers.get_mut(id) {
            leftover.has_restarted = true;
        }
    }

    /// Whether requests are under way at the start `id` of a target that has started again since.
    pub fn has_restarted(&self, id: &str) -> bool {
        self.leftovers.get(id).is_some_and(|leftover| leftover.has_restarted)
    }

    /// Ids of every target.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.records.keys().map(String::as_str)
    }

    /// Entries of every target.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.records.values().map(|record| &record.entry)
    }

    /// How many targets take new requests.
    pub fn ready_count(&self) -> usize {
        self.records.values().filter(|r| r.entry.state == TargetState::Ready).count()
    }

    /// Places left to items now, by service: those that no online request has, at targets that take requests.
    pub fn item_slots(&self, now: MonoTime) -> FastMap<String, u32> {
        let mut places: FastMap<String, u32> = FastMap::default();
        for record in self.records.values() {
            let is_able = record.entry.state == TargetState::Ready
                && !record.displaced
                && !record.health.is_avoided(now);
            let taken = record.own.online + record.others.online;
            let left = if is_able { record.entry.slots.saturating_sub(taken) } else { 0 };
            *places.entry(record.entry.service.clone()).or_default() += left;
        }
        places
    }

    /// Chooses a target for one attempt, and counts it there until [`finish`](Self::finish). `draw`
    /// gives random numbers from 0 to 1.
    ///
    /// Online work takes the least loaded target, a queue if there must be one. Batch takes a
    /// target only if places stay free.
    pub fn choose(
        &mut self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let choice = match query.work {
            WorkKind::Online => self.pick(query, now, &mut draw)?,
            WorkKind::Batch => {
                let (_, record) = self.best_record(query, now, self.foreign_share, &mut draw)?;
                self.choice_of(record)
            }
        };
        self.take(query, choice)
    }

    /// A free place at one of this gateway's own targets, whose load it knows exactly. Nothing is counted
    /// there before [`take`](Self::take).
    pub fn pick_own(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let best = self.best_record(query, now, OWN_ONLY, &mut draw);
        let free = best.filter(|(_, record)| record.has_place() && !record.health.is_avoided(now));
        free.map(|(_, record)| self.choice_of(record))
    }

    /// The target of a request for which nobody granted a place: the least loaded own one, or any that is
    /// looked at. Nothing is counted there before [`take`](Self::take).
    pub fn pick(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let own = self.best_record(query, now, OWN_ONLY, &mut draw);
        // Before a request is turned away every target is looked at.
        let (_, record) = own.or_else(|| self.best_record(query, now, 1.0, &mut draw))?;
        Some(self.choice_of(record))
    }

    /// Counts a request at the target that was picked for it, until [`finish`](Self::finish); `None` when the
    /// target doesn't take it any more.
    pub fn take(&mut self, query: &TargetQuery<'_>, choice: TargetChoice) -> Option<TargetChoice> {
        let record = self.records.get_mut(&choice.id)?;
        record.own.add(query.work);
        record.health.start();
        self.warm.note(query.prompt, &choice.id);
        Some(choice)
    }

    fn choice_of(&self, record: &TargetRecord) -> TargetChoice {
        let id = &record.entry.id;
        TargetChoice {
            id: id.clone(),
            name: record.entry.name.clone(),
            address: record.entry.address,
            has_free_slot: record.has_place(),
            own_load: record.own.total(),
            reported_load: record.others.total(),
            is_home: self.homes.is_shared() && self.homes.is_own(id),
            home: self.homes.other_home(id).cloned(),
            is_granted: false,
        }
    }

    /// The target with the lowest score; of the other gateways' home targets only a share is looked
    /// at.
    fn best_record(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        foreign_share: f64,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<(f64, &TargetRecord)> {
        let TargetQuery { service, work, avoid, queue, prompt } = *query;
        let warm = self.warm.warm_tokens(prompt);
        let pace = self.latency(service);
        let mut best: Option<(f64, &TargetRecord)> = None;
        let mut fallback: Option<(f64, &TargetRecord)> = None;
        for record in self.records.values() {
            if !record.takes(service) || avoid.contains(&record.entry.id) {
                continue;
            }
            let is_home = self.homes.is_own(&record.entry.id);
            if work == WorkKind::Batch && !record.has_batch_place(is_home) {
                continue;
            }
            if work == WorkKind::Online && !record.is_in_time(queue, &pace) {
                continue;
            }
            if !is_home && draw() > foreign_share {
                continue;
            }
            let read = warm.get(record.entry.id.as_str()).copied().unwrap_or_default();
            let score = record.score(&self.domain, is_home, now) - record.warmth(read)
                + draw() * TIE_SPREAD;
            let slot = if record.health.is_avoided(now) { &mut fallback } else { &mut best };
            if slot.is_none_or(|(lowest, _)| score < lowest) {
                *slot = Some((score, record));
            }
        }
        if work == WorkKind::Batch {
            fallback = None;
        }
        best.or(fallback)
    }

    /// A whole online answer of `service` took `run`, and began after `first` where a place was free.
    pub fn note_online_run(&mut self, service: &str, run: Duration, first: Option<Duration>) {
        self.paces.entry(service.to_owned()).or_default().note(run, first);
    }

    /// How long answers of `service` take.
    pub fn latency(&self, service: &str) -> ServiceLatency {
        self.paces.get(service).copied().unwrap_or_default()
    }

    /// An attempt at `id` ended: with an answer, or in a way that says nothing (`None`).
    pub fn finish(
        &mut self,
        id: &str,
        work: WorkKind,
        outcome: Option<Result<(), AttemptFailure>>,
        now: MonoTime,
    ) {
        let Some(record) = self.records.get_mut(id) else {
            if let Some(leftover) = self.leftovers.get_mut(id) {
                leftover.own.remove(work);
                if leftover.own.total() == 0 {
                    self.leftovers.remove(id);
                }
            }
            return;
        };
        record.own.remove(work);
        match outcome {
            Some(Ok(())) => record.health.succeed(),
            Some(Err(AttemptFailure::OtherTarget)) => record.displaced = true,
            Some(Err(failure)) if failure.blames_target() => {
                record.health.fail(failure.is_silence(), now);
            }
            Some(Err(_)) | None => record.health.forget_probe(),
        }
    }

    /// Targets that a liveness probe should go to at `now`; again only after the next failure or
    /// [`note_silence`](Self::note_silence).
    pub fn silent_targets(&self, now: MonoTime) -> Vec<(String, SocketAddr)> {
        let silent = self.records.values().filter(|record| record.health.needs_liveness_probe(now));
        silent.map(|record| (record.entry.id.clone(), record.entry.address)).collect()
    }

    /// A target answered a liveness probe.
    pub fn note_liveness(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.note_liveness();
        }
    }

    /// A target did not answer a liveness probe: another one follows later.
    pub fn note_silence(&mut self, id: &str, now: MonoTime) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.fail(true, now);
        }
    }

    /// A target answered the head of a request: it is alive.
    pub fn note_alive(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.succeed();
        }
    }

    /// This gateway's use of every target it uses, for the other gateways.
    pub fn own_uses(&self) -> impl Iterator<Item = (&str, TargetUse)> {
        let records = self.records.iter().map(|(id, record)| (id.as_str(), record.own));
        // A start that is over holds no places, however long its requests here take to end.
        let leftovers = self.leftovers.iter().filter(|(_, leftover)| !leftover.has_restarted);
        let leftovers = leftovers.map(|(id, leftover)| (id.as_str(), leftover.own));
        records.chain(leftovers).filter(|(_, own)| own.total() > 0)
    }

    /// Another gateway's use of targets, whole: what isn't named there isn't used by it.
    pub fn take_report(&mut self, peer: &VmName, uses: FastMap<String, TargetUse>, now: MonoTime) {
        self.drop_report(peer);
        for (id, reported) in &uses {
            if let Some(record) = self.records.get_mut(id) {
                record.others.online += reported.online;
                record.others.batch += reported.batch;
            }
        }
        self.reports.insert(peer.clone(), PeerReport { at: now, uses });
    }

    /// Forgets reports of gateways that were not heard of for long: a dead one holds no places.
    pub fn expire_reports(&mut self, now: MonoTime) {
        let old = self.reports.iter().filter(|(_, r)| now.since(r.at) > REPORT_LIFETIME);
        let old: Vec<VmName> = old.map(|(peer, _)| peer.clone()).collect();
        for peer in old {
            self.drop_report(&peer);
        }
    }

    /// How many of this gateway's items at `id` should be broken off, because online requests wait
    /// there behind items. Each gateway with items there takes its share, as a chance where it's a
    /// fraction, so that together they don't break off more than wait.
    pub fn items_to_preempt(&self, id: &str, mut draw: impl FnMut() -> f64) -> u32 {
        let Some(record) = self.records.get(id) else { return 0 };
        let waiting = record.total().saturating_sub(record.entry.slots);
        let items = record.own.batch + record.others.batch;
        if waiting <= PREEMPT_QUEUE || items == 0 {
            return 0;
        }
        let share = f64::from(waiting.min(items)) * f64::from(record.own.batch) / f64::from(items);
        (share + draw()) as u32
    }

    /// Shares targets out: those at home here are preferred here. All gateways do the same with the
    /// same names, so they mostly choose among different targets, whose load each knows exactly;
    /// reports of the others' use come a tenth of a second late. `gateways` are all that are alive,
    /// this one among them, each with its failure domain.
    pub fn assign_homes(&mut self, own: &str, gateways: &[(String, String)]) {
        let entries = self.records.values().map(|record| &record.entry);
        let targets = entries.map(|entry| (entry.id.as_str(), entry.domain.as_str()));
        self.homes.divide(own, targets.collect(), gateways);
        self.foreign_share = FOREIGN_CHOICES / gateways.len().max(1) as f64;
    }

    fn drop_report(&mut self, peer: &VmName) {
        let Some(report) = self.reports.remove(peer) else { return };
        for (id, reported) in &report.uses {
            if let Some(record) = self.records.get_mut(id) {
                record.others.online = record.others.online.saturating_sub(reported.online);
                record.others.batch = record.others.batch.saturating_sub(reported.batch);
            }
        }
    }
}
