//! What is known of the other gateways.

mod census;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use notch_link::prelude::*;
use notch_messages::prelude::*;
use notch_relay::prelude::CreditAnswer;
use notch_types::prelude::*;

use crate::{
    accounts::freshness::ToldAge,
    constants::{ENTRIES_FRESH, FIRST_LINK_TIMEOUT, PEER_DEAD_AFTER, PEER_SILENT_AFTER},
    peers::{
        calls::CallTable, catch_up::CatchUp, registration::GatewayEntry, traffic::PeerTraffic,
    },
    store::feed_clock::FeedClock,
};

/// A peer's answer to a question about a job.
#[derive(Debug)]
pub struct JobNews {
    /// Whether the peer is sure that the list has nothing beyond what it knows.
    pub is_sure: bool,
    /// The account that sent the job; empty for none.
    pub account: String,
    /// Items of the job; 0 when the peer knows nothing of it, or may not tell.
    pub total: usize,
    /// Results from the position asked for on.
    pub lines: Vec<notch_relay::prelude::ResultLine>,
    /// Whether these are all that the peer knows.
    pub is_all: bool,
}

/// Another gateway's answer to the question what it still holds of a limit.
#[derive(Debug)]
pub struct KeptShare {
    /// The gateway with its incarnation.
    pub holder: String,
    /// What it still holds.
    pub kept: u64,
    /// How much ends there each second.
    pub ended_per_second: u64,
}

/// Who wasn't heard when a gateway came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSilence {
    /// Few: they were away.
    Minority,
    /// Most: rather this gateway was cut off, or stood still.
    Majority,
}

impl PeerSilence {
    fn among(peers: &FastMap<VmName, PeerRecord>, now: MonoTime) -> Self {
        let silent = peers.values().filter(|record| record.is_silent(now)).count();
        if silent * 2 > peers.len() { Self::Majority } else { Self::Minority }
    }
}

/// Whether a job's owner is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerLiveness {
    /// A link to it stands.
    Alive,
    /// There is no link, but not for long.
    Doubtful,
    /// It restarted, stops, or has had no link for long.
    Gone,
}

/// What another gateway told of an item's body.
#[derive(Debug)]
pub struct ItemBodyReply {
    /// Whether it can tell.
    pub is_known: bool,
    /// The body; `None` when the job has no such item.
    pub body: Option<Payload>,
}

/// How long a process had run when it told.
#[derive(Debug, Clone, Copy)]
struct Up {
    at: MonoTime,
    up: Duration,
}

/// One other gateway.
#[derive(Debug)]
struct PeerRecord {
    /// As it registered; `None` when only its link is known yet.
    entry: Option<GatewayEntry>,
    /// Keeps a link to it standing, where it's ours to dial.
    dialer: Option<(SocketAddr, LinkDialer)>,
    link: Option<LinkHandle>,
    /// Name with incarnation, as told on the link.
    owner: Option<String>,
    /// The same as it was told last, on any link.
    last_owner: Option<String>,
    /// Since when there is no link.
    down_since: MonoTime,
    /// When anything came from it last. Meaningless while `was_linked` is false.
    heard_at: MonoTime,
    /// A link to it stood once.
    was_linked: bool,
    /// Since when its process runs, as it told on its link; `None` before it did.
    up_since: Option<Up>,
    /// The last link was closed from the other side: its process ended, as far as can be told.
    has_ended: bool,
    /// It has had no link for so long that it doesn't count among the known ones. Reset by a link.
    is_lost: bool,
    /// It was told to stop, and takes no jobs over.
    is_stopping: bool,
    /// It said that it leaves its jobs to others.
    is_leaving: bool,
    /// It follows the store.
    is_watching: bool,
}

/// A gateway that was lost may have left a write to the store behind, which is done a little later: jobs read sooner
/// than this after the loss may lack one.
const LAST_WRITES: Duration = Duration::from_millis(500);

/// Until when the other gateways' jobs are known.
#[derive(Debug, Default)]
struct JobNewsClock {
    /// From when on a job may have been missed; at first the process's start.
    missed_at: MonoTime,
    /// When all jobs in the store were asked for last.
    listed_at: Option<MonoTime>,
}

impl JobNewsClock {
    fn is_whole(&self, span: Duration, now: MonoTime) -> bool {
        let is_listed = self.listed_at.is_some_and(|at| at >= self.missed_at + LAST_WRITES);
        is_listed || now.since(self.missed_at) >= span
    }
}

/// The other gateways.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Mutex<FastMap<VmName, PeerRecord>>,
    /// Questions about jobs.
    pub job_calls: CallTable<JobNews>,
    /// Questions for items' bodies.
    pub body_calls: CallTable<ItemBodyReply>,
    /// Calls to the store that another gateway makes.
    pub store_calls: CallTable<StoreCallEnd>,
    /// Questions for places at other gateways' targets.
    pub place_calls: CallTable<PlaceAnswer>,
    /// Questions for shares of limits.
    pub share_calls: CallTable<KeptShare>,
    /// Questions for credit of accounts' limits.
    pub credit_calls: CallTable<CreditAnswer>,
    /// Questions how old the configuration is.
    pub age_calls: CallTable<ToldAge>,
    /// When the gateways' entries were read last.
    pub entries: FeedClock,
    /// Which jobs of the others are known.
    job_news: Mutex<JobNewsClock>,
    /// Messages on links.
    pub traffic: PeerTraffic,
    /// When to ask for newer state.
    catch_up: Mutex<CatchUp>,
}

impl PeerTable {
    /// An empty table that counts messages by `traffic`.
    pub fn new(traffic: PeerTraffic) -> Self {
        Self { traffic, ..Self::default() }
    }

    /// When to ask for newer state.
    pub fn catch_up(&self) -> MutexGuard<'_, CatchUp> {
        self.catch_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a gateway's entry. `dial` makes a dialler; it's called when this side has to dial.
    pub fn put_entry(
        &self,
        vm: &VmName,
        entry: GatewayEntry,
        now: MonoTime,
        dial: Option<impl FnOnce(SocketAddr) -> LinkDialer>,
    ) {
        let mut peers = self.peers();
        let record = peers.entry(vm.clone()).or_insert_with(|| PeerRecord::new(now));
        if let Some(dial) = dial {
            let stands = record.dialer.as_ref().is_some_and(|(at, _)| *at == entry.address);
            if !stands {
                record.dialer = Some((entry.address, dial(entry.address)));
            }
        }
        let is_new = record.entry.as_ref().is_none_or(|known| known.owner != entry.owner);
        if is_new {
            record.is_stopping = false;
            record.is_leaving = false;
        }
        record.entry = Some(entry);
    }

    /// A gateway's entry is gone. While a link to it stands it lives all the same: forgotten it would be
    /// taken for dead, and its jobs taken over behind its back.
    pub fn remove_entry(&self, vm: &VmName) {
        let mut peers = self.peers();
        match peers.get_mut(vm) {
            Some(record) if record.link.is_some() => record.entry = None,
            _ => drop(peers.remove(vm)),
        }
    }

    /// A link stands; the silence of the other gateways until now.
    pub fn link_up(&self, vm: &VmName, link: LinkHandle, now: MonoTime) -> PeerSilence {
        let mut peers = self.peers();
        let silence = PeerSilence::among(&peers, now);
        let record = peers.entry(vm.clone()).or_insert_with(|| PeerRecord::new(now));
        record.link = Some(link);
        record.heard_at = now;
        record.was_linked = true;
        record.up_since = None;
        record.has_ended = false;
        record.is_lost = false;
        record.owner = None;
        record.is_stopping = false;
        record.is_leaving = false;
        silence
    }

    /// A link is gone, closed by the other side or silent; true when it was the one in use.
    pub fn link_down(&self, vm: &VmName, link: u64, is_closed: bool, now: MonoTime) -> bool {
        let mut peers = self.peers();
        let Some(record) = peers.get_mut(vm) else { return false };
        if record.link.as_ref().is_none_or(|standing| standing.id() != link) {
            return false;
        }
        record.link = None;
        record.is_watching = false;
        record.has_ended = is_closed;
        record.down_since = now;
        drop(peers);
        self.note_jobs_missed(now);
        true
    }

    /// Something came from a gateway; the silence that it ended, if that was so long that jobs of ours may have
    /// been taken over in it.
    pub fn note_heard(&self, vm: &VmName, now: MonoTime) -> Option<PeerSilence> {
        let mut peers = self.peers();
        let was_silent = peers.get(vm).is_some_and(|record| record.is_silent(now));
        let silence = was_silent.then(|| PeerSilence::among(&peers, now));
        if let Some(record) = peers.get_mut(vm) {
            record.heard_at = now;
        }
        silence
    }

    /// Who a peer said it is.
    pub fn set_owner(&self, vm: &VmName, owner: &str, now: MonoTime) {
        let mut peers = self.peers();
        let Some(record) = peers.get_mut(vm) else { return };
        record.owner = Some(owner.to_owned());
        let before = record.last_owner.replace(owner.to_owned());
        drop(peers);
        if before.as_deref() == Some(owner) {
            // It lived on unheard, and may have taken jobs in and closed them. A new start hasn't.
            self.note_jobs_missed(now);
        }
    }

    /// Who a peer said it is.
    pub fn owner_of(&self, vm: &VmName) -> Option<String> {
        self.peers().get(vm).and_then(|record| record.owner.clone())
    }

    /// A peer said that it was told to stop.
    pub fn set_stopping(&self, vm: &VmName) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.is_stopping = true;
        }
    }

    /// A peer said that it leaves its jobs to others.
    pub fn set_leaving(&self, vm: &VmName) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.is_leaving = true;
        }
    }

    /// A peer said whether it follows the store.
    pub fn set_watching(&self, vm: &VmName, is_watching: bool) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.is_watching = is_watching;
        }
    }

    /// Sends to one gateway; false when there is no link.
    pub fn send(&self, vm: &VmName, message: PeerMessage) -> bool {
        let link = self.peers().get(vm).and_then(|record| record.link.clone());
        link.is_some_and(|link| self.send_on(&[link], &message) == 1)
    }

    /// Sends to several gateways, as far as there are links.
    pub fn send_to_all(&self, vms: &[&VmName], message: &PeerMessage) {
        let peers = self.peers();
        let links = vms.iter().filter_map(|vm| peers.get(*vm)?.link.clone());
        let links: Vec<LinkHandle> = links.collect();
        drop(peers);
        self.send_on(&links, message);
    }

    /// Encodes a message once and queues it on `links`; on how many that succeeded. A full or closed queue
    /// loses it: what is told is told again, asked for, or read from the store.
    fn send_on(&self, links: &[LinkHandle], message: &PeerMessage) -> usize {
        let Ok(encoded) = EncodedMessage::encode(&LinkMessage::Peer(message.clone())) else {
            return 0;
        };
        let sent = links.iter().filter(|link| link.send_encoded(encoded.clone()).is_ok()).count();
        self.traffic.note_sent(message.kind(), encoded.len(), sent);
        sent
    }

    /// Sends to the gateway that `owner` names; false when there is no link to that incarnation.
    pub fn send_to_owner(&self, owner: &str, message: PeerMessage) -> bool {
        let peers = self.peers();
        let found = peers.values().find(|record| record.owner.as_deref() == Some(owner));
        let link = found.and_then(|record| record.link.clone());
        drop(peers);
        link.is_some_and(|link| self.send_on(&[link], &message) == 1)
    }

    /// Sends to every gateway with a link.
    pub fn broadcast(&self, message: &PeerMessage) {
        let links: Vec<LinkHandle> =
            self.peers().values().filter_map(|record| record.link.clone()).collect();
        self.send_on(&links, message);
    }

    /// How many other gateways are known.
    pub fn known_count(&self) -> usize {
        self.peers().len()
    }

    /// Gateways with a link, also those that stop.
    pub fn linked_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let linked = peers.iter().filter(|(_, record)| record.link.is_some());
        linked.map(|(vm, _)| vm.clone()).collect()
    }

    /// How many links stand.
    pub fn link_count(&self) -> usize {
        self.peers().values().filter(|record| record.link.is_some()).count()
    }

    /// Whether the gateway that `owner` names is alive at `now`. One without a link is doubtful for
    /// a moment, also when it's heard of for the first time: a gateway that has just started owns
    /// jobs before its entry is read here, and taken over at once they would have two owners.
    pub fn liveness(&self, owner: &str, now: MonoTime) -> OwnerLiveness {
        let vm = owner.split_once('#').map_or(owner, |(vm, _)| vm);
        let mut peers = self.peers();
        let record = peers.entry(VmName::new(vm)).or_insert_with(|| PeerRecord::new(now));
        let newest = record.owner.as_deref().or(record.entry.as_ref().map(|e| &*e.owner));
        if record.is_leaving || newest.is_some_and(|newest| newest != owner) {
            OwnerLiveness::Gone
        } else if record.link.is_some() {
            OwnerLiveness::Alive
        } else if now.since(record.down_since) < record.patience() {
            OwnerLiveness::Doubtful
        } else {
            OwnerLiveness::Gone
        }
    }

    /// Names of gateways that take jobs over. One that was told to stop would have to leave them again
    /// a moment later.
    pub fn successor_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let takes = |r: &PeerRecord| r.link.is_some() && !r.is_leaving && !r.is_stopping;
        peers.iter().filter(|(_, record)| takes(record)).map(|(vm, _)| vm.clone()).collect()
    }

    /// Names of gateways with a link that haven't left.
    pub fn live_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let live = peers.iter().filter(|(_, r)| r.link.is_some() && !r.is_leaving);
        live.map(|(vm, _)| vm.clone()).collect()
    }

    /// Gateways with a link that don't stop, each with its failure domain.
    pub fn live_domains(&self) -> Vec<(String, String)> {
        let peers = self.peers();
        let live = peers.iter().filter(|(_, r)| r.link.is_some() && !r.is_leaving);
        let named = live.filter_map(|(vm, r)| {
            let entry = r.entry.as_ref()?;
            Some((vm.as_str().to_owned(), entry.domain.clone()))
        });
        named.collect()
    }

    /// Whether the entries of gateways were read so recently that one that is missing here can't have taken
    /// this one for dead yet. It may know this one's entry and get no link, when this one, which the
    /// store turns away, is to dial.
    pub fn has_fresh_entries(&self, now: MonoTime) -> bool {
        self.entries.is_fresh(now, ENTRIES_FRESH)
    }

    /// Whether every known gateway was heard a moment ago. While one isn't, it may have taken jobs of ours
    /// over. A link that still looks up says nothing: a process that stood still hasn't read yet that the
    /// others closed it.
    pub fn hears_all_peers(&self, now: MonoTime) -> bool {
        !self.peers().values().any(|record| record.is_silent(now))
    }

    /// Whether every job is known that a client may send again: each gateway has been heard for `span`, which is
    /// longer than a client tries, or all jobs in the store were read since one wasn't.
    pub fn knows_all_recent_jobs(&self, span: Duration, now: MonoTime) -> bool {
        self.has_fresh_entries(now)
            && self.hears_all_peers(now)
            && self.job_news().is_whole(span, now)
    }

    /// All jobs in the store were read, asked for at `asked`.
    pub fn note_jobs_listed(&self, asked: MonoTime) {
        self.job_news().listed_at = Some(asked);
    }

    /// From now on another gateway may have taken jobs in unheard, or have died before it told of one.
    fn note_jobs_missed(&self, now: MonoTime) {
        self.job_news().missed_at = now;
    }

    fn job_news(&self) -> MutexGuard<'_, JobNewsClock> {
        self.job_news.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, FastMap<VmName, PeerRecord>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerRecord {
    /// How long its process has run; zero before it told.
    fn up(&self, now: MonoTime) -> Duration {
        self.up_since.map_or(Duration::ZERO, |told| told.up + now.since(told.at))
    }

    /// Whether it may have taken jobs of ours over: it hasn't been heard for long, or its link is down. A
    /// gateway that was only named, and neither registered nor linked to, isn't counted; nor is one that
    /// has left, as it takes no jobs over until it starts again, which its entry or its link tells.
    fn is_silent(&self, now: MonoTime) -> bool {
        let is_known = self.entry.is_some() || self.was_linked;
        is_known
            && !self.is_leaving
            && (self.link.is_none() || now.since(self.heard_at) >= PEER_SILENT_AFTER)
    }

    /// How long it may be without a link before it is taken for dead. One that was never linked to may live
    /// and not have heard of us yet, when it's we who have just started.
    fn patience(&self) -> Duration {
        if self.was_linked { PEER_DEAD_AFTER } else { FIRST_LINK_TIMEOUT }
    }

    fn new(now: MonoTime) -> Self {
        Self {
            entry: None,
            dialer: None,
            link: None,
            owner: None,
            last_owner: None,
            down_since: now,
            heard_at: now,
            was_linked: false,
            up_since: None,
            has_ended: false,
            is_lost: false,
            is_stopping: false,
            is_leaving: false,
            is_watching: false,
        }
    }
}
