//! Reads of chunk objects and of old records.

use std::{collections::BTreeMap, sync::Arc};

use notch_messages::prelude::*;
use notch_types::prelude::*;

use super::{Effects, ShardService, answer, count, effect::ServiceEffect, waiting::StoredRead};
use crate::{
    chunk::ParsedChunk,
    record::LedgerRecord,
    service::event::{ReadFailure, ReadToken},
};

/// What a look for a chunk met.
pub(super) enum ChunkWant {
    /// Here it is.
    Ready(Arc<ParsedChunk>),
    /// It's being read.
    Reading,
    /// A read failed a moment ago.
    Unreadable,
}

/// What a read of records is for.
#[derive(Debug)]
pub(super) enum ReadPurpose {
    /// A page of results, found by its token.
    Page,
    /// A stored answer.
    Answer(StoredRead),
}

#[derive(Debug)]
struct RecordRead {
    purpose: ReadPurpose,
    since: MonoTime,
}

/// Open reads. Bounded by the calls that wait for them, and each lives at most the park time.
#[derive(Debug, Default)]
pub(super) struct ReadTable {
    /// Chunk objects being read, since when.
    objects: BTreeMap<String, MonoTime>,
    /// Chunk objects that couldn't be read, until when they are left alone.
    unreadable: BTreeMap<String, MonoTime>,
    records: BTreeMap<ReadToken, RecordRead>,
    next_read: u64,
}

impl ReadTable {
    /// Number of open reads of records.
    pub(super) fn open_records(&self) -> usize {
        self.records.len()
    }

    /// Starts a read of records.
    pub(super) fn read_records(
        &mut self,
        now: MonoTime,
        seqs: Vec<u64>,
        purpose: ReadPurpose,
        effects: &mut Effects,
    ) -> ReadToken {
        self.next_read += 1;
        let read = ReadToken(self.next_read);
        self.records.insert(read, RecordRead { purpose, since: now });
        effects.push(ServiceEffect::ReadRecords { read, seqs });
        read
    }

    /// Takes out reads of records made before `since`.
    pub(super) fn give_up(&mut self, since: MonoTime) -> Vec<ReadPurpose> {
        let old = self.records.extract_if(.., |_, read| read.since <= since);
        let purposes = old.map(|(_, read)| read.purpose).collect();
        self.objects.retain(|_, started| *started > since);
        purposes
    }

    /// Forgets failed reads whose time is over.
    pub(super) fn forgive(&mut self, now: MonoTime) {
        self.unreadable.retain(|_, until| *until > now);
    }

    /// When the oldest read of records was made.
    pub(super) fn oldest(&self) -> Option<MonoTime> {
        self.records.first_key_value().map(|(_, read)| read.since)
    }
}

impl ShardService {
    /// A chunk, from the cache or by a read that starts now.
    pub(super) fn want_chunk(&mut self, now: Now, key: &str, effects: &mut Effects) -> ChunkWant {
        if let Some(chunk) = self.chunks.get(key) {
            return ChunkWant::Ready(chunk);
        }
        if self.reads.unreadable.get(key).is_some_and(|until| *until > now.mono) {
            return ChunkWant::Unreadable;
        }
        let started = self.reads.objects.get(key);
        let lost = started.is_none_or(|since| now.mono.since(*since) >= self.settings.park_time);
        if lost {
            self.reads.objects.insert(key.to_owned(), now.mono);
            count(effects, Counter::Event("chunk_reads"));
            effects.push(ServiceEffect::ReadObject { key: key.to_owned() });
        }
        ChunkWant::Reading
    }

    pub(super) fn object_read(
        &mut self,
        now: Now,
        key: &str,
        result: Result<Payload, ReadFailure>,
        effects: &mut Effects,
    ) {
        self.reads.objects.remove(key);
        match result {
            Ok(bytes) => self.chunks.insert(key, Arc::new(ParsedChunk::new(bytes))),
            // A chunk without lines: its items end with a result that says so.
            Err(ReadFailure::Gone) => {
                count(effects, Counter::Event("chunks_gone"));
                self.chunks.insert(key, Arc::new(ParsedChunk::default()));
            }
            Err(ReadFailure::Unavailable) => {
                count(effects, Counter::Retried(RetryReason::StoreUnavailable));
                let until = now.mono + self.settings.store_retry;
                self.reads.unreadable.insert(key.to_owned(), until);
            }
        }
        self.resume_pulls(now, effects);
        self.resume_pages(now, key, effects);
    }

    pub(super) fn records_read(
        &mut self,
        now: Now,
        read: ReadToken,
        result: Result<Vec<(u64, Payload)>, ReadFailure>,
        effects: &mut Effects,
    ) {
        let Some(open) = self.reads.records.remove(&read) else { return };
        let result = result.map(|records| decode_all(&records));
        match open.purpose {
            ReadPurpose::Page => self.page_records(now, read, result, effects),
            ReadPurpose::Answer(stored) => self.answer_read(stored, result, effects),
        }
    }

    /// Answers calls whose reads took too long.
    pub(super) fn give_up_reads(&mut self, now: Now, effects: &mut Effects) {
        let since = now.mono - self.settings.park_time;
        if now.mono.0 < self.settings.park_time.as_micros() as u64 {
            return;
        }
        for purpose in self.reads.give_up(since) {
            if let ReadPurpose::Answer(stored) = purpose {
                self.answer_read(stored, Err(ReadFailure::Unavailable), effects);
            }
        }
        self.give_up_pages(since, effects);
    }

    /// Ends every read of records with its callers told that this node is no longer the owner.
    pub(super) fn drop_reads(&mut self, effects: &mut Effects) {
        for purpose in self.reads.give_up(MonoTime(u64::MAX)) {
            if let ReadPurpose::Answer(stored) = purpose {
                let gone = ShardAnswer::NotOwner { owner: None };
                answer(effects, &stored.from, stored.call, gone);
            }
        }
    }
}

fn decode_all(records: &[(u64, Payload)]) -> BTreeMap<u64, LedgerRecord> {
    let decoded = records.iter().filter_map(|(seq, bytes)| {
        let record = LedgerRecord::decode(bytes).ok()?;
        Some((*seq, record))
    });
    decoded.collect()
}
