//! What is told of a request that is not understood.

use notch_types::prelude::*;

/// A refusal of the request's shape.
pub(crate) fn bad(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::BadRequest, detail)
}
