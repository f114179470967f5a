//! Whether the owners of jobs are alive.

use std::{
    sync::{MutexGuard, PoisonError},
    time::Duration,
};

use notch_relay::prelude::OwnContact;
use notch_types::prelude::*;

use super::{PeerRecord, PeerTable};
use crate::constants::{FIRST_LINK_TIMEOUT, PEER_DEAD_AFTER};

/// Whether the owner of a job is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerLiveness {
    /// There is a link to it.
    Alive,
    /// There is no link, but not yet for long enough to consider it dead, or this gateway itself may be cut off.
    Suspect,
    /// It restarted, hands its jobs over, or is considered dead.
    Gone,
}

impl PeerTable {
    /// Whether the gateway with the identity `owner` is alive at `now`. One without a link is first `Suspect`, even
    /// if it is heard of for the first time: a gateway that has just started may own jobs before its entry is read
    /// here. Taken over at once, these would have two owners.
    pub fn liveness(&self, owner: &str, now: MonoTime) -> OwnerLiveness {
        let vm = VmName::new(owner.split_once('#').map_or(owner, |(vm, _)| vm));
        let mut peers = self.peers();
        let record = peers.entry(vm.clone()).or_insert_with(|| PeerRecord::new(&vm, now));
        let newest = record.owner.as_deref().or(record.entry.as_ref().map(|e| &*e.owner));
        if record.is_leaving || newest.is_some_and(|newest| newest != owner) {
            return OwnerLiveness::Gone;
        }
        if record.link.is_some() {
            return OwnerLiveness::Alive;
        }
        let (down_since, usual) = (record.down_since, record.dead_after());
        let mut contact = self.contact();
        note_silence(&mut contact, &peers, now);
        if contact.shows_absence(down_since, usual, now) {
            OwnerLiveness::Gone
        } else {
            OwnerLiveness::Suspect
        }
    }

    /// Whether the store should confirm that it is in reach, as most other gateways are silent.
    pub fn needs_contact(&self, now: MonoTime) -> bool {
        let peers = self.peers();
        let mut contact = self.contact();
        note_silence(&mut contact, &peers, now);
        contact.needs_confirmation(now)
    }

    /// Records that the store answered at `now` what was requested at `asked`.
    pub fn note_contact(&self, asked: MonoTime, now: MonoTime) {
        self.contact().note_confirmed(asked, now);
    }

    fn contact(&self) -> MutexGuard<'_, OwnContact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn note_silence(contact: &mut OwnContact, peers: &FastMap<VmName, PeerRecord>, now: MonoTime) {
    let is_known = |record: &&PeerRecord| {
        (record.entry.is_some() || record.was_linked) && !record.is_leaving && !record.is_lost
    };
    let known = peers.values().filter(is_known);
    // A closed connection shows that packets arrive.
    let silent = known.clone().filter(|record| record.link.is_none() && !record.has_ended);
    contact.note_silence(silent.count(), known.count(), now);
}

impl PeerRecord {
    /// How long it may be without a link before it is considered dead. One that never had a link may be alive but not
    /// know this gateway yet, if this one has just started.
    fn dead_after(&self) -> Duration {
        if self.was_linked { PEER_DEAD_AFTER } else { FIRST_LINK_TIMEOUT }
    }
}
