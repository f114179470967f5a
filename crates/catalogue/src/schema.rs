//! The schema of catalogue entries.
//!
//! An entry is checked before it is written and again wherever it arrives: a file edited past the
//! command line, or written by another release, must not take a whole fleet's configuration down.

mod account;
mod fault;
mod leaving;
mod policy;
mod reader;
mod target;

use notch_messages::entry::EntryKind;
use serde_json::Value;

use self::reader::FieldReader;
pub use self::{
    account::{AccountEntry, AccountLimits},
    fault::{EntryFault, FaultKind},
    leaving::LeavingEntry,
    policy::PolicyEntry,
    target::{BatchPolicy, ModelSpec, ServingRole, TargetClass, TargetEntry, TargetLimits},
};
use crate::key;

/// Largest text of an entry, bytes.
pub const MAX_ENTRY_BYTES: usize = 16 * 1_024;

/// A valid entry.
#[derive(Debug, Clone, PartialEq)]
pub enum CatalogueEntry {
    /// A caller's account.
    Account(AccountEntry),
    /// A model or a plain service.
    Target(TargetEntry),
    /// The deployment's policy.
    Policy(PolicyEntry),
    /// A VM to drain.
    Leaving(LeavingEntry),
}

impl CatalogueEntry {
    /// Whether the entry is retired: it has no effect, and stays so that no older copy comes back.
    pub fn is_retired(&self) -> bool {
        match self {
            Self::Account(account) => account.retired,
            Self::Target(target) => target.retired,
            Self::Policy(policy) => policy.retired,
            Self::Leaving(leaving) => leaving.retired,
        }
    }
}

/// Reads an entry's JSON text.
///
/// # Errors
/// Every fault found, each naming its field; never just the first one.
pub fn check(kind: EntryKind, name: &str, json: &[u8]) -> Result<CatalogueEntry, Vec<EntryFault>> {
    let mut faults = Vec::new();
    if !key::is_name(name) {
        faults.push(EntryFault::new("name", FaultKind::BadName));
    }
    if json.len() > MAX_ENTRY_BYTES {
        faults.push(EntryFault::new("", FaultKind::TooLong { most: MAX_ENTRY_BYTES }));
        return Err(faults);
    }
    let value = match reader::parse(json) {
        Ok(value) => value,
        Err(kind) => {
            faults.push(EntryFault::new("", kind));
            return Err(faults);
        }
    };
    let Value::Object(object) = value else {
        faults.push(EntryFault::new("", FaultKind::WrongType { expected: "an object" }));
        return Err(faults);
    };
    let mut reader = FieldReader::new("", &object, &mut faults);
    let entry = match kind {
        EntryKind::Account => CatalogueEntry::Account(AccountEntry::read(&mut reader)),
        EntryKind::Target => CatalogueEntry::Target(TargetEntry::read(&mut reader)),
        EntryKind::Policy => CatalogueEntry::Policy(PolicyEntry::read(&mut reader)),
        EntryKind::Leaving => CatalogueEntry::Leaving(LeavingEntry::read(&mut reader, name)),
    };
    reader.finish();
    if faults.is_empty() { Ok(entry) } else { Err(faults) }
}
