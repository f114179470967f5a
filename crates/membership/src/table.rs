//! The member table: who is a gateway of the fleet, and in which state.
//!
//! Source: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
//! membership protocol" (2002); Dadgar, Phillips and Currey, "Lifeguard: local health awareness
//! for more accurate failure detection" (2018). Unlike there, only partners are pinged (see
//! `rings`), since a ping here needs a link.

mod book;
mod core;
mod domains;
mod marks;
mod news;
mod outbox;
mod probes;
mod rings;
mod round;
mod rumors;
mod strain;

use notch_messages::gossip::{GossipMessage, MemberState, MemberUpdate, Rumor, RumorTopic};
use notch_types::prelude::*;
use rand::{rngs::SmallRng, seq::IndexedRandom};

use self::{
    book::supersedes,
    core::MemberCore,
    marks::VmMarks,
    outbox::{MAX_UPDATES, send, send_news},
    probes::{ProbeBook, ProbeStage},
    round::PingRound,
    rumors::RumorBook,
    strain::PauseWatch,
};
pub use self::{domains::DomainSummary, rings::partners_of};
use crate::{
    effect::MembershipEffect,
    event::{ListedVm, MembershipEvent},
    roster::MemberRoster,
    settings::{MemberIdentity, MembershipSettings},
};

/// Facts on a message to a gateway that just joined. More than ride on any other message, which
/// tells the receiver not to push them on.
const RUMORS_AT_JOIN: usize = 64;
/// Listed VMs that a starting gateway asks at once.
const JOIN_FANOUT: usize = 3;

/// The member table of one gateway.
#[derive(Debug)]
pub struct MemberTable {
    own: VmName,
    settings: MembershipSettings,
    random: SmallRng,
    core: MemberCore,
    probes: ProbeBook,
    rumors: RumorBook,
    marks: VmMarks,
    pauses: PauseWatch,
    round: PingRound,
    /// Whether another gateway has told its members.
    joined: bool,
    next_ping: MonoTime,
    next_push: MonoTime,
    next_reconnect: MonoTime,
    next_sync: MonoTime,
}

impl MemberTable {
    /// A table that knows only this gateway.
    pub fn new(identity: MemberIdentity, settings: MembershipSettings, random: SmallRng) -> Self {
        Self {
            core: MemberCore::new(&identity, &settings),
            own: identity.vm,
            random,
            probes: ProbeBook::default(),
            rumors: RumorBook::new(&settings),
            marks: VmMarks::default(),
            pauses: PauseWatch::default(),
            round: PingRound::default(),
            joined: false,
            next_ping: MonoTime::default(),
            next_push: MonoTime::default(),
            next_reconnect: MonoTime::default(),
            next_sync: MonoTime::default(),
            settings,
        }
    }

    /// Takes one event and appends what it wants done.
    pub fn handle(
        &mut self,
        now: Now,
        event: MembershipEvent,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let now = now.mono;
        self.notice_pause(now, effects);
        match event {
            MembershipEvent::Tick => {}
            MembershipEvent::Received { from, message } => {
                self.received(now, &from, message, effects);
            }
            MembershipEvent::VmListed(list) => self.take_list(now, list, effects),
            MembershipEvent::LinkUp { vm } => self.probes.heard(&vm),
            MembershipEvent::LinkDown { vm } => self.probe_at_once(now, &vm, effects),
            MembershipEvent::Leave => self.leave(now, effects),
            MembershipEvent::LeavingMarked(vms) => {
                let changed = self.marks.take_marks(vms);
                self.core.touch(&changed);
            }
            MembershipEvent::RumorLocal { rumor, urgent } => {
                self.take_rumor(now, &rumor, urgent, effects);
            }
        }
        self.drive(now, effects);
        self.pauses.expect(self.next_wake());
    }

    /// When the next tick is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let urgent = self.core.is_urgent() || self.rumors.is_urgent();
        let push = (urgent && !self.round.partners().is_empty()).then_some(self.next_push);
        let always = [self.next_ping, self.next_reconnect, self.next_sync];
        let deadlines = [push, self.core.next_deadline(), self.probes.next_deadline()];
        always.into_iter().chain(deadlines.into_iter().flatten()).min()
    }

    /// The gateways that take work, this one included unless it is leaving.
    pub fn roster(&self) -> MemberRoster {
        self.core.roster(|vm| self.marks.is_marked(vm))
    }

    /// Every member held, dead and departed ones included, by VM.
    pub fn members(&self) -> Vec<MemberUpdate> {
        self.core.book.iter().map(|held| held.update.clone()).collect()
    }

    /// The gateways to keep a link to.
    pub fn partners(&self) -> Vec<VmName> {
        self.round.partners().to_vec()
    }

    /// Where a member, or a listed VM that is no member yet, listens.
    pub fn address_of(&self, vm: &VmName) -> Option<String> {
        let member = self.core.book.get(vm).map(|held| held.update.address.clone());
        member.or_else(|| self.marks.address(vm).map(str::to_owned))
    }

    /// Whether this gateway is leaving, by its own will, the VM list or an operator's entry.
    pub fn is_leaving(&self) -> bool {
        let state = self.core.book.state(&self.own);
        state == Some(MemberState::Leaving) || self.marks.is_marked(&self.own)
    }

    /// How each domain stands, by name.
    pub fn domains(&self) -> Vec<DomainSummary> {
        self.core.domains.summaries(&self.core.book)
    }

    /// The newest fact held on a topic.
    pub fn rumor(&self, topic: &RumorTopic) -> Option<&Rumor> {
        self.rumors.get(topic)
    }

    /// All facts held, by topic.
    pub fn rumors(&self) -> Vec<&Rumor> {
        self.rumors.iter().collect()
    }

    fn notice_pause(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        let Some(late) = self.pauses.notice(now, self.settings.ack_timeout) else { return };
        self.probes.clear();
        self.core.extend_suspects(now, late);
        effects.push(MembershipEffect::Count(Counter::Event("membership_pauses")));
    }

    fn drive(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        self.expire_probes(now, effects);
        self.core.expire_suspects(now, effects);
        if self.core.has_changed() {
            self.core.watch_domains(now, effects);
        }
        self.tell_changes(effects);
        if now >= self.next_ping {
            self.ping_next(now, effects);
        }
        if now >= self.next_reconnect {
            self.reconnect(now, effects);
        }
        if now >= self.next_sync {
            self.sync(now, effects);
        }
        if now >= self.next_push && (self.core.is_urgent() || self.rumors.is_urgent()) {
            let fanout = self.settings.push_fanout;
            self.push(now, fanout, effects);
        }
    }

    fn tell_changes(&mut self, effects: &mut Vec<MembershipEffect>) {
        if !self.core.has_changed() {
            return;
        }
        effects.push(MembershipEffect::Changed(self.core.take_changed()));
        let partners = self.core.rings.partners(&self.own);
        if self.round.set_partners(&partners) {
            effects.push(MembershipEffect::Partners(partners));
        }
    }

    fn received(
        &mut self,
        now: MonoTime,
        from: &VmName,
        message: GossipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match message {
            GossipMessage::Ping { sequence, members, rumors } => {
                self.take_news(now, from, &members, &rumors, false, effects);
                self.answer_ping(now, from, sequence, effects);
            }
            GossipMessage::Ack { sequence, members, rumors } => {
                self.take_news(now, from, &members, &rumors, false, effects);
                self.take_ack(from, sequence, effects);
            }
            GossipMessage::PingRequest { sequence, target } => {
                self.ping_for(now, from, sequence, &target, effects);
            }
            GossipMessage::Join { member } => self.take_join(now, from, &member, effects),
            GossipMessage::Members { members } => self.take_members(now, from, &members, effects),
            GossipMessage::MembersDigest { digest } => {
                if digest != self.core.book.digest() {
                    let members = self.core.live_updates();
                    send(from, GossipMessage::Members { members }, effects);
                }
            }
            GossipMessage::News { members, rumors } => {
                let urgent = rumors.len() <= self.settings.piggyback_rumors;
                self.take_news(now, from, &members, &rumors, urgent, effects);
            }
            // The catalogue's; a link that carries them is alive all the same.
            GossipMessage::EntryRoot(_)
            | GossipMessage::EntryRootWanted
            | GossipMessage::EntryDigestsWanted
            | GossipMessage::EntryDigests { .. }
            | GossipMessage::EntryStamps { .. }
            | GossipMessage::EntryStampsWanted { .. }
            | GossipMessage::Entries { .. }
            | GossipMessage::EntryWants { .. } => {}
        }
        self.probes.heard(from);
        self.core.challenge(now, from, effects);
        let doubts = self.core.take_doubts();
        send_news(from, &doubts, effects);
    }

    fn take_news(
        &mut self,
        now: MonoTime,
        from: &VmName,
        members: &[MemberUpdate],
        rumors: &[Rumor],
        urgent: bool,
        effects: &mut Vec<MembershipEffect>,
    ) {
        for update in members {
            self.core.take_update(now, from, update, effects);
        }
        for rumor in rumors {
            self.take_rumor(now, rumor, urgent, effects);
        }
    }

    fn take_rumor(
        &mut self,
        now: MonoTime,
        rumor: &Rumor,
        urgent: bool,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if self.rumors.take_in(now, rumor, urgent) {
            effects.push(MembershipEffect::RumorNew(rumor.clone()));
        }
    }

    /// What rides on a ping or its answer; this gateway itself first, when the other may not know.
    fn ride(&mut self, to: &VmName) -> (Vec<MemberUpdate>, Vec<Rumor>) {
        let mut members = self.core.ride();
        if !self.round.is_greeted(to) && members.iter().all(|update| update.vm != self.own) {
            members.push(self.core.own_update());
        }
        let limit = self.core.ride_limit();
        (members, self.rumors.ride(self.settings.piggyback_rumors, limit))
    }

    fn answer_ping(
        &mut self,
        now: MonoTime,
        from: &VmName,
        sequence: u64,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let (members, rumors) = self.ride(from);
        send(from, GossipMessage::Ack { sequence, members, rumors }, effects);
        if self.core.book.get(from).is_none() {
            self.next_reconnect = self.next_reconnect.min(now + self.settings.ping_interval);
            send(from, GossipMessage::Join { member: self.core.own_update() }, effects);
        }
    }

    fn take_ack(&mut self, from: &VmName, sequence: u64, effects: &mut Vec<MembershipEffect>) {
        self.round.answered(from);
        if let Some((asker, sequence)) = self.probes.answered(sequence) {
            let (members, rumors) = (Vec::new(), Vec::new());
            send(&asker, GossipMessage::Ack { sequence, members, rumors }, effects);
        }
    }

    fn ping_for(
        &mut self,
        now: MonoTime,
        asker: &VmName,
        sequence: u64,
        target: &VmName,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let own = self.probes.next_sequence();
        let deadline = now + self.settings.indirect_timeout;
        let known = self.core.book.get(target).is_some();
        if !known || !self.probes.relay(own, asker, sequence, deadline) {
            return;
        }
        let (members, rumors) = self.ride(target);
        send(target, GossipMessage::Ping { sequence: own, members, rumors }, effects);
    }

    fn take_join(
        &mut self,
        now: MonoTime,
        from: &VmName,
        member: &MemberUpdate,
        effects: &mut Vec<MembershipEffect>,
    ) {
        self.core.take_update(now, from, member, effects);
        let members = self.core.live_updates();
        send(from, GossipMessage::Members { members }, effects);
        let rumors: Vec<Rumor> = self.rumors.iter().cloned().collect();
        for part in rumors.chunks(RUMORS_AT_JOIN) {
            let (members, rumors) = (Vec::new(), part.to_vec());
            send(from, GossipMessage::News { members, rumors }, effects);
        }
    }

    /// Takes all members of another gateway, and tells it what it lacks.
    fn take_members(
        &mut self,
        now: MonoTime,
        from: &VmName,
        members: &[MemberUpdate],
        effects: &mut Vec<MembershipEffect>,
    ) {
        self.joined = true;
        let theirs: FastMap<&VmName, &MemberUpdate> =
            members.iter().map(|update| (&update.vm, update)).collect();
        let newer = |update: &MemberUpdate| {
            theirs.get(&update.vm).is_none_or(|known| supersedes(update, known))
        };
        let mut lacking = self.core.live_updates();
        lacking.retain(newer);
        send_news(from, &lacking, effects);
        for update in members {
            self.core.take_update(now, from, update, effects);
        }
    }

    fn take_list(
        &mut self,
        now: MonoTime,
        list: Vec<ListedVm>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let (newly, no_longer) = self.marks.take_list(list);
        for vm in &newly {
            self.core.leave(now, vm, effects);
        }
        self.core.touch(&no_longer);
        if !self.joined {
            self.next_reconnect = now;
        }
    }

    fn leave(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        let own = self.own.clone();
        self.core.leave(now, &own, effects);
        // The process may end before the next push.
        let all = self.round.partners().len();
        self.push(now, all, effects);
    }

    fn expire_probes(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        for (vm, probe) in self.probes.expired(now) {
            let relays = match probe.stage {
                ProbeStage::Direct => self.relays(&vm),
                ProbeStage::Indirect => Vec::new(),
            };
            if relays.is_empty() {
                self.core.probe_failed(now, &vm, self.pauses.strain(), effects);
                continue;
            }
            let deadline = now + self.settings.indirect_timeout * (1 + self.pauses.strain());
            self.probes.go_indirect(&vm, probe.sequence, deadline);
            for relay in relays {
                let (sequence, target) = (probe.sequence, vm.clone());
                send(&relay, GossipMessage::PingRequest { sequence, target }, effects);
            }
        }
    }

    /// Gateways to ask for a ping: partners of the target, which have a link to it.
    fn relays(&mut self, target: &VmName) -> Vec<VmName> {
        let mut relays = self.core.rings.partners(target);
        let alive = |vm: &VmName| self.core.book.state(vm) == Some(MemberState::Alive);
        relays.retain(|vm| *vm != self.own && vm != target && alive(vm));
        relays.sample(&mut self.random, self.settings.indirect_count).cloned().collect()
    }

    fn ping_next(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        self.next_ping = now + self.settings.ping_interval;
        let probes = &self.probes;
        let next = self.round.next(&mut self.random, |vm| !probes.is_open(vm));
        if let Some(vm) = next {
            self.ping(now, &vm, effects);
        }
    }

    fn probe_at_once(&mut self, now: MonoTime, vm: &VmName, effects: &mut Vec<MembershipEffect>) {
        if self.round.contains(vm) && !self.probes.is_open(vm) {
            self.ping(now, vm, effects);
        }
    }

    fn ping(&mut self, now: MonoTime, vm: &VmName, effects: &mut Vec<MembershipEffect>) {
        let sequence = self.probes.next_sequence();
        let deadline = now + self.settings.ack_timeout * (1 + self.pauses.strain());
        self.probes.open(vm, sequence, deadline);
        let (members, rumors) = self.ride(vm);
        send(vm, GossipMessage::Ping { sequence, members, rumors }, effects);
    }

    /// Pushes what can't wait to some partners, which push it on.
    fn push(&mut self, now: MonoTime, fanout: usize, effects: &mut Vec<MembershipEffect>) {
        if self.round.partners().is_empty() {
            return;
        }
        self.next_push = now + self.settings.push_interval;
        let members = self.core.push(MAX_UPDATES);
        let rumors = self.rumors.push(self.settings.piggyback_rumors);
        if members.is_empty() && rumors.is_empty() {
            return;
        }
        for partner in self.round.some(&mut self.random, fanout) {
            let (members, rumors) = (members.clone(), rumors.clone());
            send(&partner, GossipMessage::News { members, rumors }, effects);
        }
    }

    /// Tries to reach a VM that should perhaps be a member: all of them as long as this gateway
    /// has met nobody, one by chance later. After a parting of the network this brings both sides
    /// together, for neither pings members that it holds dead.
    fn reconnect(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        self.core.tidy(now);
        self.rumors.expire(now);
        let (interval, fanout) = match self.joined {
            true => (self.settings.reconnect_interval, 1),
            false => (self.settings.ping_interval, JOIN_FANOUT),
        };
        self.next_reconnect = now + interval;
        let member = self.core.own_update();
        for vm in self.absent().sample(&mut self.random, fanout) {
            send(vm, GossipMessage::Join { member: member.clone() }, effects);
        }
    }

    /// VMs held dead, and listed ones that are no members.
    fn absent(&self) -> Vec<VmName> {
        let book = &self.core.book;
        let dead = book.iter().filter(|held| held.update.state == MemberState::Dead);
        let dead = dead.map(|held| held.update.vm.clone());
        let strangers = self.marks.listed().filter(|vm| book.get(vm).is_none());
        dead.chain(strangers.cloned()).collect()
    }

    fn sync(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        self.next_sync = now + self.settings.sync_interval;
        let digest = self.core.book.digest();
        for partner in self.round.some(&mut self.random, 1) {
            send(&partner, GossipMessage::MembersDigest { digest }, effects);
        }
    }
}
