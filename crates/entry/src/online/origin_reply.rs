//! What another gateway knows of where a stream began.

use notch_relay::prelude::{StreamOrigin, VersionView};

/// Another gateway's answer about where a stream began.
#[derive(Debug)]
pub struct OriginReply {
    /// Where the stream began.
    pub origin: Option<StreamOrigin>,
    /// What the other gateway knows of the versions of the service.
    pub versions: VersionView,
}
