//! Time-out of the first byte of an answer.

use std::time::Duration;

/// Time to the first byte of an answer, as a fraction of the route's objective, when the target had a
/// free slot. An answer usually begins after a tenth of the objective; giving up at about half of it
/// leaves time for another target to answer within the objective.
const FREE_FACTOR: f64 = 0.55;
/// Time to the first byte, in objectives of the route, when the request may wait for a slot: a typical
/// stream lasts two objectives.
const QUEUED_FACTOR: f64 = 5.0;

/// Time-out of the first byte of an answer of a request that may be sent to another target, for a
/// route with `objective`. `has_free_slot` tells whether the target had a free slot when it was chosen.
pub fn first_byte_timeout(objective: Duration, has_free_slot: bool) -> Duration {
    objective.mul_f64(if has_free_slot { FREE_FACTOR } else { QUEUED_FACTOR })
}
