//! Selection of gateways: which ones follow the store, which one to ask, and which ones are limiters of accounts.

use std::time::Duration;

use notch_relay::prelude::{PeerCounts, expected_followers};
use notch_types::prelude::*;

use super::{PeerRecord, PeerTable, ReportedUptime, watch_rank};

/// A gateway without a link for this long no longer counts as known: its VM was probably removed for good.
const PEER_LOST: Duration = Duration::from_secs(60);
/// Uptime from which a gateway is known to all others, as they read the gateways' entries more often than this.
const LIMITER_MIN_UPTIME: Duration = Duration::from_secs(3);

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
    /// Number of gateways ranked before `own` that follow the store, or are expected to `up` after this gateway's start,
    /// although they didn't report yet.
    pub fn watchers_before(&self, own: &VmName, up: Duration) -> usize {
        let own = watch_rank(own);
        let peers = self.peers();
        let before = peers.values().filter(|r| r.watch_rank > own && !r.is_leaving);
        let (mut watching, mut unheard) = (0, 0);
        for record in before {
            watching += usize::from(record.is_watching);
            unheard += usize::from(!record.has_reported && record.entry.is_some());
        }
        watching + expected_followers(unheard, peers.len() + 1, up)
    }

    /// Number of linked gateways ranked before `own` that may follow the store.
    pub fn linked_before(&self, own: &VmName) -> usize {
        let own = watch_rank(own);
        let may_follow = |r: &PeerRecord| r.link.is_some() && !r.is_leaving && !r.is_stopping;
        self.peers().values().filter(|r| r.watch_rank > own && may_follow(r)).count()
    }

    /// A gateway that follows the store, selected by the random number `draw` in [0, 1); `None` when none does.
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

    /// The gateway to ask for a configuration proof: a follower of the store asks the follower ranked first, any other
    /// gateway asks a random follower. `None` when `own` is ranked first or there is no follower.
    pub fn proof_source(&self, own: &VmName, is_follower: bool, draw: f64) -> Option<VmName> {
        if !is_follower {
            return self.follower(draw);
        }
        let rank = |vm: &VmName| stable_hash64(&[b"prove", vm.as_str().as_bytes()]);
        let first = self.follower_vms().into_iter().max_by_key(rank)?;
        (rank(&first) > rank(own)).then_some(first)
    }

    /// Marks gateways that have had no link for long as lost, if most of the others are heard: a gateway that is
    /// partitioned off itself must not consider all others gone.
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

    /// The census of the other gateways, and the gateways among which the limiters of accounts are chosen. `own` is one
    /// of those unless it stops. A gateway that has just started becomes a candidate once all others know it, at the
    /// same uptime for all.
    pub fn limiter_candidates(
        &self,
        own: Option<&VmName>,
        own_up: Duration,
        now: MonoTime,
    ) -> (PeerCounts, Vec<VmName>) {
        let peers = self.peers();
        let census = census(&peers);
        let takes_part = |r: &PeerRecord| r.link.is_some() && !r.is_leaving && !r.is_stopping;
        let available = peers.iter().filter(|(_, record)| takes_part(record));
        let available = available.map(|(vm, record)| (vm, record.current_uptime(now)));
        let available: Vec<(&VmName, Duration)> =
            available.chain(own.map(|vm| (vm, own_up))).collect();
        let established = available.iter().filter(|(_, up)| *up >= LIMITER_MIN_UPTIME).count();
        // After a restart of all gateways, none has reached that uptime.
        let min_uptime =
            if established * 2 > available.len() { LIMITER_MIN_UPTIME } else { Duration::ZERO };
        let chosen = available.into_iter().filter(|(_, up)| *up >= min_uptime);
        (census, chosen.map(|(vm, _)| vm.clone()).collect())
    }

    /// Records the uptime that a peer announced.
    pub fn set_uptime(&self, vm: &VmName, up: Duration, now: MonoTime) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.uptime = Some(ReportedUptime { at: now, up });
        }
    }
}
