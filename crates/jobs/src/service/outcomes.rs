//! Results of items that no target gave.

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// The result of an item that may have run and won't be run again.
pub(super) fn outcome_unknown() -> ItemOutcome {
    ItemOutcome::Failed {
        reason: RefusalReason::OutcomeUnknown,
        retryable: false,
        ran: Ran::Unknown,
        detail: "it may have run, and its outcome was lost; it is not run again".to_owned(),
    }
}
