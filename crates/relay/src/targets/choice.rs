//! What a choice of target is made for, and what it yields.

use std::net::SocketAddr;

use crate::targets::prompt::PromptHeads;

/// Which work asks for a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// Somebody waits for the answer.
    Online,
    /// An item of a job.
    Batch,
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
    /// Its prompt: a target that has read its beginning is a little nearer.
    pub prompt: &'a PromptHeads,
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
    pub place_free: bool,
    /// This gateway's requests there before this one.
    pub own_load: u32,
    /// The other gateways' requests there, as last reported.
    pub reported_load: u32,
    /// Whether the target is this gateway's by preference.
    pub is_home: bool,
}
