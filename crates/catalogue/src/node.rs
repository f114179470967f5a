//! The catalogue of one gateway.

mod feed;
mod intake;
mod push;
mod repair;
mod sidecars;
mod survey_run;

use std::collections::BTreeSet;

use notch_membership::{MemberRoster, watchers_of};
use notch_messages::{
    entry::{EntryRecord, EntryStamp},
    gossip::{EntrySummary, GossipMessage},
};
use notch_types::{object::StoreResult, prelude::*};
use rand::rngs::SmallRng;

use self::{
    feed::{FeedRole, StoreFeed},
    intake::RecordIntake,
    repair::{PeerRepair, RepairStep, answer_stamps, record_bytes, stamps_of},
    survey_run::SurveyRun,
};
use crate::{
    effect::CatalogueEffect,
    event::CatalogueEvent,
    settings::CatalogueSettings,
    table::{BUCKET_COUNT, EntryTable},
};

/// Root intervals go this many times faster until the catalogue is complete.
const STARTING_ROUNDS: u32 = 4;
/// A starting node that is no watcher turns to the store after this many times `peers_first`.
const PATIENCE: u32 = 5;

/// The catalogue of one gateway. Its calls are numbered from 1: the driver tells them from those
/// of other decisions by whose effect they were.
#[derive(Debug)]
pub struct CatalogueNode {
    vm: VmName,
    domain: DomainName,
    settings: CatalogueSettings,
    /// Never taken back: a node that had everything once goes on with it.
    ready: bool,
    started: Option<MonoTime>,
    roster: MemberRoster,
    /// This node's place among its domain's watchers.
    rank: Option<usize>,
    next_root: MonoTime,
    intake: RecordIntake,
    feed: StoreFeed,
    repair: PeerRepair,
    survey: Option<SurveyRun>,
}

impl CatalogueNode {
    /// A node that has nothing in force.
    pub fn new(
        vm: &VmName,
        domain: &DomainName,
        settings: CatalogueSettings,
        random: SmallRng,
    ) -> Self {
        Self {
            vm: vm.clone(),
            domain: domain.clone(),
            ready: false,
            started: None,
            roster: MemberRoster::default(),
            rank: None,
            next_root: MonoTime::default(),
            intake: RecordIntake::new(vm, settings.clone(), random),
            feed: StoreFeed::new(&settings),
            repair: PeerRepair::default(),
            survey: None,
            settings,
        }
    }

    /// Takes one event and appends what it wants done.
    pub fn handle(&mut self, now: Now, event: CatalogueEvent, effects: &mut Vec<CatalogueEffect>) {
        let now = now.mono;
        self.started.get_or_insert(now);
        match event {
            CatalogueEvent::Tick => {}
            CatalogueEvent::Members { roster, partners } => self.set_members(roster, partners),
            CatalogueEvent::StoreAnswered { call, result } => {
                self.store_answered(now, call, result, effects);
            }
            CatalogueEvent::Received { from, message } => {
                self.received(now, &from, message, effects);
            }
            CatalogueEvent::Stored(object) => self.intake.take_objects(now, vec![object], effects),
            CatalogueEvent::SidecarInForce { vm, stamps, first } => {
                self.intake.sidecar_report(vm, &stamps, first, effects);
            }
            CatalogueEvent::SidecarGone { vm } => self.intake.sidecar_gone(&vm),
            CatalogueEvent::SurveyWanted { survey } => self.start_survey(now, survey, effects),
        }
        self.drive(now, effects);
    }

    /// When the next tick is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let started = self.started?;
        let root = (!self.intake.partners.is_empty()).then_some(self.next_root);
        let feed = self.feed.next_wake();
        let survey = self.survey.as_ref().map(|survey| survey.until);
        let waits = !self.ready && feed.is_none();
        let store = waits.then(|| started + self.peers_wait());
        [root, feed, survey, store, self.repair.deadline()].into_iter().flatten().min()
    }

    /// The entries in force.
    pub fn table(&self) -> &EntryTable {
        self.intake.table()
    }

    /// Whether the catalogue was complete once; before that nothing may be served by it.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether this node watches the store for its domain.
    pub fn is_watcher(&self) -> bool {
        self.rank.is_some()
    }

    fn set_members(&mut self, roster: MemberRoster, mut partners: Vec<VmName>) {
        partners.retain(|partner| *partner != self.vm);
        let watchers = watchers_of(&self.domain, &roster, self.settings.watchers_per_domain);
        self.rank = watchers.iter().position(|watcher| *watcher == self.vm);
        self.roster = roster;
        self.intake.partners = partners;
    }

    fn drive(&mut self, now: MonoTime, effects: &mut Vec<CatalogueEffect>) {
        self.repair.expire(now);
        self.feed.set_role(now, self.feed_role(now));
        self.feed.drive(now, self.intake.table(), effects);
        if now >= self.next_root {
            self.send_root(now, effects);
        }
        let over = |survey: &SurveyRun| now >= survey.until || survey.is_done(self.table());
        if self.survey.as_ref().is_some_and(over) {
            self.finish_survey(effects);
        }
    }

    /// A starting node asks its peers first: a whole fleet that starts at once would otherwise
    /// read everything from the store as many times as it has watchers.
    fn feed_role(&self, now: MonoTime) -> FeedRole {
        let waits = now < self.started.unwrap_or(now) + self.peers_wait();
        match (self.ready, self.rank) {
            (false, _) if waits => FeedRole::Off,
            (_, Some(0)) => FeedRole::FirstWatcher,
            (_, Some(_)) | (false, None) => FeedRole::Watcher,
            (true, None) => FeedRole::Off,
        }
    }

    fn peers_wait(&self) -> std::time::Duration {
        let patience = if self.rank.is_some() { 1 } else { PATIENCE };
        self.settings.peers_first * patience
    }

    fn summary(&self) -> EntrySummary {
        let (sidecars, sidecars_current) = self.intake.sidecar_counts();
        EntrySummary {
            digest: self.table().root(),
            in_force: self.table().len() as u32,
            refused: self.table().refused_len() as u32,
            complete: self.ready,
            sidecars,
            sidecars_current,
        }
    }

    fn store_answered(
        &mut self,
        now: MonoTime,
        call: CallId,
        result: StoreResult,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let news = self.feed.answered(now, call, result, self.intake.table(), effects);
        self.intake.take_objects(now, news.objects, effects);
        if news.audited {
            self.become_ready(effects);
        }
    }

    fn received(
        &mut self,
        now: MonoTime,
        from: &VmName,
        message: GossipMessage,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        match message {
            GossipMessage::EntryRoot(summary) => self.root_arrived(now, from, summary, effects),
            GossipMessage::EntryRootWanted => {
                send(from, GossipMessage::EntryRoot(self.summary()), effects);
            }
            GossipMessage::EntryDigestsWanted => self.send_digests(from, effects),
            GossipMessage::EntryDigests { buckets, complete } => {
                self.digests_arrived(now, from, &buckets, complete, effects);
            }
            GossipMessage::EntryStampsWanted { buckets } => {
                send(from, stamps_of(self.table(), &buckets), effects);
            }
            GossipMessage::EntryStamps { buckets, stamps, refused } => {
                self.stamps_arrived(from, &buckets, &stamps, &refused, effects);
            }
            GossipMessage::Entries { entries, covers } => {
                self.entries_arrived(now, from, entries, &covers, effects);
            }
            GossipMessage::EntryWants { stamps } => self.send_wanted(from, &stamps, effects),
            GossipMessage::Ping { .. }
            | GossipMessage::Ack { .. }
            | GossipMessage::PingRequest { .. }
            | GossipMessage::Join { .. }
            | GossipMessage::Members { .. }
            | GossipMessage::MembersDigest { .. }
            | GossipMessage::News { .. } => {}
        }
    }

    fn send_digests(&self, to: &VmName, effects: &mut Vec<CatalogueEffect>) {
        let buckets = self.table().digests().to_vec();
        send(to, GossipMessage::EntryDigests { buckets, complete: self.ready }, effects);
    }

    fn send_wanted(&self, to: &VmName, stamps: &[EntryStamp], effects: &mut Vec<CatalogueEffect>) {
        let mut entries = Vec::new();
        let mut bytes = 0;
        for record in stamps.iter().flat_map(|stamp| self.table().answer(stamp)) {
            bytes += record_bytes(&record);
            if bytes > self.settings.message_bytes && !entries.is_empty() {
                break;
            }
            entries.push(record);
        }
        if !entries.is_empty() {
            send(to, GossipMessage::Entries { entries, covers: Vec::new() }, effects);
        }
    }

    fn send_root(&mut self, now: MonoTime, effects: &mut Vec<CatalogueEffect>) {
        let rounds = if self.ready { 1 } else { STARTING_ROUNDS };
        self.next_root = now + self.settings.root_interval / rounds;
        let Some(partner) = self.intake.any_partner() else { return };
        let summary = self.summary();
        if self.ready && self.repair.is_settled_last(now, &partner, summary.digest) {
            return;
        }
        send(&partner, GossipMessage::EntryRoot(summary), effects);
    }

    fn root_arrived(
        &mut self,
        now: MonoTime,
        from: &VmName,
        summary: EntrySummary,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let (survey, table) = (self.survey.as_mut(), self.intake.table());
        if let Some(next) = survey.and_then(|survey| survey.summary(from, summary, table)) {
            if let Some(question) = next {
                send(from, question, effects);
            }
            return;
        }
        let own = self.table().root();
        let differs = own != summary.digest;
        let settled = self.repair.is_settled(now, from, own, summary.digest);
        // A starting node needs the word "complete" even where both digests are the same.
        let starting = self.ready && !summary.complete;
        if starting || (differs && !settled) {
            self.send_digests(from, effects);
        }
    }

    fn digests_arrived(
        &mut self,
        now: MonoTime,
        from: &VmName,
        buckets: &[u64],
        complete: bool,
        effects: &mut Vec<CatalogueEffect>,
    ) {
        if buckets.len() != usize::from(BUCKET_COUNT) {
            effects.push(CatalogueEffect::Count(Counter::Dropped(DropReason::Undecodable)));
            return;
        }
        let (survey, table) = (self.survey.as_mut(), self.intake.table());
        if let Some(ask) = survey.and_then(|survey| survey.digests(from, buckets, table)) {
            send(from, ask, effects);
        }
        let step = self.repair.digests(now, from, buckets, complete, table, &self.settings);
        self.take_step(from, step, effects);
    }

    fn stamps_arrived(
        &mut self,
        from: &VmName,
        buckets: &[u16],
        stamps: &[EntryStamp],
        refused: &[EntryStamp],
        effects: &mut Vec<CatalogueEffect>,
    ) {
        if let Some(survey) = &mut self.survey {
            survey.stamps(from, buckets, stamps);
        }
        let bytes = self.settings.message_bytes;
        for message in answer_stamps(self.table(), buckets, stamps, refused, bytes) {
            send(from, message, effects);
        }
    }

    fn entries_arrived(
        &mut self,
        now: MonoTime,
        from: &VmName,
        entries: Vec<EntryRecord>,
        covers: &[u16],
        effects: &mut Vec<CatalogueEffect>,
    ) {
        let gained = self.intake.take_records(now, entries, Some(from), effects);
        let table = self.intake.table();
        let step = self.repair.covered(now, from, covers, gained, table, &self.settings);
        self.take_step(from, step, effects);
    }

    fn take_step(&mut self, from: &VmName, step: RepairStep, effects: &mut Vec<CatalogueEffect>) {
        match step {
            RepairStep::Nothing | RepairStep::Done { complete: false } => {}
            RepairStep::Ask(message) => send(from, message, effects),
            RepairStep::Done { complete: true } => self.become_ready(effects),
        }
    }

    fn become_ready(&mut self, effects: &mut Vec<CatalogueEffect>) {
        if !self.ready {
            self.ready = true;
            self.intake.pushes = true;
            self.intake.tell_ready(effects);
        }
    }

    fn start_survey(&mut self, now: MonoTime, survey: u64, effects: &mut Vec<CatalogueEffect>) {
        if let Some(run) = &mut self.survey {
            if !run.join(survey) {
                effects.push(CatalogueEffect::Count(Counter::Dropped(DropReason::BufferFull)));
            }
            return;
        }
        let members = self.roster.members().iter().map(|member| member.vm.clone());
        let asked: BTreeSet<VmName> = members.filter(|vm| *vm != self.vm).collect();
        for vm in &asked {
            send(vm, GossipMessage::EntryRootWanted, effects);
        }
        self.survey = Some(SurveyRun::new(survey, asked, now + self.settings.survey_wait));
    }

    fn finish_survey(&mut self, effects: &mut Vec<CatalogueEffect>) {
        let Some(run) = self.survey.take() else { return };
        let (surveys, report) = run.finish(self.summary(), self.table());
        for survey in surveys {
            let report = report.clone();
            effects.push(CatalogueEffect::Surveyed { survey, report });
        }
    }
}

fn send(to: &VmName, message: GossipMessage, effects: &mut Vec<CatalogueEffect>) {
    effects.push(CatalogueEffect::Send { to: to.clone(), message });
}
