//! The items of one job, eight bytes each.

use std::fmt;

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How an item stands in the ledger. A cancelled job's open items read as cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ItemState {
    /// No result yet.
    Open,
    /// No result yet, and an attempt that may not be repeated holds it.
    Claimed,
    /// Ended with a target's answer.
    Answered,
    /// Ended without one.
    Failed,
}

impl ItemState {
    fn from_bits(bits: u64) -> Self {
        match bits & STATE_MASK {
            0 => Self::Open,
            1 => Self::Claimed,
            2 => Self::Answered,
            _ => Self::Failed,
        }
    }

    fn bits(self) -> u64 {
        match self {
            Self::Open => 0,
            Self::Claimed => 1,
            Self::Answered => 2,
            Self::Failed => 3,
        }
    }

    /// Whether the item has its result.
    pub fn is_ended(self) -> bool {
        matches!(self, Self::Answered | Self::Failed)
    }
}

/// Most items of one table: a record or snapshot that asks for more is broken, and taking it at
/// its word would take the node's memory.
pub const MAX_ITEMS: u32 = 4_000_000;

const STATE_BITS: u32 = 2;
const STATE_MASK: u64 = 3;

/// One word an item: its state, and the sequence number of the record that set it.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
#[serde(into = "Payload", try_from = "Payload")]
pub struct ItemTable {
    /// `sequence << 2 | state`; 0 for an open item.
    words: Vec<u64>,
    /// Words in state `Answered`.
    answered: u32,
    /// Words in state `Failed`.
    failed: u32,
}

impl ItemTable {
    /// `count` open items.
    pub fn new(count: u32) -> Self {
        Self { words: vec![0; count as usize], answered: 0, failed: 0 }
    }

    /// Number of items.
    pub fn len(&self) -> u32 {
        self.words.len() as u32
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Items that ended with an answer.
    pub fn answered(&self) -> u32 {
        self.answered
    }

    /// Items that ended without one.
    pub fn failed(&self) -> u32 {
        self.failed
    }

    /// Items without a result.
    pub fn open(&self) -> u32 {
        self.len() - self.answered - self.failed
    }

    /// An item's state; `None` beyond the last one.
    pub fn state(&self, item: ItemIndex) -> Option<ItemState> {
        self.words.get(item.0 as usize).map(|word| ItemState::from_bits(*word))
    }

    /// The sequence number of the record that set the item's state; 0 for an open item.
    pub fn seq(&self, item: ItemIndex) -> u64 {
        self.words.get(item.0 as usize).map_or(0, |word| word >> STATE_BITS)
    }

    /// Sets an item's state; says whether it did. An ended item and one beyond the last stay.
    pub fn set(&mut self, item: ItemIndex, state: ItemState, seq: u64) -> bool {
        let Some(word) = self.words.get_mut(item.0 as usize) else { return false };
        if ItemState::from_bits(*word).is_ended() {
            return false;
        }
        *word = match state {
            ItemState::Open => 0,
            _ => seq << STATE_BITS | state.bits(),
        };
        match state {
            ItemState::Answered => self.answered += 1,
            ItemState::Failed => self.failed += 1,
            ItemState::Open | ItemState::Claimed => {}
        }
        true
    }

    /// The last item with a result.
    pub fn last_ended(&self) -> Option<ItemIndex> {
        let ended = |word: &u64| ItemState::from_bits(*word).is_ended();
        self.words.iter().rposition(ended).map(|place| ItemIndex(place as u32))
    }

    /// Bytes of memory held.
    pub fn memory_bytes(&self) -> usize {
        self.words.capacity() * size_of::<u64>()
    }
}

impl fmt::Debug for ItemTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} items, {} answered, {} failed", self.len(), self.answered, self.failed)
    }
}

/// Snapshot form: the number of items, then for each a variable-length number. An open one is
/// 0 followed by the length of its run; any other is `(zigzag(seq - seq before) << 2 | state)`,
/// which is never 0 because its state isn't.
impl From<ItemTable> for Payload {
    fn from(table: ItemTable) -> Payload {
        let mut bytes = Vec::with_capacity(table.words.len() * 2 + 8);
        put_number(&mut bytes, table.words.len() as u64);
        let mut before = 0_i64;
        let mut words = table.words.iter().peekable();
        while let Some(word) = words.next() {
            if *word == 0 {
                let mut run = 1_u64;
                while words.next_if(|word| **word == 0).is_some() {
                    run += 1;
                }
                put_number(&mut bytes, 0);
                put_number(&mut bytes, run);
                continue;
            }
            let seq = (word >> STATE_BITS) as i64;
            let delta = seq - before;
            let zigzag = (delta << 1 ^ delta >> 63) as u64;
            put_number(&mut bytes, zigzag << STATE_BITS | word & STATE_MASK);
            before = seq;
        }
        Payload(bytes)
    }
}

/// Bytes that are no item table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableError;

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not an item table")
    }
}

impl std::error::Error for TableError {}

impl TryFrom<Payload> for ItemTable {
    type Error = TableError;

    fn try_from(payload: Payload) -> Result<Self, TableError> {
        let mut rest: &[u8] = &payload;
        let count = take_number(&mut rest)?;
        let count = u32::try_from(count).map_err(|_| TableError)?;
        if count > MAX_ITEMS {
            return Err(TableError);
        }
        let mut table = Self::new(0);
        let mut before = 0_i64;
        while (table.words.len() as u64) < u64::from(count) {
            let number = take_number(&mut rest)?;
            if number == 0 {
                let run = take_number(&mut rest)?;
                let room = u64::from(count) - table.words.len() as u64;
                if run == 0 || run > room {
                    return Err(TableError);
                }
                table.words.resize(table.words.len() + run as usize, 0);
                continue;
            }
            let state = ItemState::from_bits(number);
            let zigzag = number >> STATE_BITS;
            let delta = (zigzag >> 1) as i64 ^ -((zigzag & 1) as i64);
            before = before.checked_add(delta).filter(|seq| *seq >= 0).ok_or(TableError)?;
            table.words.push((before as u64) << STATE_BITS | state.bits());
            match state {
                ItemState::Answered => table.answered += 1,
                ItemState::Failed => table.failed += 1,
                ItemState::Open => return Err(TableError),
                ItemState::Claimed => {}
            }
        }
        table.words.shrink_to_fit();
        Ok(table)
    }
}

fn put_number(bytes: &mut Vec<u8>, mut number: u64) {
    while number >= 0x80 {
        bytes.push(number as u8 | 0x80);
        number >>= 7;
    }
    bytes.push(number as u8);
}

fn take_number(rest: &mut &[u8]) -> Result<u64, TableError> {
    let mut number = 0_u64;
    for shift in (0..64).step_by(7) {
        let (byte, tail) = rest.split_first().ok_or(TableError)?;
        *rest = tail;
        number |= u64::from(byte & 0x7f) << shift;
        if byte & 0x80 == 0 {
            return Ok(number);
        }
    }
    Err(TableError)
}
