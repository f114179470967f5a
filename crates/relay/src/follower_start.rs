//! Which gateways begin to follow the store: when many start together, and when others stop to follow it.

use std::time::Duration;

/// Time by which each known gateway lengthens the span in which others are expected to follow the store: on the smallest
/// VMs a link takes that long to establish while hundreds are.
const SPAN_PER_GATEWAY: Duration = Duration::from_millis(40);
/// Shortest and longest span.
const MIN_SPAN: Duration = Duration::from_millis(1_500);
const MAX_SPAN: Duration = Duration::from_secs(12);

/// Time by which each gateway begins to follow the store later than the one ranked before it. A follower whose watch was
/// cut off lists again within a fraction of that.
const RANK_DELAY: Duration = Duration::from_millis(300);

/// How long followers must have been too few before a gateway begins to follow the store, of `before` linked ones that
/// are ranked before it while `followers` are needed.
///
/// When the store drops its history, the watches of all followers end at the same moment. Without a delay every gateway
/// would list everything until they have listed it again.
pub fn takeover_delay(before: usize, followers: usize) -> Duration {
    let later = u32::try_from((before + 1).saturating_sub(followers)).unwrap_or(u32::MAX);
    RANK_DELAY.saturating_mul(later).min(MAX_SPAN)
}

/// How long after its start a gateway among `gateways` expects others, of which it hasn't heard yet, to follow the store.
pub fn expectation_span(gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    SPAN_PER_GATEWAY.saturating_mul(gateways).clamp(MIN_SPAN, MAX_SPAN)
}

/// Number of gateways ranked before this one, of `unheard` that have not reported yet, that count as followers `up` after
/// the start. Initially all of them, and steadily fewer: if those ranked first are gone, the next ones follow the store one
/// after the other instead of all at once.
pub fn expected_followers(unheard: usize, gateways: usize, up: Duration) -> usize {
    let elapsed = up.as_secs_f64() / expectation_span(gateways).as_secs_f64();
    let given_up = (gateways as f64 * elapsed) as usize;
    unheard.saturating_sub(given_up)
}
