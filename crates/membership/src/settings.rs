//! Settings of the member table.

use std::time::Duration;

use notch_types::prelude::*;

/// Who this gateway is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberIdentity {
    /// Its VM.
    pub vm: VmName,
    /// Where it listens for links, `ip:port`.
    pub address: String,
    /// Its failure domain.
    pub domain: DomainName,
    /// Higher than at any earlier start: the wall clock at start, milliseconds. A clock that
    /// went back is made good when others answer with the higher one.
    pub incarnation: Incarnation,
}

/// Settings of the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MembershipSettings {
    /// Hash rings; each gives a node two partners, so `2 * rings` links at most.
    pub rings: u8,
    /// Time between pings; one partner each time, in turn.
    pub ping_interval: Duration,
    /// Wait for an answer before others are asked to ping.
    pub ack_timeout: Duration,
    /// Wait for an answer through others before the member is suspected.
    pub indirect_timeout: Duration,
    /// How many others are asked.
    pub indirect_count: usize,
    /// Time that a suspect has to refute.
    pub suspect_timeout: Duration,
    /// How long a dead or departed member is remembered, and tried now and then.
    pub dead_expiry: Duration,
    /// Time between tries to reach a dead member or a listed VM that is no member.
    pub reconnect_interval: Duration,
    /// Time over which losses in one domain count as one event.
    pub domain_window: Duration,
    /// Most member updates on one message.
    pub piggyback_members: usize,
    /// Most rumours on one message.
    pub piggyback_rumors: usize,
    /// Least time between pushes of urgent news.
    pub push_interval: Duration,
    /// Partners that get each push.
    pub push_fanout: usize,
    /// Most members held, dead ones included.
    pub max_members: usize,
    /// Most rumours held; the oldest goes first.
    pub max_rumors: usize,
    /// Largest rumour value, bytes.
    pub max_rumor_bytes: usize,
    /// How long a rumour is held without a newer version.
    pub rumor_expiry: Duration,
    /// Least time between full exchanges asked for because digests differ.
    pub sync_interval: Duration,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        Self {
            rings: 4,
            ping_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(500),
            indirect_timeout: Duration::from_millis(1_000),
            indirect_count: 3,
            suspect_timeout: Duration::from_secs(4),
            dead_expiry: Duration::from_secs(6 * 3_600),
            reconnect_interval: Duration::from_secs(5),
            domain_window: Duration::from_secs(10),
            piggyback_members: 8,
            piggyback_rumors: 8,
            push_interval: Duration::from_millis(100),
            push_fanout: 4,
            max_members: 4_096,
            max_rumors: 4_096,
            max_rumor_bytes: 256,
            rumor_expiry: Duration::from_secs(600),
            sync_interval: Duration::from_secs(10),
        }
    }
}
