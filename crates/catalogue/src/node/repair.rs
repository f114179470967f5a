//! Anti-entropy with a peer: which buckets differ, and what each side lacks in them.

use std::collections::{BTreeMap, BTreeSet};

use notch_messages::{
    entry::{EntryKey, EntryRecord, EntryStamp},
    gossip::GossipMessage,
};
use notch_types::prelude::*;

use crate::{
    settings::CatalogueSettings,
    table::{BUCKET_COUNT, EntryTable, root_of},
};

/// Buckets compared by one message, so that the stamps of a full catalogue don't come at once.
const BUCKETS_A_MESSAGE: usize = 32;
/// Bytes of a record on the wire besides its text, roughly.
const RECORD_OVERHEAD: usize = 96;
/// Fruitless pairs remembered, and for how many root intervals.
const MAX_SETTLED: usize = 64;
const SETTLED_ROUNDS: u32 = 60;

/// A repair with one peer.
#[derive(Debug)]
struct RepairRun {
    peer: VmName,
    /// The peer's root at the start.
    theirs: u64,
    /// Buckets that differ and aren't answered yet.
    todo: BTreeSet<u16>,
    /// Whether the peer's catalogue is complete.
    complete: bool,
    /// Whether anything was adopted.
    gained: bool,
    deadline: MonoTime,
}

/// Two roots that differ for good: one side refuses what the other has in force, as between two
/// releases. Comparing them each second would cost more than everything else together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SettledPair {
    own: u64,
    theirs: u64,
    until: MonoTime,
}

/// What comes next in a repair.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum RepairStep {
    /// Nothing.
    Nothing,
    /// Ask the peer this.
    Ask(GossipMessage),
    /// Done; this node now has all that the peer had, and the peer was `complete`.
    Done {
        /// Whether the peer's catalogue was complete.
        complete: bool,
    },
}

/// Anti-entropy with peers, one repair at a time.
///
/// Bounds: one run of at most [`BUCKET_COUNT`] buckets; [`MAX_SETTLED`] remembered pairs.
#[derive(Debug, Default)]
pub(crate) struct PeerRepair {
    run: Option<RepairRun>,
    settled: BTreeMap<VmName, SettledPair>,
}

impl PeerRepair {
    /// When the run is given up.
    pub(crate) fn deadline(&self) -> Option<MonoTime> {
        self.run.as_ref().map(|run| run.deadline)
    }

    /// Gives up a run without answers.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        if self.deadline().is_some_and(|deadline| now >= deadline) {
            self.run = None;
        }
    }

    /// Whether a repair with the peer is known to bring nothing as long as both stay the same.
    pub(crate) fn is_settled(&self, now: MonoTime, peer: &VmName, own: u64, theirs: u64) -> bool {
        let pair = self.settled.get(peer);
        pair.is_some_and(|pair| pair.own == own && pair.theirs == theirs && now < pair.until)
    }

    /// Like [`Self::is_settled`] with what the peer had last.
    pub(crate) fn is_settled_last(&self, now: MonoTime, peer: &VmName, own: u64) -> bool {
        let pair = self.settled.get(peer);
        pair.is_some_and(|pair| pair.own == own && now < pair.until)
    }

    /// Takes a peer's digests.
    pub(crate) fn digests(
        &mut self,
        now: MonoTime,
        from: &VmName,
        buckets: &[u64],
        complete: bool,
        table: &EntryTable,
        settings: &CatalogueSettings,
    ) -> RepairStep {
        self.expire(now);
        if self.run.is_some() {
            return RepairStep::Nothing;
        }
        let todo = differing(table.digests(), buckets);
        if todo.is_empty() {
            return RepairStep::Done { complete };
        }
        let deadline = now + settings.repair_timeout;
        let theirs = root_of(buckets);
        let run = RepairRun { peer: from.clone(), theirs, todo, complete, gained: false, deadline };
        let ask = RepairStep::Ask(stamps_message(table, &run.todo));
        self.run = Some(run);
        ask
    }

    /// Takes the peer's answer for some buckets, after its entries were taken in.
    pub(crate) fn covered(
        &mut self,
        now: MonoTime,
        from: &VmName,
        covers: &[u16],
        gained: bool,
        table: &EntryTable,
        settings: &CatalogueSettings,
    ) -> RepairStep {
        let Some(run) = self.run.as_mut().filter(|run| run.peer == *from) else {
            return RepairStep::Nothing;
        };
        let before = run.todo.len();
        for bucket in covers {
            run.todo.remove(bucket);
        }
        run.gained |= gained;
        if run.todo.len() == before {
            return RepairStep::Nothing;
        }
        if !run.todo.is_empty() {
            run.deadline = now + settings.repair_timeout;
            return RepairStep::Ask(stamps_message(table, &run.todo));
        }
        let (complete, gained, theirs) = (run.complete, run.gained, run.theirs);
        self.run = None;
        if !gained {
            self.settle(now, from, table.root(), theirs, settings);
        }
        RepairStep::Done { complete }
    }

    fn settle(
        &mut self,
        now: MonoTime,
        peer: &VmName,
        own: u64,
        theirs: u64,
        settings: &CatalogueSettings,
    ) {
        self.settled.retain(|_, pair| now < pair.until);
        if self.settled.len() >= MAX_SETTLED {
            self.settled.pop_first();
        }
        let until = now + settings.root_interval * SETTLED_ROUNDS;
        self.settled.insert(peer.clone(), SettledPair { own, theirs, until });
    }
}

/// The answer to a peer's stamps: what this node lacks, if anything, and what the peer lacks.
/// Buckets that don't fit the message are left uncovered, and the peer asks again.
pub(crate) fn answer_stamps(
    table: &EntryTable,
    buckets: &[u16],
    stamps: &[EntryStamp],
    refused: &[EntryStamp],
    message_bytes: usize,
) -> Vec<GossipMessage> {
    let mut messages = Vec::new();
    let wants = wanted(table, stamps, refused);
    if !wants.is_empty() {
        messages.push(GossipMessage::EntryWants { stamps: wants });
    }
    let theirs = by_key(stamps);
    let refused = by_key(refused);
    let (mut entries, mut covers, mut bytes) = (Vec::new(), Vec::new(), 0);
    for bucket in buckets.iter().filter(|bucket| **bucket < BUCKET_COUNT) {
        let newer = table.newer_than(*bucket, &theirs, &refused);
        bytes += newer.iter().map(record_bytes).sum::<usize>();
        if bytes > message_bytes && !covers.is_empty() {
            break;
        }
        entries.extend(newer);
        covers.push(*bucket);
    }
    messages.push(GossipMessage::Entries { entries, covers });
    messages
}

/// This node's stamps in some buckets.
pub(crate) fn stamps_of(table: &EntryTable, buckets: &[u16]) -> GossipMessage {
    let buckets: Vec<u16> = buckets
        .iter()
        .copied()
        .filter(|bucket| *bucket < BUCKET_COUNT)
        .take(BUCKETS_A_MESSAGE)
        .collect();
    let stamps = buckets.iter().flat_map(|bucket| table.stamps(*bucket)).collect();
    let refused = buckets.iter().flat_map(|bucket| table.refused_stamps(*bucket)).collect();
    GossipMessage::EntryStamps { buckets, stamps, refused }
}

/// The buckets whose digests differ.
pub(crate) fn differing(own: &[u64], theirs: &[u64]) -> BTreeSet<u16> {
    let pairs = own.iter().zip(theirs).zip(0_u16..);
    pairs.filter(|((own, theirs), _)| own != theirs).map(|(_, bucket)| bucket).collect()
}

/// Bytes of a record on the wire, roughly.
pub(crate) fn record_bytes(record: &EntryRecord) -> usize {
    RECORD_OVERHEAD + record.key.name.len() + record.body.len()
}

fn stamps_message(table: &EntryTable, todo: &BTreeSet<u16>) -> GossipMessage {
    let buckets: Vec<u16> = todo.iter().copied().take(BUCKETS_A_MESSAGE).collect();
    stamps_of(table, &buckets)
}

fn wanted(table: &EntryTable, stamps: &[EntryStamp], refused: &[EntryStamp]) -> Vec<EntryStamp> {
    let newer = |stamp: &&EntryStamp| {
        let known = table.record(&stamp.key).map(|record| record.version).unwrap_or_default();
        stamp.version > known && table.newest_version(&stamp.key) != Some(stamp.version)
    };
    let unseen = |stamp: &&EntryStamp| table.newest_version(&stamp.key) < Some(stamp.version);
    let wants = stamps.iter().filter(newer).chain(refused.iter().filter(unseen));
    let keys: BTreeSet<&EntryKey> = wants.map(|stamp| &stamp.key).collect();
    let ask = |key: &EntryKey| {
        let version = table.record(key).map(|record| record.version).unwrap_or_default();
        EntryStamp { key: key.clone(), version }
    };
    keys.into_iter().map(ask).collect()
}

fn by_key(stamps: &[EntryStamp]) -> FastMap<&EntryKey, EntryVersion> {
    stamps.iter().map(|stamp| (&stamp.key, stamp.version)).collect()
}
