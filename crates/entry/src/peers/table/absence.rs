//! Which gateways have had no link for long, and whether a majority is heard.

use std::time::Duration;

use notch_relay::{
    jobs::eviction::{EVICTION_SILENCE, needed_for_majority},
    prelude::{EvictionCandidate, FleetView, PeerAbsence},
};
use notch_types::prelude::*;

use super::{PeerRecord, PeerTable};
use crate::{constants::PEER_SILENT_AFTER, peers::roster::RosterEntry};

/// Whether a gateway counts towards a majority. One that handed its jobs over doesn't, until it restarts.
fn counts(record: &PeerRecord) -> bool {
    (record.entry.is_some() || record.was_linked) && !record.is_leaving
}

impl PeerTable {
    /// How long ago a majority of the known gateways, this one included, was last heard; `None` if too few of them ever
    /// had a link.
    pub fn majority_silence(&self, now: MonoTime) -> Option<Duration> {
        let peers = self.peers();
        let known = peers.values().filter(|record| counts(record));
        let needed = needed_for_majority(known.clone().count());
        let linked = known.filter(|record| record.was_linked);
        let mut silences: Vec<Duration> = linked.map(|record| now.since(record.heard_at)).collect();
        silences.sort_unstable();
        match needed {
            0 => Some(Duration::ZERO),
            _ => silences.get(needed - 1).copied(),
        }
    }

    /// The fleet, for the decision which gateway to evict. `entries` are the other gateways' entries.
    pub fn fleet_view(&self, entries: &[RosterEntry], now: MonoTime) -> FleetView {
        let peers = self.peers();
        let names = |takes_part: &dyn Fn(&PeerRecord) -> bool| {
            let some = peers.iter().filter(|(_, record)| takes_part(record));
            some.map(|(vm, _)| vm.clone()).collect()
        };
        let is_new = |r: &PeerRecord| {
            let up = r.uptime.map(|known| known.up + now.since(known.at));
            up.is_none_or(|up| up < EVICTION_SILENCE)
        };
        let may_evict =
            |r: &PeerRecord| r.link.is_some() && !r.is_leaving && !r.is_stopping && !is_new(r);
        let is_heard = |r: &PeerRecord| {
            counts(r) && r.link.is_some() && now.since(r.heard_at) < PEER_SILENT_AFTER
        };
        let candidates = entries.iter().filter_map(|known| {
            let record = peers.get(&known.vm)?;
            let is_same = record.entry.as_ref().is_some_and(|entry| entry.owner == known.owner);
            (is_same && record.link.is_none()).then(|| EvictionCandidate {
                vm: known.vm.clone(),
                owner: known.owner.clone(),
                revision: known.revision,
                unlinked: now.since(record.down_since),
            })
        });
        FleetView {
            linked: names(&|r| r.link.is_some()),
            evictors: names(&may_evict),
            known: peers.values().filter(|record| counts(record)).count(),
            heard: peers.values().filter(|record| is_heard(record)).count(),
            candidates: candidates.collect(),
            is_unsure: !self.has_fresh_entries(now),
        }
    }

    /// What is known here of a gateway that another one wants to evict. One of which nothing is known may have had a link
    /// a moment ago: its record is dropped when an eviction becomes known, although it may have registered again since.
    pub fn absence(&self, vm: &VmName, now: MonoTime) -> PeerAbsence {
        let peers = self.peers();
        let Some(record) = peers.get(vm) else {
            return PeerAbsence { owner: None, unlinked: Some(Duration::ZERO), was_linked: false };
        };
        let owner = record.entry.as_ref().map(|entry| entry.owner.clone());
        let unlinked = record.link.is_none().then(|| now.since(record.down_since));
        PeerAbsence { owner, unlinked, was_linked: record.was_linked }
    }

    /// Treats all gateways without a link as after a start: they may be alive and not know this gateway yet.
    pub fn suspect_unlinked(&self, now: MonoTime) {
        for record in self.peers().values_mut().filter(|record| record.link.is_none()) {
            record.down_since = now;
            record.was_linked = false;
        }
    }

    /// Gateways without a link whose entries are gone. They no longer count as known once they are
    /// [dropped](Self::drop_gone).
    pub fn gone_vms(&self, is_removed: impl Fn(&VmName) -> bool) -> Vec<VmName> {
        let peers = self.peers();
        let gone = peers.iter().filter(|(vm, record)| is_gone(record) && is_removed(vm));
        gone.map(|(vm, _)| vm.clone()).collect()
    }

    /// Drops those of `vms` that still have neither a link nor an entry.
    pub fn drop_gone(&self, vms: &[VmName]) {
        let mut peers = self.peers();
        for vm in vms {
            if peers.get(vm).is_some_and(is_gone) {
                peers.remove(vm);
            }
        }
    }
}

fn is_gone(record: &PeerRecord) -> bool {
    record.entry.is_none() && record.link.is_none() && record.was_linked
}
