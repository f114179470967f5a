//! All known targets, their load, and the selection among them.

mod admission;
pub mod ejections;
mod fair_slots;
mod item_offers;
mod paces;
mod versions;

use std::{net::SocketAddr, time::Duration};

use notch_types::prelude::*;

use crate::item_slots::offers::OfferLedger;
use crate::targets::{
    choice::{TargetChoice, TargetQuery, WorkKind},
    entry::{TargetEntry, TargetState},
    failure::AttemptFailure,
    health::TargetHealth,
    homes::TargetHomes,
    latency::ServiceLatency,
    performance::TargetPerformance,
    prefix_cache::PrefixCacheIndex,
    record::{TargetRecord, TargetUse},
    table::{admission::FULL_PENALTY, ejections::PerformanceState},
    version_history::VersionHistory,
};

/// How long a target that closed a connection is considered about to leave. If it leaves, its entry
/// says so within a second.
const CLOSING_PENALTY_TIME: Duration = Duration::from_secs(1);
/// Number of gateways whose targets one selection for an item considers on average. Divided by the
/// number of all gateways, it is the fraction of remote targets considered. If all were considered,
/// every gateway would pick the target that was least loaded a tenth of a second ago.
const REMOTE_GATEWAYS_SAMPLED: f64 = 4.0;
/// Range of the random tie-break, in requests. Without it, gateways with the same reports pick the
/// same target at the same moment.
const TIE_BREAK_RANGE: f64 = 0.5;
/// Value of `remote_share` with which no remote target is considered.
const OWN_ONLY: f64 = -1.0;
/// Number of queued requests up to which items are not preempted: one request waits for an eighth
/// of a usual stream, 75 ms, which an objective of 300 ms allows.
const PREEMPTION_QUEUE_LIMIT: u32 = 1;
/// How long a peer's report is valid; it is sent again at least twice in this time.
const REPORT_LIFETIME: Duration = Duration::from_millis(2_500);

/// This gateway's use of a target without an entry.
#[derive(Debug, Clone, Copy, Default)]
struct OrphanedUse {
    own: TargetUse,
    /// Whether the target has restarted: its earlier requests have ended, even if their connections
    /// do not show it.
    has_restarted: bool,
}

#[derive(Debug, Default)]
struct PeerReport {
    at: MonoTime,
    uses: FastMap<String, TargetUse>,
}

/// All targets known to one gateway.
#[derive(Debug, Default)]
pub struct TargetTable {
    /// Failure domain of this gateway.
    domain: String,
    records: FastMap<String, TargetRecord>,
    reports: FastMap<VmName, PeerReport>,
    /// Home gateways of the targets.
    homes: TargetHomes,
    /// Fraction of the remote targets that one selection for an item considers.
    remote_share: f64,
    /// Learned latency by service.
    latencies: FastMap<String, ServiceLatency>,
    /// Prompt prefixes that targets are likely to have cached.
    prefix_cache: PrefixCacheIndex,
    /// This gateway's use of targets without an entry, until their last request ends.
    orphaned_uses: FastMap<String, OrphanedUse>,
    /// Slots for items that this gateway offered. Invariant: each counts in the `others` of its
    /// target's record.
    offers: OfferLedger,
    /// Offers that were answered by a start a moment ago.
    answered: OfferLedger,
    /// Offers that were declined, or whose items ended at once.
    declined: OfferLedger,
    /// Whether slots for items are offered, so that most items run at targets of other homes.
    offers_items: bool,
    /// Revoked items of other gateways whose ends have not been announced. Invariant: empty unless
    /// `offers_items`.
    revoked: OfferLedger,
    /// Software versions of the targets of each service in the recent past.
    versions: VersionHistory,
    /// State by which failures and pace of targets are learned; `None` where they are not.
    performance: Option<PerformanceState>,
}

impl TargetTable {
    /// Creates an empty table for a gateway in failure domain `domain`.
    pub fn new(domain: &str) -> Self {
        Self { domain: domain.to_owned(), ..Self::default() }
    }

    /// Adds or updates a target's entry as received at `now`.
    pub fn put(&mut self, entry: TargetEntry, now: MonoTime) {
        let id = entry.id.clone();
        let slow_until = now + entry.cold_left;
        self.versions.add(&entry.service, &entry.software_version, now);
        if let Some(record) = self.records.get_mut(&id) {
            let before = std::mem::replace(&mut record.entry, entry);
            self.versions.remove(&before.service, &before.software_version, now);
            record.address_reused = false;
            record.slow_until = slow_until.max(record.slow_until);
            return self.note_entries_changed();
        }
        let own = self.orphaned_uses.remove(&id).unwrap_or_default().own;
        let mut others = TargetUse::default();
        for report in self.reports.values() {
            let reported = report.uses.get(&id).copied().unwrap_or_default();
            others.online += reported.online;
            others.batch += reported.batch;
        }
        let health = TargetHealth::default();
        let performance = TargetPerformance::default();
        let address_reused = false;
        let record =
            TargetRecord { entry, own, others, health, performance, address_reused, slow_until };
        self.records.insert(id, record);
        self.note_entries_changed();
    }

    /// Records that a target announced the close of its connection. A target that is about to leave
    /// does so before its entry changes; other targets do it occasionally.
    pub fn note_closing(&mut self, id: &str, now: MonoTime) {
        if let Some(record) = self.records.get_mut(id) {
            record.slow_until = record.slow_until.max(now + CLOSING_PENALTY_TIME);
        }
    }

    /// Removes a target whose entry is gone at `now`. It gets no new requests.
    pub fn remove(&mut self, id: &str, now: MonoTime) {
        self.offers.remove_target(id);
        self.revoked.remove_target(id);
        if let Some(record) = self.records.remove(id) {
            let entry = &record.entry;
            self.versions.remove(&entry.service, &entry.software_version, now);
            if record.own.total() > 0 {
                let orphaned = OrphanedUse { own: record.own, has_restarted: false };
                self.orphaned_uses.insert(id.to_owned(), orphaned);
            }
        }
        self.note_entries_changed();
    }

    /// Removes incarnation `id` of a target after a later incarnation has registered. If the target
    /// lost power, its connections stay silent without being closed, and requests there would
    /// otherwise wait for their time-out.
    pub fn remove_restarted(&mut self, id: &str, now: MonoTime) {
        self.remove(id, now);
        if let Some(orphaned) = self.orphaned_uses.get_mut(id) {
            orphaned.has_restarted = true;
        }
    }

    /// Whether incarnation `id` of a target still has requests here although the target has
    /// restarted.
    pub fn has_restarted(&self, id: &str) -> bool {
        self.orphaned_uses.get(id).is_some_and(|orphaned| orphaned.has_restarted)
    }

    /// Ids of all targets.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.records.keys().map(String::as_str)
    }

    /// Entries of all targets.
    pub fn entries(&self) -> impl Iterator<Item = &TargetEntry> {
        self.records.values().map(|record| &record.entry)
    }

    /// Number of targets that accept new requests.
    pub fn ready_count(&self) -> usize {
        self.records.values().filter(|r| r.entry.state == TargetState::Ready).count()
    }

    /// Slots available to items by service: slots without an online request, at targets that accept
    /// requests.
    pub fn item_slots(&self, now: MonoTime) -> FastMap<String, u32> {
        let mut slots: FastMap<String, u32> = FastMap::default();
        for record in self.records.values() {
            let is_able = record.entry.state == TargetState::Ready
                && !record.address_reused
                && !record.is_avoided(now);
            let taken = record.own.online + record.others.online;
            let left = if is_able { record.entry.slots.saturating_sub(taken) } else { 0 };
            match slots.get_mut(&record.entry.service) {
                Some(sum) => *sum += left,
                None => drop(slots.insert(record.entry.service.clone(), left)),
            }
        }
        slots
    }

    /// Selects a target for one attempt and counts the attempt there until
    /// [`finish`](Self::finish). `draw` returns random numbers from 0 to 1.
    ///
    /// Online work takes the least loaded target, even if it has to queue. Batch work takes a
    /// target only if slots stay free.
    pub fn choose(
        &mut self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let choice = match query.work {
            WorkKind::Online => self.pick(query, now, &mut draw)?,
            WorkKind::Batch => {
                if let Some(probe) = self.pick_probe(query, now) {
                    return self.take(query, probe);
                }
                let (_, record) = self.best_record(query, now, self.remote_share, &mut draw)?;
                self.choice_of(record)
            }
        };
        self.take(query, choice)
    }

    /// Selects a free slot at one of this gateway's own targets, whose load it knows exactly.
    /// Nothing is counted before [`take`](Self::take).
    pub fn pick_own(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let best = self.best_record(query, now, OWN_ONLY, &mut draw);
        let free = best.filter(|(_, record)| record.has_free_slot() && !record.is_avoided(now));
        free.map(|(_, record)| self.choice_of(record))
    }

    /// Selects a target for a request that was not granted a slot: the least loaded own target,
    /// else the least loaded of all. Nothing is counted before [`take`](Self::take).
    pub fn pick(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<TargetChoice> {
        let own = self.best_record(query, now, OWN_ONLY, &mut draw);
        // Consider every target before the request is rejected.
        let (_, record) = own.or_else(|| self.best_record(query, now, 1.0, &mut draw))?;
        Some(self.choice_of(record))
    }

    /// Counts a request at the target selected for it, until [`finish`](Self::finish). Returns
    /// `None` if the target is no longer known.
    pub fn take(&mut self, query: &TargetQuery<'_>, choice: TargetChoice) -> Option<TargetChoice> {
        let record = self.records.get_mut(&choice.id)?;
        record.own.add(query.work);
        record.health.start();
        self.prefix_cache.note(query.prompt, &choice.id);
        Some(choice)
    }

    fn choice_of(&self, record: &TargetRecord) -> TargetChoice {
        let id = &record.entry.id;
        TargetChoice {
            id: id.clone(),
            name: record.entry.name.clone(),
            address: record.entry.address,
            born: record.entry.born,
            software_version: record.entry.software_version.clone(),
            has_free_slot: record.has_free_slot(),
            own_load: record.own.total(),
            reported_load: record.others.total(),
            is_home: self.homes.is_shared() && self.homes.is_own(id),
            home: self.homes.other_home(id).cloned(),
            is_granted: false,
            is_probe: record.performance.ejection.is_ejected() && self.homes.is_own(id),
        }
    }

    /// Returns the target with the lowest score. Of the remote targets, only a random fraction is
    /// considered.
    fn best_record(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
        remote_share: f64,
        draw: &mut impl FnMut() -> f64,
    ) -> Option<(f64, &TargetRecord)> {
        let TargetQuery { service, work, avoid, queue, prompt, .. } = *query;
        let cached = self.prefix_cache.cached_tokens(prompt);
        let latency = self.latency(service);
        let pace = self.pace_use(service);
        let mut best: Option<(f64, &TargetRecord)> = None;
        let mut fallback: Option<(f64, &TargetRecord)> = None;
        for record in self.records.values() {
            let is_left_out = !record.serves(query) || record.performance.is_excluded;
            if is_left_out || avoid.contains(&record.entry.id) {
                continue;
            }
            let is_home = self.homes.is_own(&record.entry.id);
            if work == WorkKind::Batch && !record.has_batch_slot(is_home) {
                continue;
            }
            if work == WorkKind::Online && !record.is_in_time(queue, &latency) {
                continue;
            }
            if !is_home && draw() > remote_share {
                continue;
            }
            let read = cached.get(record.entry.id.as_str()).copied().unwrap_or_default();
            // Without it, the low score of a fast and full target would hide a free slot at a slow one.
            let is_full = self.performance.is_some() && !record.has_free_slot();
            let full = if is_full { FULL_PENALTY } else { 0.0 };
            let score = record.score(&self.domain, is_home, pace, now) + full
                - record.cache_bonus(read)
                + draw() * TIE_BREAK_RANGE;
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

    /// Records a complete online answer of `service` that took `run` in total and, if a slot was
    /// free, `first` to its first event.
    pub fn note_online_run(&mut self, service: &str, run: Duration, first: Option<Duration>) {
        self.latencies.entry(service.to_owned()).or_default().note(run, first);
    }

    /// Learned latency of `service`.
    pub fn latency(&self, service: &str) -> ServiceLatency {
        self.latencies.get(service).copied().unwrap_or_default()
    }

    /// Records the end of an attempt at `id`. An `outcome` of `None` gives no indication of the
    /// target's health.
    pub fn finish(
        &mut self,
        id: &str,
        work: WorkKind,
        outcome: Option<Result<(), AttemptFailure>>,
        now: MonoTime,
    ) {
        let Some(record) = self.records.get_mut(id) else {
            if let Some(orphaned) = self.orphaned_uses.get_mut(id) {
                orphaned.own.remove(work);
                if orphaned.own.total() == 0 {
                    self.orphaned_uses.remove(id);
                }
            }
            return;
        };
        record.own.remove(work);
        match outcome {
            Some(Ok(())) => record.health.succeed(),
            Some(Err(AttemptFailure::OtherTarget)) => record.address_reused = true,
            Some(Err(failure)) if failure.is_target_fault() => {
                record.health.fail(failure.is_unresponsive(), now);
            }
            Some(Err(_)) | None => record.health.forget_probe(),
        }
    }

    /// Targets to which a liveness probe should be sent at `now`. A target is returned again only
    /// after its next failure or [`note_silence`](Self::note_silence).
    pub fn silent_targets(&self, now: MonoTime) -> Vec<(String, SocketAddr)> {
        let silent = self.records.values().filter(|record| record.health.needs_liveness_probe(now));
        silent.map(|record| (record.entry.id.clone(), record.entry.address)).collect()
    }

    /// Records that a target answered a liveness probe.
    pub fn note_liveness(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.note_liveness();
        }
    }

    /// Records that a target did not answer a liveness probe; another one follows later.
    pub fn note_silence(&mut self, id: &str, now: MonoTime) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.fail(true, now);
        }
    }

    /// Records that a target is alive because it sent the head of an answer.
    pub fn note_alive(&mut self, id: &str) {
        if let Some(record) = self.records.get_mut(id) {
            record.health.succeed();
        }
    }

    /// This gateway's use of each target, as reported to the other gateways.
    pub fn own_uses(&self) -> impl Iterator<Item = (&str, TargetUse)> {
        let records = self.records.iter().map(|(id, record)| (id.as_str(), record.own));
        // An ended incarnation occupies no slots, however long its requests take to end here.
        let orphaned_uses =
            self.orphaned_uses.iter().filter(|(_, orphaned)| !orphaned.has_restarted);
        let orphaned_uses = orphaned_uses.map(|(id, orphaned)| (id.as_str(), orphaned.own));
        records.chain(orphaned_uses).filter(|(_, own)| own.total() > 0)
    }

    /// Replaces another gateway's report of its target use. The report is complete: targets not in
    /// it are not used by that gateway.
    pub fn take_report(&mut self, peer: &VmName, uses: FastMap<String, TargetUse>, now: MonoTime) {
        self.drop_report(peer);
        // The report contains revoked items that have not ended.
        self.revoked.remove_peer(peer);
        for (id, reported) in &uses {
            if let Some(record) = self.records.get_mut(id) {
                record.others.online += reported.online;
                record.others.batch += reported.batch;
            }
        }
        self.reports.insert(peer.clone(), PeerReport { at: now, uses });
    }

    /// Drops the reports of gateways that have not been heard from for too long: a dead gateway
    /// occupies no slots.
    pub fn expire_reports(&mut self, now: MonoTime) {
        let old = self.reports.iter().filter(|(_, r)| now.since(r.at) > REPORT_LIFETIME);
        let old: Vec<VmName> = old.map(|(peer, _)| peer.clone()).collect();
        for peer in old {
            self.drop_report(&peer);
            self.revoked.remove_peer(&peer);
        }
    }

    /// Number of this gateway's items at `id` to preempt because online requests queue behind
    /// items. Each gateway with items there takes a proportional share, rounding fractions at
    /// random, so that together they do not preempt more items than requests are queued.
    pub fn items_to_preempt(&self, id: &str, mut draw: impl FnMut() -> f64) -> u32 {
        let Some(record) = self.records.get(id) else { return 0 };
        let waiting = record.total().saturating_sub(record.entry.slots);
        let items = record.own.batch + record.others.batch;
        if waiting <= PREEMPTION_QUEUE_LIMIT || items == 0 {
            return 0;
        }
        let share = f64::from(waiting.min(items)) * f64::from(record.own.batch) / f64::from(items);
        (share + draw()) as u32
    }

    /// Assigns targets to home gateways; a gateway prefers the targets that it is the home of. All
    /// gateways compute the same assignment from the same names, so they mostly select among
    /// different targets, whose load each knows exactly, whereas reports of the others' use arrive
    /// a tenth of a second late. `gateways` lists all live gateways including this one, each with
    /// its failure domain.
    pub fn assign_homes(&mut self, own: &str, gateways: &[(String, String)]) {
        let entries = self.records.values().map(|record| &record.entry);
        let targets = entries.map(|entry| (entry.id.as_str(), entry.domain.as_str()));
        self.homes.assign(own, targets.collect(), gateways);
        self.remote_share = REMOTE_GATEWAYS_SAMPLED / gateways.len().max(1) as f64;
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
