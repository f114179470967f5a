//! What a target says of itself.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a target takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It does.
    Ready,
    /// It ends what it has and leaves.
    Draining,
}

/// One start of a target, as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Unique for each start of the target: its name with its incarnation.
    pub id: String,
    /// Its name, which it may keep when it starts again. It checks requests for this name only, so
    /// the name doesn't tell two starts apart.
    pub name: String,
    /// Incarnation: when it started, milliseconds since the epoch by its own clock; 0 where it
    /// doesn't say. A higher one is a later start that knows nothing of the ones before.
    pub born: u64,
    /// The service that it is a copy of.
    pub service: String,
    /// Where it listens. Another target may come to listen there once this one has ended.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
}

impl TargetEntry {
    /// The id of the start at `born` of the target `name`.
    pub fn start_id(name: &str, born: u64) -> String {
        match born {
            0 => name.to_owned(),
            _ => format!("{name}#{born}"),
        }
    }
}
