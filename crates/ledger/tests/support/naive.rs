//! The ledger as a plain list, filled at the very moment the store takes a head.

use std::collections::{BTreeMap, BTreeSet};

use notch_ledger::{
    LedgerHead, ObjectKey, ParsedKey, RejectCertainty, Seq, probe::MapStore, read_segment,
};
use notch_types::prelude::*;

use super::SHARD;

/// What an append has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Open,
    Committed(Seq),
    Rejected(RejectCertainty),
    /// Its node crashed.
    Orphan,
}

pub struct Append {
    pub records: Vec<Payload>,
    pub fate: Fate,
}

#[derive(Default)]
pub struct NaiveLedger {
    pub list: Vec<Payload>,
    pub appends: BTreeMap<u64, Append>,
    pub epochs: BTreeMap<Epoch, (VmName, Incarnation)>,
    last_epoch: Epoch,
}

impl NaiveLedger {
    /// A head has just been written: what it adds comes after everything before, and what it
    /// keeps is unchanged.
    pub fn absorb(&mut self, store: &MapStore) {
        let key = ObjectKey { shard: SHARD };
        let value = store.value(&key.head()).expect("just written");
        let head = LedgerHead::decode(value).expect("a head");
        assert!(head.epoch >= self.last_epoch, "an epoch went back");
        assert!(head.epoch.0 <= self.last_epoch.0 + 1, "an epoch was skipped");
        self.last_epoch = head.epoch;
        let by = (head.writer.vm.clone(), head.writer.incarnation);
        let first = self.epochs.entry(head.epoch).or_insert_with(|| by.clone());
        assert_eq!(*first, by, "two writers in one epoch");
        assert!(head.next.0 >= self.list.len() as u64, "committed records were lost");
        for seq in self.list.len() as u64..head.next.0 {
            let record = read(&head, store, Seq(seq)).expect("a committed record is readable");
            self.list.push(record);
        }
        for (record, seq) in head.tail.iter().zip(head.tail_first().0..) {
            assert_eq!(*record, self.list[seq as usize], "a committed record has changed");
        }
        let mut covered = head.snapshot.map_or(0, |snapshot| snapshot.upto.0);
        for segment in &head.segments {
            assert!(segment.first.0 <= covered, "a gap in the log");
            covered = segment.range().until.0;
        }
        assert!(head.tail_first().0 <= covered, "a gap before the tail");
    }

    /// Whether the head in force names a key of the shard's own (retained index aside).
    pub fn head_names(store: &MapStore, key: &str) -> bool {
        let keys = ObjectKey { shard: SHARD };
        let Some(value) = store.value(&keys.head()) else { return false };
        let head = LedgerHead::decode(value).expect("a head");
        match keys.parse(key) {
            Some(ParsedKey::Segment { first, nonce }) => {
                head.segments.iter().any(|segment| segment.first == first && segment.nonce == nonce)
            }
            Some(ParsedKey::SnapshotPart { upto, nonce, .. }) => head
                .snapshot
                .is_some_and(|snapshot| snapshot.upto == upto && snapshot.nonce == nonce),
            None => key == keys.head(),
        }
    }

    /// Whether a committed record names a chunk.
    pub fn names_chunk(&self, key: &str) -> bool {
        self.list.iter().any(|record| chunk_of(record) == Some(key))
    }

    /// Each append against the list, at the end.
    pub fn settle(&self) {
        let mut places: BTreeMap<&Payload, Vec<usize>> = BTreeMap::new();
        for (place, record) in self.list.iter().enumerate() {
            places.entry(record).or_default().push(place);
        }
        let mut known = BTreeSet::new();
        for (ticket, append) in &self.appends {
            let found = append.records.iter().map(|record| places.get(record)).collect::<Vec<_>>();
            known.extend(append.records.iter());
            let there = found.iter().filter(|places| places.is_some()).count();
            assert!(there == 0 || there == found.len(), "append {ticket} was torn");
            assert!(
                found.iter().flatten().all(|places| places.len() == 1),
                "append {ticket} is there twice"
            );
            match append.fate {
                Fate::Committed(first) => {
                    for (places, place) in found.iter().zip(first.0 as usize..) {
                        let places = places.expect("a committed record is in the ledger");
                        assert_eq!(places[..], [place], "append {ticket} is elsewhere");
                    }
                }
                Fate::Rejected(RejectCertainty::NotCommitted) => {
                    assert_eq!(there, 0, "append {ticket} was said not to be committed");
                }
                Fate::Rejected(RejectCertainty::Unknown) | Fate::Orphan | Fate::Open => {}
            }
        }
        assert!(self.list.iter().all(|record| known.contains(record)), "a record from nowhere");
    }
}

/// The chunk key a record names: the text after `@`.
pub fn chunk_of(record: &Payload) -> Option<&str> {
    let at = record.iter().position(|byte| *byte == b'@')?;
    std::str::from_utf8(&record[at + 1..]).ok()
}

fn read(head: &LedgerHead, store: &MapStore, seq: Seq) -> Option<Payload> {
    if seq >= head.tail_first() {
        return head.tail.get((seq.0 - head.tail_first().0) as usize).cloned();
    }
    let inside = |range: notch_ledger::SeqRange| range.from <= seq && seq < range.until;
    let segment = head.segments.iter().find(|segment| inside(segment.range()))?;
    let key = ObjectKey { shard: SHARD }.segment(segment.first, segment.nonce);
    read_segment(store.value(&key)?, (seq.0 - segment.first.0) as usize).ok()
}
