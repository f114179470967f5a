//! One listed result.

use serde::{Deserialize, Serialize};

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
