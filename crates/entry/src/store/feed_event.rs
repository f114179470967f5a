//! Events of a feed of store objects.

use notch_platform_wire::prelude::StoreObject;
use notch_types::prelude::MonoTime;

/// An event of a feed.
#[derive(Debug)]
pub enum FeedEvent<'a> {
    /// The whole list, as of a revision of the store.
    Snapshot {
        /// Every object.
        objects: Vec<StoreObject>,
        /// The store's revision.
        as_of: u64,
        /// A time before the list was requested, by the clock that includes suspended time.
        asked: MonoTime,
    },
    /// An object was created or changed.
    Changed {
        /// The object after the change.
        object: &'a StoreObject,
    },
    /// An object was deleted.
    Deleted {
        /// The object before the deletion.
        object: &'a StoreObject,
        /// A revision of the store at which the object was gone.
        as_of: u64,
    },
    /// All changes up to a revision have been passed on.
    Complete {
        /// The revision.
        as_of: u64,
    },
}
