//! Settings of links.

use std::time::Duration;

use notch_messages::frame::NodeRole;
use notch_types::prelude::*;

use crate::secret::LinkSecret;

/// Settings of every link of one process.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// The VM that this process runs on. The handshake authenticates it to the other side.
    pub vm: VmName,
    /// The role of this process.
    pub role: NodeRole,
    /// The secret shared by all processes of a deployment.
    pub secret: LinkSecret,
    /// Interval of heartbeats on an idle link. Invariant: shorter than `silence`.
    pub heartbeat: Duration,
    /// A link on which nothing is received for this long is closed and replaced. Middleboxes may drop
    /// the state of a connection without notifying either end.
    pub silence: Duration,
    /// Maximum time for connecting and the whole handshake.
    pub handshake_timeout: Duration,
    /// Initial delay before a lost link is redialled; it doubles with each failure.
    pub redial_min: Duration,
    /// Maximum delay before a lost link is redialled.
    pub redial_max: Duration,
    /// Maximum size of a message, bytes; a larger message closes the link.
    pub max_message_bytes: usize,
    /// Maximum number of messages in the send queue of a link.
    pub queue: usize,
    /// Maximum size of all messages in the send queue of a link, bytes. A larger message is queued only
    /// on its own.
    pub queue_bytes: usize,
    /// Maximum number of connections in the handshake at a time; further connections are closed at once.
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
