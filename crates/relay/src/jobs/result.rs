//! One listed result.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Bytes that a line takes beside its texts, at most, in every form in which it is stored or sent.
const LINE_FRAME_BYTES: usize = 96;

/// How an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// A target ran it to its end.
    Completed,
    /// It was given up.
    GivenUp,
}

/// One result. Invariant: once it is stored at a position of its job, neither changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultLine {
    /// The item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// Data of all its events, joined by line feeds.
    pub output: String,
}

impl ResultLine {
    /// Bytes that it takes where it is stored or sent, about and at most.
    pub fn approx_bytes(&self) -> usize {
        self.id.len() + self.output.len() + LINE_FRAME_BYTES
    }

    /// The first of `lines` that take `bytes` together, but one at least where there is one: a reader
    /// must get on, however long a result is.
    pub fn fitting(lines: &[Arc<Self>], bytes: usize) -> &[Arc<Self>] {
        let mut size = 0;
        let fits = lines.iter().take_while(|line| {
            size += line.approx_bytes();
            size <= bytes
        });
        let count = fits.count().max(1).min(lines.len());
        &lines[..count]
    }
}
