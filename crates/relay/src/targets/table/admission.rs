//! Granting of slots at own targets, preemption of items, and selection of the home gateway to ask
//! for a slot.

use notch_types::prelude::*;

use crate::targets::{
    choice::{QueueLimit, TargetChoice, TargetQuery, WorkKind},
    grants::{PreemptedItem, QueueOffer, SlotGrant},
    record::{TargetRecord, UseChange},
    table::{PeerReport, TargetTable},
};

/// Range of the random choice among gateways that are asked for a slot, in requests. All gateways
/// whose own targets are full ask at the same moment, and a gateway that all of them asked first
/// would have nothing left for most of them.
const ASK_RANDOM_RANGE: f64 = 4.0;
/// Load penalty, in requests, of a target without a known free slot, so that its home gateway is
/// asked after all others.
pub(super) const FULL_PENALTY: f64 = 100.0;

impl TargetTable {
    /// Selects a slot at an own target that is freed by preempting an item, and returns the item's
    /// owner.
    pub fn pick_preemptible(
        &mut self,
        query: &TargetQuery<'_>,
        now: MonoTime,
    ) -> Option<(TargetChoice, PreemptedItem)> {
        let record = self.preemptible_record(query, now)?;
        let choice = self.choice_of(record);
        let preempted = self.revoke_item(&choice.id, now)?;
        Some((choice, preempted))
    }

    /// Selects the gateway to ask for a slot: one with free slots as far as is known, else, if
    /// `may_displace`, one that may free a slot by preempting an item.
    ///
    /// It is designed for peaks in which a gateway's own targets are full while a tenth of all
    /// slots is free.
    pub fn home_to_ask(
        &self,
        query: &TargetQuery<'_>,
        may_displace: bool,
        now: MonoTime,
        mut draw: impl FnMut() -> f64,
    ) -> Option<VmName> {
        let pace = self.pace_use(query.service);
        let mut best: Option<(f64, &VmName)> = None;
        for record in self.records.values() {
            let id = &record.entry.id;
            let Some(home) = self.homes.other_home(id) else { continue };
            let is_able = record.serves(query)
                && !record.is_avoided(now)
                && !query.avoid.contains(id)
                && self.homes.may_ask(home, now);
            if !is_able || !(record.has_free_slot() || may_displace) {
                continue;
            }
            let full = if record.has_free_slot() { 0.0 } else { FULL_PENALTY };
            let score =
                record.score(&self.domain, false, pace, now) + full + draw() * ASK_RANDOM_RANGE;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, home));
            }
        }
        best.map(|(_, home)| home.clone())
    }

    /// Counts a request at target `id`, at which its home gateway granted a slot. Returns `None` if
    /// the target is no longer used here.
    pub fn take_granted(&mut self, query: &TargetQuery<'_>, id: &str) -> Option<TargetChoice> {
        let record = self.records.get(id)?;
        if !record.serves(query) {
            return None;
        }
        let choice =
            TargetChoice { has_free_slot: true, is_granted: true, ..self.choice_of(record) };
        self.take(query, choice)
    }

    /// Grants another gateway a slot at an own target and counts it there.
    ///
    /// It is designed for peaks in which nine tenths of all slots are in use. Every gateway whose
    /// own targets are full looks for the few free slots, and only the home gateway of a target
    /// knows at once which of them are taken.
    pub fn grant(
        &mut self,
        peer: &VmName,
        query: &TargetQuery<'_>,
        may_displace: bool,
        now: MonoTime,
    ) -> Option<SlotGrant> {
        let able = self.able_records(query, now).filter(|record| record.has_free_slot());
        let pace = self.pace_use(query.service);
        let load = |record: &TargetRecord| record.score(&self.domain, true, pace, now);
        let free = able.min_by(|a, b| load(a).total_cmp(&load(b)));
        let free = free.map(|record| SlotGrant { id: record.entry.id.clone(), preempted: None });
        let grant = match free {
            Some(grant) => grant,
            None if may_displace => {
                let id = self.preemptible_record(query, now)?.entry.id.clone();
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
        let able = self.able_records(query, now);
        let best = able.min_by_key(|record| (record.waiting(), record.total()))?;
        Some(QueueOffer { id: best.entry.id.clone(), waiting: best.waiting() })
    }

    /// Selects a queue offered by another gateway, if the request is likely to be served in time
    /// there and has fewer requests ahead of it than at any own target.
    pub fn pick_offered(
        &self,
        query: &TargetQuery<'_>,
        offer: &QueueOffer,
        now: MonoTime,
    ) -> Option<TargetChoice> {
        let own = self.shortest_queue(query, now).map_or(u32::MAX, |own| own.waiting);
        let record = self.records.get(&offer.id).filter(|record| record.serves(query))?;
        let ahead = record.entry.slots + offer.waiting;
        let stats = self.latency(query.service);
        let is_in_time = match query.queue {
            QueueLimit::Any => true,
            QueueLimit::Within(objective) => stats.is_in_time(ahead, record.entry.slots, objective),
        };
        let is_shorter = offer.waiting < own && is_in_time;
        is_shorter.then(|| TargetChoice { has_free_slot: false, ..self.choice_of(record) })
    }

    /// Own targets that accept requests for a service.
    pub(super) fn own_records(
        &self,
        service: &str,
        now: MonoTime,
    ) -> impl Iterator<Item = &TargetRecord> {
        self.records.values().filter(move |record| {
            record.takes(service) && self.homes.is_own(&record.entry.id) && !record.is_avoided(now)
        })
    }

    /// Own targets that accept the request of a query and have not failed it.
    fn able_records(
        &self,
        query: &TargetQuery<'_>,
        now: MonoTime,
    ) -> impl Iterator<Item = &TargetRecord> {
        let own = self.own_records(query.service, now);
        own.filter(|record| record.serves(query) && !query.avoid.contains(&record.entry.id))
    }

    /// The own target with the fewest online requests among those where items occupy slots.
    fn preemptible_record(&self, query: &TargetQuery<'_>, now: MonoTime) -> Option<&TargetRecord> {
        let online = |record: &TargetRecord| record.own.online + record.others.online;
        let able = self.able_records(query, now).filter(|record| {
            record.total() > online(record) && online(record) < record.entry.slots
        });
        able.min_by_key(|record| online(record))
    }

    /// Selects the owner of the item to preempt at an own target: the receiver of an offer that was
    /// not answered, else this gateway if it has items there, else the gateway with the most items
    /// there, whose use is reduced at once.
    fn revoke_item(&mut self, id: &str, now: MonoTime) -> Option<PreemptedItem> {
        if let Some(peer) = self.withdraw_offer(id) {
            return Some(PreemptedItem::Peer(peer));
        }
        if self.records.get(id)?.own.batch > 0 {
            return Some(PreemptedItem::Own);
        }
        let items = |report: &PeerReport| report.uses.get(id).map_or(0, |used| used.batch);
        let holders = self.reports.iter().filter(|(_, report)| items(report) > 0);
        let (peer, _) = holders.max_by_key(|(peer, report)| (items(report), peer.as_str()))?;
        let peer = peer.clone();
        self.count_peer_use(&peer, id, WorkKind::Batch, UseChange::End, now);
        self.note_revoked(&peer, id, now);
        Some(PreemptedItem::Peer(peer))
    }

    /// Records that another gateway began or ended a request at a target. Its next report includes
    /// the change.
    pub fn note_peer_use(
        &mut self,
        peer: &VmName,
        id: &str,
        work: WorkKind,
        change: UseChange,
        now: MonoTime,
    ) {
        if self.is_revoked_end(peer, id, work, change) {
            return;
        }
        self.settle_offer(peer, id, work, change, now);
        self.count_peer_use(peer, id, work, change, now);
    }

    fn count_peer_use(
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

    /// Excludes a gateway from slot requests until `until`.
    pub fn note_denied(&mut self, home: &VmName, until: MonoTime) {
        self.homes.note_denied(home, until);
    }
}
