//! Partial output of items, as handed over between gateways.

use serde::{Deserialize, Serialize};

/// Bytes that partial output takes in a message beside its texts, at most.
const FRAME_BYTES: usize = 96;

/// Partial output of an unfinished item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldProgress {
    /// Id of the item.
    pub item: String,
    /// Id of the last event held.
    pub last_event: u64,
    /// Version of the software that wrote the events; empty in messages of earlier builds.
    #[serde(default)]
    pub version: String,
    /// Data of the events held, joined by line feeds.
    #[serde(with = "serde_bytes")]
    pub output: Vec<u8>,
}

impl HeldProgress {
    /// Groups of at most `bytes` each. What is too large by itself is left out: its item starts anew.
    pub fn fitting(progress: Vec<Self>, bytes: usize) -> Vec<Vec<Self>> {
        let mut groups: Vec<Vec<Self>> = Vec::new();
        let mut left = 0;
        for held in progress {
            let size = held.item.len() + held.version.len() + held.output.len() + FRAME_BYTES;
            match groups.last_mut() {
                _ if size > bytes => continue,
                Some(group) if size <= left => group.push(held),
                _ => {
                    left = bytes;
                    groups.push(vec![held]);
                }
            }
            left -= size;
        }
        groups
    }
}
