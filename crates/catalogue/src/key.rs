//! Where entries lie in the object API.

use notch_messages::entry::{EntryKey, EntryKind};

/// What every entry's object key starts with.
pub const PREFIX: &str = "catalogue/";

/// Longest name of an entry, bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// An entry's object key: `catalogue/{kind}/{name}`.
pub fn object_key(key: &EntryKey) -> String {
    format!("{PREFIX}{}/{}", kind_name(key.kind), key.name)
}

/// The entry of an object key; `None` when it is no entry's.
pub fn entry_key(object: &str) -> Option<EntryKey> {
    let (kind, name) = object.strip_prefix(PREFIX)?.split_once('/')?;
    let kind = parse_kind(kind)?;
    is_name(name).then(|| EntryKey { kind, name: name.to_owned() })
}

/// A kind as in keys and on the command line.
pub fn kind_name(kind: EntryKind) -> &'static str {
    match kind {
        EntryKind::Account => "account",
        EntryKind::Target => "target",
        EntryKind::Policy => "policy",
        EntryKind::Leaving => "leaving",
    }
}

/// The kind of this name.
pub fn parse_kind(name: &str) -> Option<EntryKind> {
    match name {
        "account" => Some(EntryKind::Account),
        "target" => Some(EntryKind::Target),
        "policy" => Some(EntryKind::Policy),
        "leaving" => Some(EntryKind::Leaving),
        _ => None,
    }
}

/// Whether a text may name an entry: letters, digits, `.`, `_` and `-`, beginning with a letter
/// or digit. Anything else could leave the entry's place in the object API.
pub fn is_name(name: &str) -> bool {
    let legal = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let first = name.bytes().next().is_some_and(|byte| byte.is_ascii_alphanumeric());
    first && name.len() <= MAX_NAME_BYTES && name.bytes().all(legal)
}
