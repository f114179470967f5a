//! What a feed of the store's objects tells.

use notch_platform_wire::prelude::StoreObject;
use notch_types::prelude::MonoTime;

/// What a feed tells.
#[derive(Debug)]
pub enum FeedEvent<'a> {
    /// The whole list, as of a revision of the store.
    Snapshot {
        /// Every object.
        objects: Vec<StoreObject>,
        /// The store's revision.
        as_of: u64,
        /// Before the list was asked for, by the clock that counts suspended time.
        asked: MonoTime,
    },
    /// An object was created or changed.
    Changed {
        /// As it is now.
        object: &'a StoreObject,
    },
    /// An object was deleted.
    Deleted {
        /// As it was.
        object: &'a StoreObject,
        /// A revision of the store at which it was gone.
        as_of: u64,
    },
}
