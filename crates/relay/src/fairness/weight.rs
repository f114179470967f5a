//! Weights of share keys.

/// Priorities from this one on have the same weight, so that no account's share vanishes.
const LAST_WEIGHTED_PRIORITY: u32 = 4;

/// Weight of an account of `priority`, 0 being the highest: each priority has twice the weight of
/// the next lower one, and at least 1/16.
pub fn share_weight(priority: u32) -> f64 {
    let halvings = priority.min(LAST_WEIGHTED_PRIORITY);
    1.0 / f64::from(1_u32 << halvings)
}
