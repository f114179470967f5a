//! The table of the other gateways: their entries, links and liveness.

mod absence;
mod census;
mod liveness;

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_channel::{Receiver, Sender};
use notch_link::prelude::*;
use notch_messages::prelude::*;
use notch_relay::prelude::{AbsenceVote, CreditAnswer, OwnContact};
use notch_types::prelude::*;

pub use liveness::OwnerLiveness;

use crate::{
    accounts::proof_age::ProofAge,
    constants::{ENTRIES_FRESH, PEER_SILENT_AFTER},
    online::origin_reply::OriginReply,
    peers::{
        calls::CallTable,
        catch_up::{AnswerBudget, CatchUp},
        registration::GatewayEntry,
        roster::{GatewayRoster, RosterChange},
        traffic::PeerTraffic,
    },
    store::feed_clock::FeedClock,
};

/// A peer's answer to a read of a job.
#[derive(Debug)]
pub struct JobReadReply {
    /// Whether the peer is certain that there are no results beyond those that it knows.
    pub is_sure: bool,
    /// The account that submitted the job; empty for none.
    pub account: String,
    /// Number of items of the job; 0 when the peer doesn't know the job or the account has no access to it.
    pub total: usize,
    /// Results from the requested position on.
    pub lines: Vec<notch_relay::prelude::ResultLine>,
    /// Whether these are all results that the peer knows.
    pub is_all: bool,
}

/// Another gateway's answer about the share of a limit that it still holds.
#[derive(Debug)]
pub struct KeptShare {
    /// The gateway, with its incarnation.
    pub holder: String,
    /// The part of the limit that it still holds.
    pub kept: u64,
    /// Work counted against the limit that ends there each second.
    pub ended_per_second: u64,
}

/// How many of the gateways were silent when one was heard again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerSilence {
    /// At most half: those gateways were away.
    Minority,
    /// More than half: more likely this gateway itself was partitioned off, or paused.
    Majority,
}

impl PeerSilence {
    fn among(peers: &FastMap<VmName, PeerRecord>, now: MonoTime) -> Self {
        let silent = peers.values().filter(|record| record.is_silent(now)).count();
        if silent * 2 > peers.len() { Self::Majority } else { Self::Minority }
    }
}

/// Another gateway's answer to a read of an item's body.
#[derive(Debug)]
pub struct ItemBodyReply {
    /// Whether it can answer; it can't if it doesn't own the job, or if the body is too large for a message.
    pub is_known: bool,
    /// The body; `None` when the job has no such item, or the account has no access to it.
    pub body: Option<Payload>,
}

/// Uptime of a process, as reported at a point in time.
#[derive(Debug, Clone, Copy)]
struct ReportedUptime {
    at: MonoTime,
    up: Duration,
}

/// State of one other gateway.
#[derive(Debug)]
struct PeerRecord {
    /// Its entry in the store; `None` while only its name or its link is known.
    entry: Option<GatewayEntry>,
    /// Keeps a link to it open, where this side dials.
    dialer: Option<(SocketAddr, LinkDialer)>,
    link: Option<LinkHandle>,
    /// VM name with incarnation, as announced on the current link.
    owner: Option<String>,
    /// The last one announced on any link.
    last_owner: Option<String>,
    /// When its last link went down, or when it was first heard of.
    down_since: MonoTime,
    /// When anything was last received from it. Meaningless while `was_linked` is false.
    heard_at: MonoTime,
    /// Whether there ever was a link to it.
    was_linked: bool,
    /// Uptime of its process as announced on its link; `None` before that.
    uptime: Option<ReportedUptime>,
    /// Whether its last link was closed by the other side, which most likely means that its process ended.
    has_ended: bool,
    /// Whether it has had no link for so long that it doesn't count as known any more. Reset by a link.
    is_lost: bool,
    /// Whether it is stopping; it takes no jobs over then.
    is_stopping: bool,
    /// Whether it has announced that it hands its jobs over.
    is_leaving: bool,
    /// Whether it follows the store.
    is_watching: bool,
    /// Whether it has reported since its link came up.
    has_reported: bool,
    /// Its rank among the gateways that may follow the store; a higher one goes first.
    watch_rank: u64,
}

/// A store write of a gateway may take effect up to this long after contact with it was lost: a list of jobs that was
/// requested earlier may lack the job.
const LATE_WRITE_WINDOW: Duration = Duration::from_millis(500);

/// Whether all recent jobs of the other gateways are known here.
#[derive(Debug, Default)]
struct JobCoverage {
    /// When a job was last possibly missed; initially the start of the process.
    missed_at: MonoTime,
    /// When the last complete list of the jobs in the store was requested.
    listed_at: Option<MonoTime>,
}

impl JobCoverage {
    fn is_complete(&self, span: Duration, now: MonoTime) -> bool {
        let is_listed = self.listed_at.is_some_and(|at| at >= self.missed_at + LATE_WRITE_WINDOW);
        is_listed || now.since(self.missed_at) >= span
    }
}

/// The other gateways, and pending calls to them.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: Mutex<FastMap<VmName, PeerRecord>>,
    /// Reads of jobs.
    pub job_calls: CallTable<JobReadReply>,
    /// Reads of items' bodies.
    pub body_calls: CallTable<ItemBodyReply>,
    /// Store calls that another gateway makes for this one.
    pub store_calls: CallTable<StoreCallEnd>,
    /// Requests for slots at targets whose home is another gateway.
    pub slot_calls: CallTable<PlaceAnswer>,
    /// Questions where streams began.
    pub origin_calls: CallTable<OriginReply>,
    /// Queries of held shares of limits.
    pub share_calls: CallTable<KeptShare>,
    /// Requests for credit of account limits.
    pub credit_calls: CallTable<CreditAnswer>,
    /// Queries whether a gateway can be evicted.
    pub eviction_calls: CallTable<AbsenceVote>,
    /// Queries of the age of configuration proofs.
    pub age_calls: CallTable<ProofAge>,
    /// When this gateway last read the gateways' entries.
    pub entries: FeedClock,
    /// When another gateway had last read them, as far as the entries known here were equal to its own.
    pub reported_entries: FeedClock,
    /// Whether all recent jobs of the others are known.
    job_coverage: Mutex<JobCoverage>,
    /// Counters of messages on links.
    pub traffic: PeerTraffic,
    /// Whether missing links show that the others are gone.
    contact: Mutex<OwnContact>,
    /// Decides when to request newer state.
    catch_up: Mutex<CatchUp>,
    /// Limits the answers to requests for state.
    answer_budget: Mutex<AnswerBudget>,
    /// The gateways' entries.
    roster: Mutex<GatewayRoster>,
    /// Changes of the entries, for the task that maintains the links.
    roster_changes: RosterChannel,
}

/// Queue of changes of the gateways' entries.
#[derive(Debug)]
struct RosterChannel {
    sender: Sender<RosterChange>,
    receiver: Receiver<RosterChange>,
}

impl Default for RosterChannel {
    fn default() -> Self {
        let (sender, receiver) = async_channel::unbounded();
        Self { sender, receiver }
    }
}

impl PeerTable {
    /// An empty table whose messages are counted by `traffic`.
    pub fn new(traffic: PeerTraffic) -> Self {
        Self { traffic, ..Self::default() }
    }

    /// Limits the answers to requests for state.
    pub fn answer_budget(&self) -> MutexGuard<'_, AnswerBudget> {
        self.answer_budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides when to request newer state.
    pub fn catch_up(&self) -> MutexGuard<'_, CatchUp> {
        self.catch_up.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The gateways' entries.
    pub fn roster(&self) -> MutexGuard<'_, GatewayRoster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues changes of the entries for the task that maintains the links.
    pub fn queue_roster_changes(&self, changes: impl IntoIterator<Item = RosterChange>) {
        for change in changes {
            // The queue is unbounded and never closed.
            let _ = self.roster_changes.sender.try_send(change);
        }
    }

    /// The next change of the entries.
    pub async fn next_roster_change(&self) -> Option<RosterChange> {
        self.roster_changes.receiver.recv().await.ok()
    }

    /// Adds or updates a gateway's entry. `dial`, given where this side dials, starts a dialer; it is called if the
    /// address is new.
    pub fn put_entry(
        &self,
        vm: &VmName,
        entry: GatewayEntry,
        now: MonoTime,
        dial: Option<impl FnOnce(SocketAddr) -> LinkDialer>,
    ) {
        let mut peers = self.peers();
        let record = peers.entry(vm.clone()).or_insert_with(|| PeerRecord::new(vm, now));
        if let Some(dial) = dial {
            let is_current = record.dialer.as_ref().is_some_and(|(at, _)| *at == entry.address);
            if !is_current {
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

    /// Removes a gateway's entry. A gateway with a link is still alive, so its record is kept; without the record it
    /// would count as dead, and its jobs would be taken over while it still runs them.
    pub fn remove_entry(&self, vm: &VmName) {
        let mut peers = self.peers();
        match peers.get_mut(vm) {
            Some(record) if record.link.is_some() => record.entry = None,
            _ => drop(peers.remove(vm)),
        }
    }

    /// Records a new link; returns how many gateways had been silent until now.
    pub fn link_up(&self, vm: &VmName, link: LinkHandle, now: MonoTime) -> PeerSilence {
        let mut peers = self.peers();
        let silence = PeerSilence::among(&peers, now);
        let record = peers.entry(vm.clone()).or_insert_with(|| PeerRecord::new(vm, now));
        record.link = Some(link);
        record.heard_at = now;
        record.was_linked = true;
        record.uptime = None;
        record.has_ended = false;
        record.is_lost = false;
        record.owner = None;
        record.is_stopping = false;
        record.is_leaving = false;
        silence
    }

    /// Records the loss of a link, closed by the other side or timed out. True if it was the link in use.
    pub fn link_down(&self, vm: &VmName, link: u64, is_closed: bool, now: MonoTime) -> bool {
        let mut peers = self.peers();
        let Some(record) = peers.get_mut(vm) else { return false };
        if record.link.as_ref().is_none_or(|current| current.id() != link) {
            return false;
        }
        record.link = None;
        record.is_watching = false;
        record.has_reported = false;
        record.has_ended = is_closed;
        record.down_since = now;
        drop(peers);
        self.note_jobs_missed(now);
        true
    }

    /// Records that something came from a gateway. If it had been silent for so long that it may have taken over jobs
    /// of this gateway, returns how many gateways were silent.
    pub fn note_heard(&self, vm: &VmName, now: MonoTime) -> Option<PeerSilence> {
        let mut peers = self.peers();
        let was_silent = peers.get(vm).is_some_and(|record| record.is_silent(now));
        let silence = was_silent.then(|| PeerSilence::among(&peers, now));
        if let Some(record) = peers.get_mut(vm) {
            record.heard_at = now;
        }
        silence
    }

    /// Records the identity that a peer announced. Returns whether it is a new one: jobs of an earlier incarnation may
    /// have lost their owner, and the new one knows of no jobs.
    pub fn set_owner(&self, vm: &VmName, owner: &str, now: MonoTime) -> bool {
        let mut peers = self.peers();
        let Some(record) = peers.get_mut(vm) else { return false };
        record.owner = Some(owner.to_owned());
        let before = record.last_owner.replace(owner.to_owned());
        drop(peers);
        if before.as_deref() == Some(owner) {
            // The same process ran on without contact, and may have accepted and closed jobs meanwhile. A
            // restarted one has no such jobs.
            self.note_jobs_missed(now);
            return false;
        }
        true
    }

    /// The identity that a peer announced on its current link.
    pub fn owner_of(&self, vm: &VmName) -> Option<String> {
        self.peers().get(vm).and_then(|record| record.owner.clone())
    }

    /// Records that a peer is stopping.
    pub fn set_stopping(&self, vm: &VmName) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.is_stopping = true;
        }
    }

    /// Records that a peer hands its jobs over.
    pub fn set_leaving(&self, vm: &VmName) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.is_leaving = true;
        }
    }

    /// Records whether a peer follows the store.
    pub fn set_watching(&self, vm: &VmName, is_watching: bool) {
        if let Some(record) = self.peers().get_mut(vm) {
            record.is_watching = is_watching;
            record.has_reported = true;
        }
    }

    /// Sends a message to one gateway; false when there is no link.
    pub fn send(&self, vm: &VmName, message: PeerMessage) -> bool {
        let link = self.peers().get(vm).and_then(|record| record.link.clone());
        link.is_some_and(|link| self.send_on(&[link], &message) == 1)
    }

    /// Sends a message to several gateways; those without a link are skipped.
    pub fn send_to_all(&self, vms: &[&VmName], message: &PeerMessage) {
        let peers = self.peers();
        let links = vms.iter().filter_map(|vm| peers.get(*vm)?.link.clone());
        let links: Vec<LinkHandle> = links.collect();
        drop(peers);
        self.send_on(&links, message);
    }

    /// Encodes a message once and queues it on `links`; returns on how many that succeeded. A full or closed queue
    /// drops it, which is safe: all state is sent again, requested, or read from the store.
    fn send_on(&self, links: &[LinkHandle], message: &PeerMessage) -> usize {
        let Ok(encoded) = EncodedMessage::encode(&LinkMessage::Peer(message.clone())) else {
            return 0;
        };
        let sent = links.iter().filter(|link| link.send_encoded(encoded.clone()).is_ok()).count();
        self.traffic.note_sent(message.kind(), encoded.len(), sent);
        sent
    }

    /// Sends a message to the gateway with the identity `owner`; false when there is no link to that incarnation.
    pub fn send_to_owner(&self, owner: &str, message: PeerMessage) -> bool {
        let peers = self.peers();
        let found = peers.values().find(|record| record.owner.as_deref() == Some(owner));
        let link = found.and_then(|record| record.link.clone());
        drop(peers);
        link.is_some_and(|link| self.send_on(&[link], &message) == 1)
    }

    /// Sends a message to every gateway with a link.
    pub fn broadcast(&self, message: &PeerMessage) {
        let links: Vec<LinkHandle> =
            self.peers().values().filter_map(|record| record.link.clone()).collect();
        self.send_on(&links, message);
    }

    /// Number of other gateways in the table.
    pub fn known_count(&self) -> usize {
        self.peers().len()
    }

    /// Gateways with a link, including those that stop.
    pub fn linked_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let linked = peers.iter().filter(|(_, record)| record.link.is_some());
        linked.map(|(vm, _)| vm.clone()).collect()
    }

    /// Number of links.
    pub fn link_count(&self) -> usize {
        self.peers().values().filter(|record| record.link.is_some()).count()
    }

    /// Gateways that can take jobs over. Those that are stopping can't, as they would have to hand them over again
    /// a moment later.
    pub fn successor_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let takes = |r: &PeerRecord| r.link.is_some() && !r.is_leaving && !r.is_stopping;
        peers.iter().filter(|(_, record)| takes(record)).map(|(vm, _)| vm.clone()).collect()
    }

    /// Gateways with a link that don't hand their jobs over.
    pub fn live_vms(&self) -> Vec<VmName> {
        let peers = self.peers();
        let live = peers.iter().filter(|(_, r)| r.link.is_some() && !r.is_leaving);
        live.map(|(vm, _)| vm.clone()).collect()
    }

    /// Gateways with a link and an entry that don't hand their jobs over, each with its failure domain.
    pub fn live_domains(&self) -> Vec<(String, String)> {
        let peers = self.peers();
        let live = peers.iter().filter(|(_, r)| r.link.is_some() && !r.is_leaving);
        let named = live.filter_map(|(vm, r)| {
            let entry = r.entry.as_ref()?;
            Some((vm.as_str().to_owned(), entry.domain.clone()))
        });
        named.collect()
    }

    /// Whether the gateways' entries were read so recently that a gateway missing here can't consider this one dead
    /// yet. A gateway may know this one's entry and yet have no link to it: where this one is to dial but the store
    /// rejects its calls, it never learns of the other.
    pub fn has_fresh_entries(&self, now: MonoTime) -> bool {
        let clocks = [&self.entries, &self.reported_entries];
        clocks.iter().any(|clock| clock.is_fresh(now, ENTRIES_FRESH))
    }

    /// Whether the gateways' entries were ever read.
    pub fn has_entries(&self) -> bool {
        self.entries.is_answered() || self.reported_entries.is_answered()
    }

    /// Whether no known gateway is silent. A silent one may have taken over jobs of this gateway. That a link is still
    /// open doesn't suffice: after a pause, this process may not have noticed yet that the others closed it.
    pub fn hears_all_peers(&self, now: MonoTime) -> bool {
        !self.peers().values().any(|record| record.is_silent(now))
    }

    /// Whether every job that a client may submit again is known. The entries must be fresh and no gateway silent, and
    /// either contact with all gateways has lasted for `span`, which is longer than clients retry, or all jobs in the
    /// store were read since it was last lost.
    pub fn knows_all_recent_jobs(&self, span: Duration, now: MonoTime) -> bool {
        self.has_fresh_entries(now)
            && self.hears_all_peers(now)
            && self.job_coverage().is_complete(span, now)
    }

    /// Records a read of all jobs in the store, requested at `asked`.
    pub fn note_jobs_listed(&self, asked: MonoTime) {
        self.job_coverage().listed_at = Some(asked);
    }

    /// Records that another gateway may accept jobs without contact up to `now`, or died before it announced one.
    pub fn note_jobs_missed(&self, now: MonoTime) {
        let mut coverage = self.job_coverage();
        coverage.missed_at = coverage.missed_at.max(now);
    }

    fn job_coverage(&self) -> MutexGuard<'_, JobCoverage> {
        self.job_coverage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, FastMap<VmName, PeerRecord>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerRecord {
    /// Uptime of its process; zero before it announced one.
    fn current_uptime(&self, now: MonoTime) -> Duration {
        self.uptime.map_or(Duration::ZERO, |reported| reported.up + now.since(reported.at))
    }

    /// Whether it may have taken over jobs of this gateway: nothing came from it for long, or its link is down. One
    /// whose name is known but that has neither an entry nor ever had a link doesn't count. Nor does one that handed
    /// its jobs over: it takes none over until it restarts, which its entry or its link shows.
    fn is_silent(&self, now: MonoTime) -> bool {
        let is_known = self.entry.is_some() || self.was_linked;
        is_known
            && !self.is_leaving
            && (self.link.is_none() || now.since(self.heard_at) >= PEER_SILENT_AFTER)
    }

    fn new(vm: &VmName, now: MonoTime) -> Self {
        Self {
            entry: None,
            dialer: None,
            link: None,
            owner: None,
            last_owner: None,
            down_since: now,
            heard_at: now,
            was_linked: false,
            uptime: None,
            has_ended: false,
            is_lost: false,
            is_stopping: false,
            is_leaving: false,
            is_watching: false,
            has_reported: false,
            watch_rank: watch_rank(vm),
        }
    }
}

/// Rank of a gateway among those that may follow the store, the same on every gateway.
pub(super) fn watch_rank(vm: &VmName) -> u64 {
    stable_hash64(&[b"watch", vm.as_str().as_bytes()])
}
