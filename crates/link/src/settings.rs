//! How links behave.

use std::time::Duration;

use notch_messages::frame::NodeRole;
use notch_types::prelude::*;

use crate::secret::LinkSecret;

/// Settings of every link of one process.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The VM this process runs on, proved to the other side with the secret.
    pub vm: VmName,
    /// What this process is.
    pub role: NodeRole,
    /// What all processes of one deployment share.
    pub secret: LinkSecret,
    /// An idle link sends a heartbeat this often. Invariant: shorter than `silence`.
    pub heartbeat: Duration,
    /// A link that brings nothing for this long is given up and replaced: something between the
    /// two ends may have lost track of the connection, and then neither end is ever told.
    pub silence: Duration,
    /// Longest time for connecting and for the whole handshake.
    pub handshake_timeout: Duration,
    /// Shortest wait before a lost link is dialled again.
    pub redial_min: Duration,
    /// Longest wait before a lost link is dialled again.
    pub redial_max: Duration,
    /// Largest message, bytes; a larger one closes the link.
    pub max_message_bytes: usize,
    /// Messages that may wait to be written on one link.
    pub queue: usize,
    /// Bytes of messages that may wait to be written on one link. A single larger message waits alone.
    pub queue_bytes: usize,
    /// Connections that may stand in their handshake at once; more are closed unheard.
    pub max_handshakes: usize,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            vm: VmName::new("unnamed"),
            role: NodeRole::Gateway,
            secret: LinkSecret::default(),
            heartbeat: Duration::from_millis(500),
            silence: Duration::from_millis(2_000),
            handshake_timeout: Duration::from_millis(2_000),
            redial_min: Duration::from_millis(50),
            redial_max: Duration::from_millis(2_000),
            max_message_bytes: 4 << 20,
            queue: 4_096,
            queue_bytes: 4 << 20,
            max_handshakes: 64,
        }
    }
}
