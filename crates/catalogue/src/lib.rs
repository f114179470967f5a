//! The catalogue: what entries may say, which version of each is in force on a node, and how a
//! change gets everywhere and never back.

pub mod accounts;
pub mod conflict;
pub mod effect;
pub mod event;
pub mod key;
pub mod node;
pub mod probe;
pub mod schema;
pub mod settings;
pub mod survey;
pub mod table;

pub use crate::{
    accounts::{AccountIndex, key_digest},
    conflict::{DiffLine, EditConflict, EditOutcome, settle_edit, show_conflict},
    effect::CatalogueEffect,
    event::CatalogueEvent,
    key::{PREFIX, entry_key, object_key},
    node::CatalogueNode,
    schema::{
        AccountEntry, AccountLimits, BatchPolicy, CatalogueEntry, EntryFault, LeavingEntry,
        ModelSpec, PolicyEntry, ServingRole, TargetClass, TargetEntry, TargetLimits, check,
    },
    settings::CatalogueSettings,
    survey::{EntryCount, SurveyReport},
    table::{Adoption, EntryTable},
};
