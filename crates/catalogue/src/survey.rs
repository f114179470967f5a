//! How many nodes have each entry in force.

use std::collections::BTreeMap;

use notch_messages::entry::EntryKey;
use notch_types::prelude::*;

/// How far one entry's version in force here has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryCount {
    /// The version.
    pub version: EntryVersion,
    /// Gateways that have it, or a newer one, in force.
    pub gateways: usize,
}

/// How many nodes have each entry in force, as far as they answered in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SurveyReport {
    /// Gateways in the roster, the asking one included.
    pub gateways: usize,
    /// Those that answered, the asking one included.
    pub answered: usize,
    /// Answered, but with another digest and no details in time: in no entry's count.
    pub unclear: Vec<VmName>,
    /// Gateways that did not answer.
    pub silent: Vec<VmName>,
    /// Gateways whose newest version of some entry is refused as invalid.
    pub refusing: Vec<VmName>,
    /// Sidecars that gateways answer for.
    pub sidecars: usize,
    /// Sidecars that have all their entries in force.
    pub sidecars_current: usize,
    /// Each entry in force here.
    pub entries: BTreeMap<EntryKey, EntryCount>,
}
