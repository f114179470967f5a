//! Messages that leave.

use notch_messages::gossip::{GossipMessage, MemberUpdate};
use notch_types::prelude::*;

use crate::effect::MembershipEffect;

/// Most member updates on a push or an answer.
pub(crate) const MAX_UPDATES: usize = 64;

/// Sends one message.
pub(crate) fn send(to: &VmName, message: GossipMessage, effects: &mut Vec<MembershipEffect>) {
    effects.push(MembershipEffect::Send { to: to.clone(), message });
}

/// Sends news of members, in as many messages as it needs.
pub(crate) fn send_news(
    to: &VmName,
    updates: &[MemberUpdate],
    effects: &mut Vec<MembershipEffect>,
) {
    for part in updates.chunks(MAX_UPDATES) {
        let (members, rumors) = (part.to_vec(), Vec::new());
        send(to, GossipMessage::News { members, rumors }, effects);
    }
}
