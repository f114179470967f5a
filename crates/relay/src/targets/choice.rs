//! Input and result of target selection.

use std::{net::SocketAddr, time::Duration};

use notch_types::prelude::VmName;
use serde::{Deserialize, Serialize};

use crate::targets::prompt::PromptPrefixes;

/// Kind of work that needs a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkKind {
    /// An online request: a client waits for the answer.
    Online,
    /// An item of a batch job.
    Batch,
}

/// How long a request may queue for a slot.
///
/// Engines serve requests first come, first served, so at a peak a few hundredths above total
/// capacity every request would wait as long as the queue has grown. A request that can no longer
/// meet its objective also delays those behind it; if it is rejected at once, its client can retry
/// after the peak.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueLimit {
    /// The answer must be likely to begin within this time.
    Within(Duration),
    /// No limit: the request was rejected before, or its client has no time left for a retry.
    Any,
}

/// What target selection takes into account.
#[derive(Debug, Clone, Copy)]
pub struct TargetQuery<'a> {
    /// Service that must run the request.
    pub service: &'a str,
    /// Kind of the work.
    pub work: WorkKind,
    /// Ids of targets on which the request has already failed.
    pub avoid: &'a [String],
    /// How long the request may queue for a slot.
    pub queue: QueueLimit,
    /// Software version that the target must have, as it continues what such a target has begun.
    pub version: Option<&'a str>,
    /// Prompt prefixes: targets likely to have them cached are preferred slightly.
    pub prompt: &'a PromptPrefixes,
}

/// A selected target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChoice {
    /// Id of one incarnation of the target.
    pub id: String,
    /// Name that the target expects in requests.
    pub name: String,
    /// Address that the target listens on.
    pub address: SocketAddr,
    /// Incarnation number of the target; 0 if it has none.
    pub born: u64,
    /// Version of the target's software.
    pub software_version: String,
    /// Whether the target had a free slot, as far as this gateway knows.
    pub has_free_slot: bool,
    /// Requests of this gateway at the target, not counting this one.
    pub own_load: u32,
    /// Requests of the other gateways at the target, as last reported.
    pub reported_load: u32,
    /// Whether this gateway is the target's home gateway.
    pub is_home: bool,
    /// The target's home gateway, if it is another one.
    pub home: Option<VmName>,
    /// Whether the home gateway granted the slot and so already counts this request.
    pub is_granted: bool,
    /// Whether the request is a probe of an ejected target.
    pub is_probe: bool,
}
