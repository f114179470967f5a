//! The published protocol of the platform, version 1: paths, headers and JSON shapes.
//!
//! | Call | Answers |
//! |---|---|
//! | `GET /v1/objects/{key}` | 200 with the raw value, `ETag`, `X-Written-At`; 404 |
//! | `PUT /v1/objects/{key}` with `If-Match: "N"` or `If-None-Match: *` or neither | 200 with `ETag`; 412 with `ETag` of the version in force, if any; 413 |
//! | `DELETE /v1/objects/{key}` with `If-Match: "N"` or not | 204, also when there was none; 412 |
//! | `GET /v1/objects?prefix=&after=&limit=` | 200 with [`ListingBody`] |
//! | `GET /v1/watch?prefix=&after=&wait_ms=` | 200 with [`ChangesBody`] |
//! | `GET /v1/vms` with `If-None-Match` or not | 200 with an array of [`crate::VmRecord`] and, if the platform has one, an `ETag`; 304 |
//! | `POST /v1/permits` with [`crate::PermitRequest`] | 200 with [`crate::LoadPermit`]; 404 |
//!
//! Any call may be answered by 429 (nothing was done; `Retry-After-Ms`, or `Retry-After` in
//! seconds) or by 503. A 503 with `X-Effect: none` says that nothing was done; a 5xx without it
//! says nothing about the effect. Each answer of the store itself carries `X-Store-Time`, its
//! clock in milliseconds since the Unix epoch; a 404 without it comes from something between.
//! A key is one path segment, percent-encoded, `/` too. An `ETag` is the version in quotes.

use serde::{Deserialize, Serialize};

/// Path of the objects.
pub const OBJECTS_PATH: &str = "/v1/objects";
/// Path of a watch.
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";
/// Path of the weight store's permits.
pub const PERMITS_PATH: &str = "/v1/permits";

/// The store's clock when it answered, milliseconds since the Unix epoch.
pub const STORE_TIME_HEADER: &str = "x-store-time";
/// The store's clock at the object's last write, milliseconds since the Unix epoch.
pub const WRITTEN_AT_HEADER: &str = "x-written-at";
/// `none` on a refusal that had no effect.
pub const EFFECT_HEADER: &str = "x-effect";
/// Value of [`EFFECT_HEADER`].
pub const NO_EFFECT: &str = "none";
/// How long to wait, milliseconds.
pub const RETRY_AFTER_MS_HEADER: &str = "retry-after-ms";

/// One line of [`ListingBody`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBody {
    /// The object's key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// The store's clock at its last write, milliseconds since the Unix epoch.
    pub written_at: u64,
}

/// A page of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListingBody {
    /// The lines, in key order.
    pub objects: Vec<ListedBody>,
    /// Whether another page follows.
    pub more: bool,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeBody {
    /// The object's key.
    pub key: String,
    /// Its newest version.
    pub version: u64,
    /// Its value in hexadecimal digits; null when it was deleted.
    pub value: Option<String>,
    /// The store's clock at the change, milliseconds since the Unix epoch.
    pub written_at: u64,
}

/// The answer of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangesBody {
    /// Changed objects in version order, each at its newest version.
    pub objects: Vec<ChangeBody>,
    /// The version up to which the watcher is now complete.
    pub upto: u64,
}

/// A version as an `ETag`.
pub fn etag_of(version: u64) -> String {
    format!("\"{version}\"")
}

/// The version of an `ETag`, if it is one of ours.
pub fn version_of(etag: &str) -> Option<u64> {
    etag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}
