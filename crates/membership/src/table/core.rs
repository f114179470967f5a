//! What is held of each member, and what follows from news of one.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::gossip::{MemberState, MemberUpdate};
use notch_types::prelude::*;

use super::{
    book::{Applied, MemberBook, is_live, supersedes},
    domains::{DomainTurn, DomainWatch},
    news::{NewsQueue, ride_limit},
    outbox::send_news,
    rings::PartnerRings,
};
use crate::{
    effect::MembershipEffect,
    roster::{MemberRoster, RosterMember},
    settings::{MemberIdentity, MembershipSettings},
};

/// Least time between two challenges of one member.
const CHALLENGE_INTERVAL: Duration = Duration::from_secs(2);
/// Time that a member claimed alive has to refute its death before the claim is doubted.
const DISPUTE_TIME: Duration = Duration::from_secs(3);
/// Time after which a dispute is forgotten unless somebody claims again.
const DISPUTE_EXPIRY: Duration = Duration::from_secs(60);
/// Pings that carry one piece of news besides the push. Few are enough, since digests find what
/// both have missed.
const MEMBER_RIDES: u32 = 3;

/// What is held of each member.
///
/// Invariants: the rings hold exactly the members that are not dead; every suspect has a deadline.
/// Bounds: maps are keyed by members held, which the book bounds.
#[derive(Debug)]
pub(crate) struct MemberCore {
    settings: MembershipSettings,
    own: VmName,
    pub(crate) book: MemberBook,
    pub(crate) rings: PartnerRings,
    pub(crate) domains: DomainWatch,
    news: NewsQueue<VmName>,
    suspects: BTreeMap<VmName, MonoTime>,
    challenged: BTreeMap<VmName, MonoTime>,
    /// Members held dead here that somebody claims alive, with the first such claim.
    disputed: BTreeMap<VmName, MonoTime>,
    /// Not told to the driver yet.
    changed: Vec<MemberUpdate>,
    /// Not told to the sender of the message at hand yet.
    doubts: Vec<MemberUpdate>,
}

impl MemberCore {
    pub(crate) fn new(identity: &MemberIdentity, settings: &MembershipSettings) -> Self {
        let own = MemberUpdate {
            vm: identity.vm.clone(),
            address: identity.address.clone(),
            domain: identity.domain.clone(),
            incarnation: identity.incarnation,
            state: MemberState::Alive,
        };
        let mut core = Self {
            settings: settings.clone(),
            own: identity.vm.clone(),
            book: MemberBook::new(settings.max_members),
            rings: PartnerRings::new(settings.rings),
            domains: DomainWatch::new(settings.domain_window),
            news: NewsQueue::new(),
            suspects: BTreeMap::new(),
            challenged: BTreeMap::new(),
            disputed: BTreeMap::new(),
            changed: Vec::new(),
            doubts: Vec::new(),
        };
        core.book.apply(MonoTime::default(), &own);
        core.rings.insert(&own.vm);
        core.news.add(&own.vm, true);
        core.changed.push(own);
        core
    }

    /// This gateway as it tells of itself.
    pub(crate) fn own_update(&self) -> MemberUpdate {
        let held = self.book.get(&self.own).expect("a table always holds its own gateway");
        held.update.clone()
    }

    /// Members that are not dead, this gateway included.
    pub(crate) fn live_updates(&self) -> Vec<MemberUpdate> {
        let live = self.book.iter().filter(|held| is_live(held.update.state));
        live.map(|held| held.update.clone()).collect()
    }

    /// The gateways that take work, but for those in `marked`.
    pub(crate) fn roster(&self, marked: impl Fn(&VmName) -> bool) -> MemberRoster {
        let serves = |update: &MemberUpdate| match update.state {
            MemberState::Alive => true,
            MemberState::Suspect => !self.domains.is_down(&update.domain),
            MemberState::Leaving | MemberState::Dead => false,
        };
        let serving =
            self.book.iter().filter(|held| serves(&held.update) && !marked(&held.update.vm));
        let seats: Vec<RosterMember> = serving.map(|held| held.seat.clone()).collect();
        MemberRoster::new(seats)
    }

    /// Takes news of a member that `from` sent.
    pub(crate) fn take_update(
        &mut self,
        now: MonoTime,
        from: &VmName,
        update: &MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if update.vm == self.own {
            self.take_own(now, from, update, effects);
            return;
        }
        match self.book.apply(now, update) {
            Applied::Held(before) => self.changed(now, before, update, effects),
            Applied::Refused => {
                effects.push(MembershipEffect::Count(Counter::Dropped(DropReason::BufferFull)));
            }
            Applied::Old => self.take_old(now, update, effects),
        }
    }

    /// A sign of life of a member held suspect or dead: it is told what is held of it, and
    /// refutes. Without this a member that was unreachable for a while would stay dead for good in
    /// the eyes of some, since nothing else makes it raise its incarnation.
    pub(crate) fn challenge(
        &mut self,
        now: MonoTime,
        vm: &VmName,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(held) = self.book.get(vm) else { return };
        let doubted = matches!(held.update.state, MemberState::Suspect | MemberState::Dead);
        let recent = self.challenged.get(vm).is_some_and(|at| now < *at + CHALLENGE_INTERVAL);
        if !doubted || recent || *vm == self.own {
            return;
        }
        send_news(vm, std::slice::from_ref(&held.update), effects);
        self.challenged.insert(vm.clone(), now);
    }

    /// A probe of the member failed.
    pub(crate) fn probe_failed(
        &mut self,
        now: MonoTime,
        vm: &VmName,
        strain: u32,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let state = match self.book.state(vm) {
            Some(MemberState::Alive) => MemberState::Suspect,
            // It said that it goes; nothing is lost by holding it gone.
            Some(MemberState::Leaving) => MemberState::Dead,
            Some(MemberState::Suspect | MemberState::Dead) | None => return,
        };
        self.move_on(now, vm, state, effects);
        if let Some(deadline) = self.suspects.get_mut(vm) {
            *deadline = now + self.settings.suspect_timeout * (1 + strain);
        }
        self.challenge(now, vm, effects);
    }

    /// Holds suspects dead whose time to refute is over.
    pub(crate) fn expire_suspects(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        let late = self.suspects.iter().filter(|(_, deadline)| now >= **deadline);
        let expired: Vec<VmName> = late.map(|(vm, _)| vm.clone()).collect();
        for vm in expired {
            self.move_on(now, &vm, MemberState::Dead, effects);
        }
    }

    /// Gives every suspect back the time that this process did not run; after a long pause at
    /// least a whole one, since what was said meanwhile may be lost with the links.
    pub(crate) fn extend_suspects(&mut self, now: MonoTime, late: Duration) {
        let whole = self.settings.suspect_timeout;
        let least = if late >= whole { now + whole } else { now };
        for deadline in self.suspects.values_mut() {
            *deadline = (*deadline + late).max(least);
        }
    }

    /// This gateway, or another that the VM list says is leaving, is leaving.
    pub(crate) fn leave(
        &mut self,
        now: MonoTime,
        vm: &VmName,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if matches!(self.book.state(vm), Some(MemberState::Alive | MemberState::Suspect)) {
            self.move_on(now, vm, MemberState::Leaving, effects);
        }
    }

    /// Looks for domains lost or back. All members of a lost domain become suspects at once, so
    /// that assignments move in one step; those that still answer refute.
    pub(crate) fn watch_domains(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        for turn in self.domains.turns(now, &self.book) {
            match turn {
                DomainTurn::Down(domain) => {
                    self.suspect_domain(now, &domain, effects);
                    effects.push(MembershipEffect::DomainDown(domain));
                }
                DomainTurn::Up(domain) => effects.push(MembershipEffect::DomainUp(domain)),
            }
        }
    }

    /// Forgets what is over.
    pub(crate) fn tidy(&mut self, now: MonoTime) {
        self.book.forget_dead(now, self.settings.dead_expiry);
        self.challenged.retain(|_, at| now < *at + CHALLENGE_INTERVAL);
        self.disputed.retain(|_, at| now < *at + DISPUTE_EXPIRY);
    }

    /// News to ride on a message.
    pub(crate) fn ride(&mut self) -> Vec<MemberUpdate> {
        let taken = self.news.take(self.settings.piggyback_members, MEMBER_RIDES);
        self.look_up(&taken)
    }

    /// News to push.
    pub(crate) fn push(&mut self, count: usize) -> Vec<MemberUpdate> {
        let taken = self.news.take_urgent(count);
        self.look_up(&taken)
    }

    pub(crate) fn is_urgent(&self) -> bool {
        self.news.is_urgent()
    }

    /// Messages that carry one fact, which nobody may have pushed.
    pub(crate) fn ride_limit(&self) -> u32 {
        ride_limit(self.rings.len())
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.suspects.values().min().copied()
    }

    /// Changes not told yet.
    pub(crate) fn take_changed(&mut self) -> Vec<MemberUpdate> {
        std::mem::take(&mut self.changed)
    }

    /// Doubts about members that the sender of the last message holds alive.
    pub(crate) fn take_doubts(&mut self) -> Vec<MemberUpdate> {
        std::mem::take(&mut self.doubts)
    }

    pub(crate) fn has_changed(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Tells these members as changed, though their state is the same: marks are laid over it.
    pub(crate) fn touch(&mut self, vms: &[VmName]) {
        let touched = self.look_up(vms);
        self.changed.extend(touched);
    }

    fn look_up(&self, taken: &[VmName]) -> Vec<MemberUpdate> {
        let held = taken.iter().filter_map(|vm| self.book.get(vm));
        held.map(|held| held.update.clone()).collect()
    }

    /// News of this gateway itself: whoever doubts it is refuted by a higher incarnation.
    fn take_own(
        &mut self,
        now: MonoTime,
        from: &VmName,
        update: &MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let own = self.own_update();
        if !supersedes(update, &own) {
            return;
        }
        let told_to_leave =
            update.incarnation == own.incarnation && update.state == MemberState::Leaving;
        if told_to_leave {
            self.move_on(now, &own.vm, MemberState::Leaving, effects);
            return;
        }
        let incarnation = Incarnation(update.incarnation.0 + 1);
        let refuted = MemberUpdate { incarnation, ..own };
        self.book.apply(now, &refuted);
        self.news.add(&refuted.vm, true);
        effects.push(MembershipEffect::Count(Counter::Event("member_refutations")));
        // Whoever doubts may hold every partner of this gateway dead as well, as after a parting:
        // the push alone would not reach it.
        send_news(from, &[refuted], effects);
    }

    /// News that changed nothing: the sender may hold a member alive that is held dead here.
    ///
    /// The member is told and refutes if it lives. If it does not, the sender has missed the death
    /// and, being no partner of the dead, would never hear of it: it gets a suspicion at its next
    /// claim. Not a death, and not at the first claim: after a parting each side holds the other's
    /// members dead, and would make the other suspect or bury all its own.
    fn take_old(
        &mut self,
        now: MonoTime,
        update: &MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(held) = self.book.get(&update.vm) else { return };
        let disputed = held.update.state == MemberState::Dead
            && matches!(update.state, MemberState::Alive | MemberState::Leaving)
            && update.incarnation == held.update.incarnation;
        if !disputed {
            return;
        }
        let state = if update.state == MemberState::Alive {
            MemberState::Suspect
        } else {
            // A suspicion does not win over a leave, and there is nothing to lose.
            MemberState::Dead
        };
        let doubt = MemberUpdate { state, ..held.update.clone() };
        let first = *self.disputed.entry(update.vm.clone()).or_insert(now);
        if now >= first + DISPUTE_TIME {
            self.doubts.push(doubt);
        }
        self.challenge(now, &update.vm, effects);
    }

    /// Moves a member to a later state of its incarnation.
    fn move_on(
        &mut self,
        now: MonoTime,
        vm: &VmName,
        state: MemberState,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(held) = self.book.get(vm) else { return };
        let update = MemberUpdate { state, ..held.update.clone() };
        if let Applied::Held(before) = self.book.apply(now, &update) {
            self.changed(now, before, &update, effects);
        }
    }

    fn suspect_domain(
        &mut self,
        now: MonoTime,
        domain: &DomainName,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let alive = self.book.iter().map(|held| &held.update).filter(|update| {
            update.state == MemberState::Alive && update.domain == *domain && update.vm != self.own
        });
        let vms: Vec<VmName> = alive.map(|update| update.vm.clone()).collect();
        for vm in vms {
            self.move_on(now, &vm, MemberState::Suspect, effects);
        }
    }

    fn changed(
        &mut self,
        now: MonoTime,
        before: Option<MemberState>,
        update: &MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let vm = &update.vm;
        self.disputed.remove(vm);
        match update.state {
            MemberState::Dead => self.rings.remove(vm),
            _ => self.rings.insert(vm),
        }
        match update.state {
            MemberState::Suspect => {
                self.suspects.insert(vm.clone(), now + self.settings.suspect_timeout);
            }
            _ => {
                self.suspects.remove(vm);
            }
        }
        self.news.add(vm, true);
        if before != Some(update.state) {
            self.tell(update, effects);
        }
        self.changed.push(update.clone());
    }

    fn tell(&self, update: &MemberUpdate, effects: &mut Vec<MembershipEffect>) {
        let code = match update.state {
            MemberState::Alive => "members_alive",
            MemberState::Suspect => "members_suspected",
            MemberState::Leaving => "members_leaving",
            MemberState::Dead => "members_dead",
        };
        effects.push(MembershipEffect::Count(Counter::Event(code)));
        let detail = format!("incarnation {} in {}", update.incarnation, update.domain);
        let note = DecisionNote::new(NoteSubject::Vm(update.vm.clone()), code, detail);
        effects.push(MembershipEffect::Note(note));
    }
}
