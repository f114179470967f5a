//! Results that are being stored.

use std::sync::Arc;

use crate::jobs::result::ResultLine;

/// Results to be stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingWrite {
    /// The results.
    pub lines: Vec<Arc<ResultLine>>,
    /// Most bytes of an object.
    pub bytes: usize,
}
