//! The ledger shards of this gateway, and calls to the owners of all shards.

use std::time::Duration;

use notch_jobs::prelude::{ServiceEvent, TargetBacklog};
use notch_ledger::{ShardEvent, ShardStanding};
use notch_link::codec;
use notch_membership::{MemberRoster, MembershipEvent, shard_ranks};
use notch_messages::prelude::*;
use notch_telemetry::prelude::Timing;
use notch_types::{object::StoreResult, prelude::*};

use crate::control::{
    backlog_pace::BacklogPace,
    call_table::CallTable,
    event::StoreUser,
    shard_directory::ShardDirectory,
    shard_host::{HostEffect, RecordRead, ShardHost},
    step::{ControlStep, ShardReply},
};

/// Nodes ranked for each shard; lower ones neither poll nor take over.
const RANKED: usize = 3;
/// A call without an answer from another gateway is sent again after this.
const ANSWER_WAIT: Duration = Duration::from_millis(3_000);
/// What a sidecar is told to wait when no shard is known to have work.
pub(super) const IDLE_RETRY_MS: u64 = 250;
/// What a refused caller is told to wait.
const REFUSED_RETRY_MS: u64 = 1_000;

/// A read that an edge must make for a shard.
#[derive(Debug)]
pub enum ShardRead {
    /// One chunk object.
    Object {
        /// For which shard.
        shard: ShardId,
        /// Its key.
        key: String,
    },
    /// Records out of segments.
    Records {
        /// For which shard.
        shard: ShardId,
        /// Which.
        read: RecordRead,
    },
}

/// Shards owned here or elsewhere.
#[derive(Debug)]
pub struct ShardDesk {
    vm: VmName,
    hosts: Vec<ShardHost>,
    pub(super) directory: ShardDirectory,
    calls: CallTable,
    /// Raised by one with each backlog told, so that a rumour's versions rise within an epoch.
    told: Vec<u64>,
    pace: BacklogPace,
    pub(super) turn: usize,
    leaving: bool,
}

impl ShardDesk {
    /// A desk over these hosts, in shard order.
    pub fn new(vm: &VmName, hosts: Vec<ShardHost>) -> Self {
        let directory = ShardDirectory::new(hosts.len() as u16);
        let told = vec![0; hosts.len()];
        let pace = BacklogPace::new(hosts.len());
        Self {
            vm: vm.clone(),
            hosts,
            directory,
            calls: CallTable::default(),
            told,
            pace,
            turn: 0,
            leaving: false,
        }
    }

    /// Owners and backlogs.
    pub fn directory(&self) -> &ShardDirectory {
        &self.directory
    }

    /// The shards, owned or not.
    pub fn hosts(&self) -> &[ShardHost] {
        &self.hosts
    }

    /// Shards owned here.
    pub fn owned(&self) -> usize {
        self.hosts.iter().filter(|host| host.epoch().is_some()).count()
    }

    /// When time alone changes something.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let hosts = self.hosts.iter().filter_map(ShardHost::next_wake);
        hosts.chain(self.calls.next_due()).min()
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Now, steps: &mut Vec<ControlStep>, reads: &mut Vec<ShardRead>) {
        for place in 0..self.hosts.len() {
            if self.hosts[place].next_wake().is_some_and(|due| due <= now.mono) {
                self.feed_ledger(now, place, ShardEvent::Tick, steps, reads);
                self.feed_service(now, place, ServiceEvent::Tick, steps, reads);
            }
        }
        self.send_due(now, steps, reads);
    }

    /// Tells every shard where this node stands in its line of owners.
    pub fn roster_changed(
        &mut self,
        now: Now,
        roster: &MemberRoster,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        if self.leaving {
            return;
        }
        for place in 0..self.hosts.len() {
            let ranks = shard_ranks(ShardId(place as u16), roster, RANKED);
            let standing = match ranks.iter().position(|vm| *vm == self.vm) {
                Some(0) => ShardStanding::Preferred,
                Some(rank) => ShardStanding::Standby(rank as u8),
                None => ShardStanding::Bystander,
            };
            self.feed_ledger(now, place, ShardEvent::Stand(standing), steps, reads);
        }
    }

    /// Gives up every shard: what is queued is committed and the leases are handed back.
    pub fn leave(&mut self, now: Now, steps: &mut Vec<ControlStep>, reads: &mut Vec<ShardRead>) {
        self.leaving = true;
        for place in 0..self.hosts.len() {
            self.feed_ledger(now, place, ShardEvent::Release, steps, reads);
        }
    }

    /// Feeds the answer of a store call.
    pub fn store_answered(
        &mut self,
        now: Now,
        shard: ShardId,
        call: CallId,
        result: StoreResult,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        let event = ShardEvent::StoreAnswered { call, result };
        self.feed_ledger(now, usize::from(shard.0), event, steps, reads);
    }

    /// Feeds one shard's service.
    pub fn tell(
        &mut self,
        now: Now,
        shard: ShardId,
        event: ServiceEvent,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        self.feed_service(now, usize::from(shard.0), event, steps, reads);
    }

    /// Feeds every shard's service.
    pub fn tell_all(
        &mut self,
        now: Now,
        event: &ServiceEvent,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        for place in 0..self.hosts.len() {
            self.feed_service(now, place, event.clone(), steps, reads);
        }
    }

    /// Asks a shard's owner, here or elsewhere.
    pub fn ask(
        &mut self,
        now: Now,
        shard: ShardId,
        request: Box<ShardRequest>,
        reply: ShardReply,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        if self.calls.is_full() || usize::from(shard.0) >= self.hosts.len() {
            let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many calls to shards");
            let answer = ShardAnswer::Refused(refusal.retry_after(REFUSED_RETRY_MS));
            self.reply(now, shard, reply, answer, steps);
            return;
        }
        let call = self.calls.open(now.mono, shard, request, reply);
        self.send_call(now, call, steps, reads);
    }

    /// Passes a sidecar's pull on to a shard that likely has work.
    pub fn pull(
        &mut self,
        now: Now,
        pull: LotPull,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        self.turn = self.turn.wrapping_add(1);
        let shards = self.directory.shards_with_work(now.mono, &pull.target, self.turn);
        match shards.first() {
            Some(&shard) => {
                let reply = ShardReply::Pull { vm: pull.vm.clone(), target: pull.target.clone() };
                self.ask(now, shard, Box::new(ShardRequest::Pull(pull)), reply, steps, reads);
            }
            None => {
                let (to, target) = (pull.vm, pull.target);
                let message = SidecarMessage::NoWork { target, retry_after_ms: IDLE_RETRY_MS };
                steps.push(ControlStep::ToSidecar { to, message });
            }
        }
    }

    /// Takes a call or an answer of another gateway.
    pub fn received(
        &mut self,
        now: Now,
        from: &VmName,
        message: ShardCall,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        match message {
            ShardCall::Ask { call, shard, request } => {
                let place = usize::from(shard.0);
                if self.hosts.get(place).is_some_and(|host| host.epoch().is_some()) {
                    let event = ServiceEvent::Asked { from: from.clone(), call, request: *request };
                    self.feed_service(now, place, event, steps, reads);
                } else {
                    let owner = self.directory.owner(shard).filter(|vm| **vm != self.vm).cloned();
                    let answer = Box::new(ShardAnswer::NotOwner { owner });
                    let epoch = self.directory.epoch(shard);
                    let message =
                        LinkMessage::Shard(ShardCall::Answer { call, shard, epoch, answer });
                    steps.push(ControlStep::ToGateway { to: from.clone(), message });
                }
            }
            ShardCall::Answer { call, shard, epoch, answer } => {
                self.answered(now, shard, epoch, call, *answer, steps);
            }
        }
    }

    /// Takes an owner or a backlog that came by gossip.
    pub fn rumor(
        &mut self,
        now: Now,
        rumor: &Rumor,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        match &rumor.topic {
            RumorTopic::ShardOwner(shard) => {
                if let Ok(owner) = codec::decode::<Option<VmName>>(&rumor.value) {
                    self.directory.owner_seen(*shard, Epoch(rumor.version), owner);
                }
                self.check_deposed(now, *shard, Epoch(rumor.version), steps, reads);
            }
            RumorTopic::ShardBacklog(shard) => {
                if let Ok(backlog) = codec::decode::<Vec<TargetBacklog>>(&rumor.value) {
                    self.directory.backlog_seen(now.mono, *shard, backlog);
                }
            }
            _ => {}
        }
    }

    /// A newer epoch than the one held here: the owner was paused and does not know yet that it
    /// was taken over. Until its next commit fails it would hand out items, perhaps of a job that
    /// the new owner has cancelled; so it reads the head at once.
    fn check_deposed(
        &mut self,
        now: Now,
        shard: ShardId,
        epoch: Epoch,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        let place = usize::from(shard.0);
        let held = self.hosts.get(place).and_then(ShardHost::epoch);
        if held.is_some_and(|held| held < epoch) {
            self.feed_ledger(now, place, ShardEvent::SegmentMissed, steps, reads);
        }
    }

    fn send_due(&mut self, now: Now, steps: &mut Vec<ControlStep>, reads: &mut Vec<ShardRead>) {
        while let Some(call) = self.calls.first_due(now.mono) {
            self.send_call(now, call, steps, reads);
        }
    }

    fn send_call(
        &mut self,
        now: Now,
        call: CallId,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        let Some(open) = self.calls.get_mut(call) else { return };
        if open.deadline <= now.mono {
            self.give_up(now, call, steps);
            return;
        }
        let shard = open.shard;
        let place = usize::from(shard.0);
        if self.hosts[place].epoch().is_some() {
            open.sent = true;
            let request = (*open.request).clone();
            let deadline = open.deadline;
            // The service always answers, at the latest when it loses the shard.
            self.calls.set_due(call, deadline);
            let event = ServiceEvent::Asked { from: self.vm.clone(), call, request };
            self.feed_service(now, place, event, steps, reads);
            return;
        }
        let owner = self.directory.owner(shard).filter(|vm| **vm != self.vm).cloned();
        let Some(owner) = owner else {
            self.calls.back_off(now.mono, call);
            return;
        };
        open.sent = true;
        let request = open.request.clone();
        self.calls.set_due(call, now.mono + ANSWER_WAIT);
        let message = LinkMessage::Shard(ShardCall::Ask { call, shard, request });
        steps.push(ControlStep::ToGateway { to: owner, message });
    }

    fn give_up(&mut self, now: Now, call: CallId, steps: &mut Vec<ControlStep>) {
        let Some(open) = self.calls.close(call) else { return };
        let reason = RefusalReason::StoreUnavailable;
        let refusal = if open.sent {
            Refusal::unknown(reason, "the shard's owner did not answer in time; a resend is safe")
        } else {
            Refusal::not_run(reason, "no owner of the shard is known")
        };
        steps.push(ControlStep::Count(Counter::Event("shard_calls_given_up")));
        let answer = ShardAnswer::Refused(refusal.retry_after(REFUSED_RETRY_MS));
        self.reply(now, open.shard, open.reply, answer, steps);
    }

    fn answered(
        &mut self,
        now: Now,
        shard: ShardId,
        epoch: Epoch,
        call: CallId,
        answer: ShardAnswer,
        steps: &mut Vec<ControlStep>,
    ) {
        if !self.calls.contains(call) {
            steps.push(ControlStep::Count(Counter::Dropped(DropReason::LateAnswer)));
            return;
        }
        if let ShardAnswer::NotOwner { owner } = answer {
            steps.push(ControlStep::Count(Counter::Retried(RetryReason::OwnerMoved)));
            self.directory.owner_seen(shard, epoch, owner);
            self.calls.back_off(now.mono, call);
            return;
        }
        let Some(open) = self.calls.close(call) else { return };
        self.reply(now, shard, open.reply, answer, steps);
    }

    fn feed_ledger(
        &mut self,
        now: Now,
        place: usize,
        event: ShardEvent,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        let Some(host) = self.hosts.get_mut(place) else { return };
        let mut effects = Vec::new();
        host.ledger_event(now, event, &mut effects);
        self.carry(now, place, effects, steps, reads);
    }

    fn feed_service(
        &mut self,
        now: Now,
        place: usize,
        event: ServiceEvent,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        let Some(host) = self.hosts.get_mut(place) else { return };
        let mut effects = Vec::new();
        host.service_event(now, event, &mut effects);
        self.carry(now, place, effects, steps, reads);
    }

    fn carry(
        &mut self,
        now: Now,
        place: usize,
        effects: Vec<HostEffect>,
        steps: &mut Vec<ControlStep>,
        reads: &mut Vec<ShardRead>,
    ) {
        let shard = ShardId(place as u16);
        for effect in effects {
            match effect {
                HostEffect::Store(call) => {
                    steps.push(ControlStep::Store { user: StoreUser::Ledger(shard), call });
                }
                HostEffect::Answer { to, call, epoch, answer } if to == self.vm => {
                    self.answered(now, shard, epoch, call, answer, steps);
                }
                HostEffect::Answer { to, call, epoch, answer } => {
                    let answer = Box::new(answer);
                    let message =
                        LinkMessage::Shard(ShardCall::Answer { call, shard, epoch, answer });
                    steps.push(ControlStep::ToGateway { to, message });
                }
                HostEffect::ReadObject(key) => reads.push(ShardRead::Object { shard, key }),
                HostEffect::ReadRecords(read) => reads.push(ShardRead::Records { shard, read }),
                HostEffect::CancelRunning { job, epoch, vms } if vms.is_empty() => {
                    let message = SidecarMessage::CancelJob { job, epoch };
                    steps.push(ControlStep::ToAllSidecars(message));
                }
                HostEffect::CancelRunning { job, epoch, vms } => {
                    for to in vms {
                        let message = SidecarMessage::CancelJob { job, epoch };
                        steps.push(ControlStep::ToSidecar { to, message });
                    }
                }
                HostEffect::Backlog(backlog) => self.tell_backlog(now, shard, backlog, steps),
                HostEffect::Owner { epoch, owner } => self.tell_owner(shard, epoch, owner, steps),
                HostEffect::CommitTook(took) => {
                    steps.push(ControlStep::Time(Timing::LedgerCommit, took));
                }
                HostEffect::Count(counter) => steps.push(ControlStep::Count(counter)),
                HostEffect::Note(note) => steps.push(ControlStep::Note(note)),
            }
        }
    }

    fn tell_owner(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        owner: Option<VmName>,
        steps: &mut Vec<ControlStep>,
    ) {
        let ours = owner.as_ref() == Some(&self.vm);
        if !self.directory.owner_seen(shard, epoch, owner.clone()) {
            return;
        }
        if ours {
            steps.push(ControlStep::Count(Counter::Event("shards_taken")));
            push_rumor(RumorTopic::ShardOwner(shard), epoch.0, &owner, true, steps);
        }
    }

    fn tell_backlog(
        &mut self,
        now: Now,
        shard: ShardId,
        backlog: Vec<TargetBacklog>,
        steps: &mut Vec<ControlStep>,
    ) {
        let place = usize::from(shard.0);
        let Some(epoch) = self.hosts[place].epoch() else { return };
        if self.pace.is_due(now.mono, shard, epoch, &backlog) {
            self.told[place] += 1;
            // The epoch in the high bits: a new owner's first word beats the old owner's last.
            let version = (epoch.0 << 32) | (self.told[place] & 0xffff_ffff);
            push_rumor(RumorTopic::ShardBacklog(shard), version, &backlog, false, steps);
        }
        self.directory.backlog_seen(now.mono, shard, backlog);
    }
}

fn push_rumor<T: serde::Serialize>(
    topic: RumorTopic,
    version: u64,
    value: &T,
    urgent: bool,
    steps: &mut Vec<ControlStep>,
) {
    if let Ok(value) = codec::encode(value) {
        let rumor = Rumor { topic, version, value: value.into() };
        steps.push(ControlStep::Member(MembershipEvent::RumorLocal { rumor, urgent }));
    }
}
