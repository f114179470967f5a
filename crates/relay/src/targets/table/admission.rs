//! Places at a gateway's own targets, granted to others or yielded by items, and whom to ask for others'.

use notch_types::prelude::*;

use crate::targets::{
    choice::{QueueLimit, TargetChoice, TargetQuery, WorkKind},
    places::{PreemptedItem, QueueOffer, SlotGrant},
    record::{TargetRecord, UseChange},
    table::{PeerReport, TargetTable},
};

/// Spread of the random choice among gateways that are asked for a place, in requests: all whose own targets
/// are full ask at that moment, and one that all ask first has nothing left for most of them.
const ASK_SPREAD: f64 = 4.0;
/// Added to the load of a target without a free place, as far as is known, in requests: its home is asked
/// after all others.
const FULL_PENALTY: f64 = 100.0;

impl TargetTable {
    /// A place at one of this gateway's own targets that an item has to yield, and whose item.
    pub fn pick_yielding(
        &mut self,
        query: &TargetQuery<'_>,
        now: MonoTime,
    ) -> Option<(TargetChoice, PreemptedItem)> {
        let record = self.yielding_record(query.service, query.avoid, now)?;
        let choice = self.choice_of(record);
        let preempted = self.revoke_item(&choice.id, now)?;
        Some((choice, preempted))
    }

    /// The gateway to ask for a place: one that has places as far as is known, else any that may have one
    /// that an item yields.
    ///
    /// Load pattern: a crest in which a gateway's own targets are full and a tenth of all places is free.
    pub fn home_to_ask(
        &self,
        query: &TargetQuery<'_>,
        may_displace: bool,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<VmName> {
        let mut best: Option<(f64, &VmName)> = None;
        for record in self.records.values() {
            let id = &record.entry.id;
            let Some(home) = self.homes.other_home(id) else { continue };
            let is_able = record.takes(query.service)
                && !record.health.is_avoided(now)
                && !query.avoid.contains(id)
                && self.homes.may_ask(home, now);
            if !is_able || !(record.has_place() || may_displace) {
                continue;
            }
            let full = if record.has_place() { 0.0 } else { FULL_PENALTY };
            let score = record.score(&self.domain, false, now) + full + draw() * ASK_SPREAD;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, home));
            }
        }
        best.map(|(_, home)| home.clone())
    }

    /// Counts a request at the target `id` whose home granted a place there; `None` when the target isn't
    /// used here any more.
    pub fn take_granted(&mut self, query: &TargetQuery<'_>, id: &str) -> Option<TargetChoice> {
        let record = self.records.get(id)?;
        if !record.takes(query.service) {
            return None;
        }
        let choice =
            TargetChoice { has_free_slot: true, is_granted: true, ..self.choice_of(record) };
        self.take(query, choice)
    }

    /// Grants another gateway a place at one of this gateway's targets, and counts it there.
    ///
    /// Load pattern: crests in which nine tenths of all places are taken. Every gateway whose own targets
    /// are full looks for the few free places; only the home of a target knows at once which are gone.
    pub fn grant(
        &mut self,
        peer: &VmName,
        query: &TargetQuery<'_>,
        may_displace: bool,
        now: MonoTime,
    ) -> Option<SlotGrant> {
        let TargetQuery { service, avoid, .. } = *query;
        let able = self.own_records(service, avoid, now).filter(|record| record.has_place());
        let load = |record: &TargetRecord| record.score(&self.domain, true, now);
        let free = able.min_by(|a, b| load(a).total_cmp(&load(b)));
        let free = free.map(|record| SlotGrant { id: record.entry.id.clone(), preempted: None });
        let grant = match free {
            Some(grant) => grant,
            None if may_displace => {
                let id = self.yielding_record(service, avoid, now)?.entry.id.clone();
                let preempted = Some(self.revoke_item(&id, now)?);
                SlotGrant { id, preempted }
            }
            None => return None,
        };
        self.note_peer_use(peer, &grant.id, WorkKind::Online, UseChange::Begin, now);
        Some(grant)
    }

    /// The shortest queue at an own target.
    pub fn shortest_queue(&self, query: &TargetQuery<'_>, now: MonoTime) -> Option<QueueOffer> {
        let able = self.own_records(query.service, query.avoid, now);
        let best = able.min_by_key(|record| (record.waiting(), record.total()))?;
        Some(QueueOffer { id: best.entry.id.clone(), waiting: best.waiting() })
    }

    /// A queue that another gateway offered, where a request likely is in time and waits behind fewer than at
    /// the own targets.
    pub fn pick_offered(
        &self,
        query: &TargetQuery<'_>,
        offer: &QueueOffer,
        now: MonoTime,
    ) -> Option<TargetChoice> {
        let own = self.shortest_queue(query, now).map_or(u32::MAX, |own| own.waiting);
        let record = self.records.get(&offer.id).filter(|record| record.takes(query.service))?;
        let ahead = record.entry.slots + offer.waiting;
        let pace = self.latency(query.service);
        let is_in_time = match query.queue {
            QueueLimit::Any => true,
            QueueLimit::Within(objective) => pace.is_in_time(ahead, record.entry.slots, objective),
        };
        let is_shorter = offer.waiting < own && is_in_time;
        is_shorter.then(|| TargetChoice { has_free_slot: false, ..self.choice_of(record) })
    }

    /// This gateway's own targets that take requests of a service.
    fn own_records(
        &self,
        service: &str,
        avoid: &[String],
        now: MonoTime,
    ) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().filter(move |record| {
            record.takes(service)
                && self.homes.is_own(&record.entry.id)
                && !record.health.is_avoided(now)
                && !avoid.contains(&record.entry.id)
        })
    }

    /// The own target with fewest online requests at which items have the last places.
    fn yielding_record(
        &self,
        service: &str,
        avoid: &[String],
        now: MonoTime,
    ) -> Option<&TargetRecord> {
        let online = |record: &TargetRecord| record.own.online + record.others.online;
        let able = self.own_records(service, avoid, now).filter(|record| {
            record.total() > online(record) && online(record) < record.entry.slots
        });
        able.min_by_key(|record| online(record))
    }

    /// Decides whose item yields its place at an own target: one of this gateway's, else one of the
    /// gateway with most items there, which isn't counted from now on.
    fn revoke_item(&mut self, id: &str, now: MonoTime) -> Option<PreemptedItem> {
        if self.records.get(id)?.own.batch > 0 {
            return Some(PreemptedItem::Own);
        }
        let items = |report: &PeerReport| report.uses.get(id).map_or(0, |used| used.batch);
        let holders = self.reports.iter().filter(|(_, report)| items(report) > 0);
        let (peer, _) = holders.max_by_key(|(peer, report)| (items(report), peer.as_str()))?;
        let peer = peer.clone();
        self.note_peer_use(&peer, id, WorkKind::Batch, UseChange::End, now);
        Some(PreemptedItem::Peer(peer))
    }

    /// Another gateway began or ended a request at a target. Its next report tells the same again.
    pub fn note_peer_use(
        &mut self,
        peer: &VmName,
        id: &str,
        work: WorkKind,
        change: UseChange,
        now: MonoTime,
    ) {
        let report = self
            .reports
            .entry(peer.clone())
            .or_insert_with(|| PeerReport { at: now, uses: FastMap::default() });
        let used = report.uses.entry(id.to_owned()).or_default();
        let before = *used;
        match change {
            UseChange::Begin => used.add(work),
            UseChange::End => used.remove(work),
        }
        if let Some(record) = self.records.get_mut(id) {
            record.others.online =
                (record.others.online + used.online).saturating_sub(before.online);
            record.others.batch = (record.others.batch + used.batch).saturating_sub(before.batch);
        }
    }

    /// A gateway isn't asked for places until `until`.
    pub fn note_denied(&mut self, home: &VmName, until: MonoTime) {
        self.homes.note_denied(home, until);
    }
}
