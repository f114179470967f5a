//! What the catalogue node wants done.

use notch_messages::{
    entry::{EntryKey, EntryRecord},
    gossip::GossipMessage,
};
use notch_types::{object::StoreCall, prelude::*};

use crate::{schema::CatalogueEntry, schema::EntryFault, survey::SurveyReport};

/// What the catalogue node wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogueEffect {
    /// Call the object API.
    Call(StoreCall),
    /// Send a message to another gateway.
    Send {
        /// To which gateway.
        to: VmName,
        /// The message.
        message: GossipMessage,
    },
    /// Send entries to a sidecar as `SidecarMessage::Entries`.
    SendSidecar {
        /// To which sidecar.
        to: VmName,
        /// The entries it lacks.
        entries: Vec<EntryRecord>,
    },
    /// This version is in force from now on.
    Adopted {
        /// As stored.
        record: EntryRecord,
        /// As read.
        entry: CatalogueEntry,
    },
    /// This version breaks the schema; the last valid one stays in force.
    Invalid {
        /// The entry.
        key: EntryKey,
        /// The refused version.
        version: EntryVersion,
        /// The version that stays in force, if there is one.
        in_force: Option<EntryVersion>,
        /// All that is wrong with it.
        faults: Vec<EntryFault>,
    },
    /// The catalogue is complete for the first time; the gateway may serve.
    Ready,
    /// A survey's result.
    Surveyed {
        /// From the question.
        survey: u64,
        /// The result.
        report: SurveyReport,
    },
    /// Count this.
    Count(Counter),
    /// Keep this for `explain`.
    Note(DecisionNote),
}
