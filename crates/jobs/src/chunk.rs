//! Chunk objects of a job's input: parsed, and cached within a bound.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use notch_types::prelude::*;
use serde::Deserialize;
use serde_json::value::RawValue;

/// One line of a chunk: `{"custom_id": …, "body": …}`.
#[derive(Debug, Clone, Copy, Deserialize)]
pub struct ChunkLine<'a> {
    /// The caller's own id of the line.
    #[serde(borrow)]
    custom_id: &'a RawValue,
    /// The item's body, JSON.
    #[serde(borrow)]
    body: &'a RawValue,
}

impl ChunkLine<'_> {
    /// The caller's own id of the line; the raw JSON when it's no string.
    pub fn custom_id(&self) -> String {
        let raw = self.custom_id.get();
        serde_json::from_str(raw).unwrap_or_else(|_| raw.to_owned())
    }

    /// The item's body, JSON.
    pub fn body(&self) -> Payload {
        Payload::from(self.body.get())
    }
}

/// A chunk with the ends of its lines.
#[derive(Debug, Default)]
pub struct ParsedChunk {
    bytes: Payload,
    /// End of each line, without its line break; rising.
    ends: Vec<u32>,
}

impl ParsedChunk {
    /// Finds the lines of a chunk's bytes; empty ones don't count.
    pub fn new(bytes: Payload) -> Self {
        let breaks = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
        let mut ends: Vec<u32> = breaks.map(|(place, _)| place as u32).collect();
        if bytes.last().is_some_and(|byte| *byte != b'\n') {
            ends.push(bytes.len() as u32);
        }
        Self { bytes, ends }
    }

    /// One line; `None` when there is no such line or it breaks the format.
    pub fn line(&self, line: u32) -> Option<ChunkLine<'_>> {
        let line = line as usize;
        let end = *self.ends.get(line)? as usize;
        let start = match line {
            0 => 0,
            _ => self.ends[line - 1] as usize + 1,
        };
        serde_json::from_slice(self.bytes.get(start..end)?).ok()
    }

    /// Bytes of memory held.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.len() + self.ends.len() * size_of::<u32>()
    }
}

/// Parsed chunks, the least recently used ones making room.
#[derive(Debug, Default)]
pub struct ChunkCache {
    bound: usize,
    /// Sum of the chunks' memory; above the bound only while it holds a single chunk.
    bytes: usize,
    chunks: BTreeMap<String, (Arc<ParsedChunk>, u64)>,
    /// Uses in order; an entry counts only if its number is the chunk's last one.
    uses: VecDeque<(u64, String)>,
    next_use: u64,
}

impl ChunkCache {
    /// An empty cache of at most `bound` bytes.
    pub fn new(bound: usize) -> Self {
        Self { bound, ..Self::default() }
    }

    /// A chunk that is held; counts as its use.
    pub fn get(&mut self, key: &str) -> Option<Arc<ParsedChunk>> {
        let number = self.next_use;
        let (chunk, last_use) = self.chunks.get_mut(key)?;
        let chunk = Arc::clone(chunk);
        if self.uses.back().is_none_or(|(_, newest)| newest != key) {
            *last_use = number;
            self.next_use += 1;
            self.uses.push_back((number, key.to_owned()));
            self.forget_old_uses();
        }
        Some(chunk)
    }

    /// Takes a chunk in.
    pub fn insert(&mut self, key: &str, chunk: Arc<ParsedChunk>) {
        self.remove(key);
        self.bytes += chunk.memory_bytes();
        self.chunks.insert(key.to_owned(), (chunk, self.next_use));
        self.uses.push_back((self.next_use, key.to_owned()));
        self.next_use += 1;
        while self.bytes > self.bound && self.chunks.len() > 1 {
            let Some((number, oldest)) = self.uses.pop_front() else { break };
            if self.chunks.get(&oldest).is_some_and(|(_, last_use)| *last_use == number) {
                self.remove(&oldest);
            }
        }
    }

    /// Bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn remove(&mut self, key: &str) {
        if let Some((chunk, _)) = self.chunks.remove(key) {
            self.bytes -= chunk.memory_bytes();
        }
    }

    /// Keeps `uses` within a few times the number of chunks.
    fn forget_old_uses(&mut self) {
        if self.uses.len() <= self.chunks.len() * 4 + 16 {
            return;
        }
        let chunks = &self.chunks;
        self.uses.retain(|(number, key)| chunks.get(key).is_some_and(|(_, last)| last == number));
    }
}
