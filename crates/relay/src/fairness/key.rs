//! Keys by which use is counted.

use std::borrow::Cow;

use notch_types::prelude::stable_hash128;

/// Maximum length of a share key, bytes.
pub const MAX_KEY_BYTES: usize = 64;

/// The share key of a request: the name of its account, or that of its route if it has none. A name
/// longer than [`MAX_KEY_BYTES`] is replaced by a hash in hexadecimal, so that reports stay small.
pub fn share_key<'a>(account: Option<&'a str>, route: &'a str) -> Cow<'a, str> {
    // The empty name is that of an anonymous caller.
    let name = account.filter(|name| !name.is_empty()).unwrap_or(route);
    if name.len() <= MAX_KEY_BYTES {
        return Cow::Borrowed(name);
    }
    Cow::Owned(format!("{:032x}", stable_hash128(&[name.as_bytes()])))
}
