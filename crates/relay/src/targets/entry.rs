//! Registration data of a target.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a target accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// Accepts new requests.
    Ready,
    /// Finishes its current requests and then leaves.
    Draining,
}

/// Registration of one incarnation of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// Unique id of the incarnation: the target's name with its incarnation number.
    pub id: String,
    /// Name of the target, which it may keep across restarts. The target only accepts requests for
    /// this name, so the name does not distinguish two incarnations.
    pub name: String,
    /// Incarnation number: the start time in milliseconds since the epoch by the target's own
    /// clock, 0 if not reported. A higher number is a later start without any state of the earlier
    /// ones.
    pub born: u64,
    /// Version of the target's software; empty if it is not reported. A stream begun by one version
    /// cannot be continued by another.
    #[serde(default)]
    pub software_version: String,
    /// Service that the target is a replica of.
    pub service: String,
    /// Address that the target listens on. Another target may reuse it after this one has ended.
    pub address: SocketAddr,
    /// Failure domain of the target.
    pub domain: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Remaining time during which the target is slow after its start.
    pub cold_left: Duration,
}

impl TargetEntry {
    /// Id of the incarnation of target `name` that started at `born`.
    pub fn start_id(name: &str, born: u64) -> String {
        match born {
            0 => name.to_owned(),
            _ => format!("{name}#{born}"),
        }
    }
}
