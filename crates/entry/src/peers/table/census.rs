//! Which of the other gateways count when something is divided among all, or asked of one.

use std::time::Duration;

use notch_relay::prelude::PeerCounts;
use notch_types::prelude::*;

use super::{PeerRecord, PeerTable, Up};

/// Who had no link for so long isn't counted among the known gateways: a VM was removed for good.
const PEER_LOST: Duration = Duration::from_secs(60);
/// A gateway whose process runs this long is known to all others: they read the gateways' entries more often.
const LIMITER_AGE: Duration = Duration::from_secs(3);

fn census(peers: &FastMap<VmName, PeerRecord>) -> PeerCounts {
    let known = peers.values().filter(|record| !record.is_lost);
    let mut census = PeerCounts::default();
    for record in known {
        census.known += 1;
        census.heard += usize::from(record.link.is_some());
        census.ended += usize::from(record.link.is_none() && record.has_ended);
    }
    census
}

impl PeerTable {
    /// How many gateways that come before `own` follow the store.
    pub fn watchers_before(&self, own: &VmName) -> usize {
        let rank = |vm: &VmName| stable_hash64(&[b"watch", vm.as_str().as_bytes()]);
        let own = rank(own);
        let peers = self.peers();
        let before =
            peers.iter().filter(|(vm, r)| r.is_watching && !r.is_leaving && rank(vm) > own);
        before.count()
    }

    /// A gateway that follows the store, drawn by a number from 0 to 1; `None` when none does.
    pub fn follower(&self, draw: f64) -> Option<VmName> {
        let peers = self.peers();
        let follows = |r: &PeerRecord| r.is_watching && !r.is_leaving && r.link.is_some();
        let mut followers: Vec<&VmName> =
            peers.iter().filter(|(_, record)| follows(record)).map(|(vm, _)| vm).collect();
        followers.sort();
        let index = (draw * followers.len() as f64) as usize;
        followers.get(index).map(|vm| (*vm).clone())
    }

    /// The other gateways that follow the store.
    pub fn follower_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let follows = |r: &PeerRecord| r.is_watching && !r.is_leaving && r.link.is_some();
        let followers = peers.iter().filter(|(_, record)| follows(record));
        followers.map(|(vm, _)| vm.clone()).collect()
    }

    /// The gateway to ask how old the configuration is: for one that follows the store, the first of these;
    /// for another one any of these. `None` when `own` is the first, or none follows.
    pub fn proving_gateway(&self, own: &VmName, is_follower: bool, draw: f64) -> Option<VmName> {
        if !is_follower {
            return self.follower(draw);
        }
        let rank = |vm: &VmName| stable_hash64(&[b"prove", vm.as_str().as_bytes()]);
        let first = self.follower_vms().into_iter().max_by_key(rank)?;
        (rank(&first) > rank(own)).then_some(first)
    }

    /// Gateways that haven't been heard for long don't count among the known ones, as long as most of the
    /// others are heard: one that is cut off itself must not take the rest for gone.
    pub fn note_lost(&self, now: MonoTime) {
        let mut peers = self.peers();
        if !census(&peers).has_quorum() {
            return;
        }
        let is_gone = |r: &PeerRecord| r.link.is_none() && now.since(r.down_since) >= PEER_LOST;
        for record in peers.values_mut().filter(|record| is_gone(record)) {
            record.is_lost = true;
        }
    }

    /// What is heard of the other gateways, and those among which limits of accounts are divided, `own` among
    /// them unless it stops. One that has just started takes part when all others have heard of it, at the same
    /// moment for all.
    pub fn limiter_candidates(
        &self,
        own: Option<&VmName>,
        own_up: Duration,
        now: MonoTime,
    ) -> (PeerCounts, Vec<VmName>) {
        let peers = self.peers();
        let census = census(&peers);
        let takes_part = |r: &PeerRecord| r.link.is_some() && !r.is_leaving && !r.is_stopping;
        let able = peers.iter().filter(|(_, record)| takes_part(record));
        let able = able.map(|(vm, record)| (vm, record.up(now)));
        let able: Vec<(&VmName, Duration)> = able.chain(own.map(|vm| (vm, own_up))).collect();
        let old = able.iter().filter(|(_, up)| *up >= LIMITER_AGE).count();
        // After a restart of all, nobody is old.
        let least = if old * 2 > able.len() { LIMITER_AGE } else { Duration::ZERO };
        let chosen = able.into_iter().filter(|(_, up)| *up >= least);
        (census, chosen.map(|(vm, _)| vm.clone()).collect())
    }

    /// How long a peer's process has run, as it told.
    pub fn set_up(&self, vm: &VmName, up: Duration, now: MonoTime) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.up_since = Some(Up { at: now, up });
        }
    }
}
