//! Stored results of items.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::jobs::json_size::json_string_bytes;

/// Maximum number of bytes that a line takes in addition to its texts, in every form in which it is
/// stored or sent.
const LINE_FRAME_BYTES: usize = 96;

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// A target ran the item to its end.
    Completed,
    /// The item was given up.
    GivenUp,
}

/// One result. Invariant: once it is stored at a position of its job's list, neither the result nor
/// its position changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// Id of the item.
    pub id: String,
    /// How the item ended.
    pub state: ItemState,
    /// Data of all events, joined by line feeds.
    pub output: String,
}

impl ResultLine {
    /// Most bytes that the result takes when stored or sent.
    pub fn json_bytes(&self) -> usize {
        json_string_bytes(&self.id) + json_string_bytes(&self.output) + LINE_FRAME_BYTES
    }

    /// Approximate size of the result in memory, bytes.
    pub fn memory_bytes(&self) -> usize {
        self.id.len() + self.output.len() + LINE_FRAME_BYTES
    }

    /// Returns the first of `lines` that fit into `bytes` together, but at least one if there is
    /// any, so that a reader makes progress however long a result is.
    pub fn fitting(lines: &[Arc<Self>], bytes: usize) -> &[Arc<Self>] {
        let mut size = 0;
        let fits = lines.iter().take_while(|line| {
            size += line.json_bytes();
            size <= bytes
        });
        let count = fits.count().max(1).min(lines.len());
        &lines[..count]
    }
}
