//! What a choice of target is made for, and what it yields.

use std::{net::SocketAddr, time::Duration};

use notch_types::prelude::VmName;
use serde::{Deserialize, Serialize};

use crate::targets::prompt::PromptPrefixes;

/// Which work asks for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkKind {
    /// Somebody waits for the answer.
    Online,
    /// An item of a job.
    Batch,
}

/// How long a request may wait for a place.
///
/// Engines take requests first come first served, so in a crest a few hundredths above what all places
/// take, everybody would wait as long as the queue has become. A request that can't be in time any
/// more makes those after it late, too; told at once, its client comes back when the crest is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueLimit {
    /// Only as long as its answer likely begins within this time.
    Within(Duration),
    /// As long as it takes: it was turned away before, or can't come back in time.
    Any,
}

/// What a target is chosen for.
#[derive(Debug, Clone, Copy)]
pub struct TargetQuery<'a> {
    /// The service that runs it.
    pub service: &'a str,
    /// The kind of work.
    pub work: WorkKind,
    /// Targets that have failed it.
    pub avoid: &'a [String],
    /// How long it may wait for a place.
    pub queue: QueueLimit,
    /// Its prompt: a target that has read its beginning is a little nearer.
    pub prompt: &'a PromptPrefixes,
}

/// The target chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetChoice {
    /// The target's id: of one start.
    pub id: String,
    /// The name that the target checks requests for.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether a place was free there as far as is known.
    pub has_free_slot: bool,
    /// This gateway's requests there before this one.
    pub own_load: u32,
    /// The other gateways' requests there, as last reported.
    pub reported_load: u32,
    /// Whether the target is this gateway's by preference.
    pub is_home: bool,
    /// The gateway that admits requests to the target, where it's another one.
    pub home: Option<VmName>,
    /// Whether that gateway granted the place, and so counts it already.
    pub is_granted: bool,
}
