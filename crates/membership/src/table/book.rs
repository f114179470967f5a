//! All members held, and which news of a member supersedes which.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::gossip::{MemberState, MemberUpdate};
use notch_types::prelude::*;

use crate::roster::RosterMember;

/// Longest name or address taken, bytes.
const MAX_TEXT_BYTES: usize = 128;

/// A member held.
#[derive(Debug, Clone)]
pub(crate) struct HeldMember {
    /// What is held of it.
    pub(crate) update: MemberUpdate,
    /// When its state last changed here.
    pub(crate) since: MonoTime,
    /// For rosters.
    pub(crate) seat: RosterMember,
}

/// What an update did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Applied {
    /// Nothing new.
    Old,
    /// Refused: no room, or not sensible.
    Refused,
    /// Held from now on; carries the state before, `None` for a new member.
    Held(Option<MemberState>),
}

/// All members held, this gateway included.
///
/// Invariant: for each member the incarnation never falls, and within one incarnation the state
/// only moves on in [`MemberState`]'s order.
/// Bound: `max_members`; the one dead for longest makes room for a new one.
#[derive(Debug)]
pub(crate) struct MemberBook {
    members: BTreeMap<VmName, HeldMember>,
    max_members: usize,
    digest: u64,
}

impl MemberBook {
    pub(crate) fn new(max_members: usize) -> Self {
        Self { members: BTreeMap::new(), max_members, digest: 0 }
    }

    pub(crate) fn get(&self, vm: &VmName) -> Option<&HeldMember> {
        self.members.get(vm)
    }

    pub(crate) fn state(&self, vm: &VmName) -> Option<MemberState> {
        self.members.get(vm).map(|held| held.update.state)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &HeldMember> {
        self.members.values()
    }

    /// Digest of the members alive or leaving. A suspect counts as alive, for suspicion comes and
    /// goes; the dead don't count, for each node forgets them at its own time.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Takes an update if it supersedes what is held.
    pub(crate) fn apply(&mut self, now: MonoTime, update: &MemberUpdate) -> Applied {
        if !is_sensible(update) {
            return Applied::Refused;
        }
        let Some(held) = self.members.get(&update.vm) else {
            return self.add(now, update);
        };
        if !supersedes(update, &held.update) {
            return Applied::Old;
        }
        let before = held.update.state;
        self.put(now, update);
        Applied::Held(Some(before))
    }

    /// Forgets members dead for longer than `expiry`.
    pub(crate) fn forget_dead(&mut self, now: MonoTime, expiry: Duration) {
        let stays = |held: &HeldMember| {
            held.update.state != MemberState::Dead || now.since(held.since) < expiry
        };
        self.members.retain(|_, held| stays(held));
    }

    fn add(&mut self, now: MonoTime, update: &MemberUpdate) -> Applied {
        if update.state == MemberState::Dead {
            // News of the death of a stranger is no use, and would travel for ever.
            return Applied::Old;
        }
        if self.members.len() >= self.max_members && !self.make_room() {
            return Applied::Refused;
        }
        self.put(now, update);
        Applied::Held(None)
    }

    fn make_room(&mut self) -> bool {
        let dead = self.iter().filter(|held| held.update.state == MemberState::Dead);
        let oldest = dead.min_by_key(|held| held.since).map(|held| held.update.vm.clone());
        oldest.is_some_and(|vm| self.members.remove(&vm).is_some())
    }

    fn put(&mut self, now: MonoTime, update: &MemberUpdate) {
        if let Some(held) = self.members.get(&update.vm) {
            self.digest ^= digest_of(&held.update);
        }
        self.digest ^= digest_of(update);
        let seat = RosterMember::new(&update.vm, &update.domain);
        let held = HeldMember { update: update.clone(), since: now, seat };
        self.members.insert(update.vm.clone(), held);
    }
}

/// Whether `news` wins over `held`.
pub(crate) fn supersedes(news: &MemberUpdate, held: &MemberUpdate) -> bool {
    (news.incarnation, news.state) > (held.incarnation, held.state)
}

/// Whether the member may still answer.
pub(crate) fn is_live(state: MemberState) -> bool {
    state != MemberState::Dead
}

fn is_sensible(update: &MemberUpdate) -> bool {
    let texts = [update.vm.as_str(), update.domain.as_str(), &update.address];
    texts.iter().all(|text| !text.is_empty() && text.len() <= MAX_TEXT_BYTES)
}

/// A member's part of the digest; nothing for a dead one.
fn digest_of(update: &MemberUpdate) -> u64 {
    let leaving: &[u8] = match update.state {
        MemberState::Alive | MemberState::Suspect => b"alive",
        MemberState::Leaving => b"leaving",
        MemberState::Dead => return 0,
    };
    stable_hash64(&[update.vm.as_str().as_bytes(), &update.incarnation.0.to_le_bytes(), leaving])
}
