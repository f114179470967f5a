//! Forwards calls through another gateway while the store is unreachable from this VM.
//!
//! As long as one gateway reaches the store, all can use it. Without forwarding, jobs submitted to
//! a gateway that is cut off from the store are refused or have an unknown outcome, and the results
//! of its jobs stay unstored until the store is reachable again.

use std::time::Duration;

use async_channel::Sender;
use notch_types::prelude::*;

use crate::{
    constants::{FORWARD_AFTER, FORWARD_PAUSE, FORWARD_PROBE_INTERVAL},
    store::reply::{StoreFailure, StoreReply},
};

/// A call to be made by another gateway.
#[derive(Debug)]
pub struct ForwardedCall {
    /// HTTP method.
    pub method: String,
    /// HTTP path.
    pub path: String,
    /// Body, if any.
    pub body: Option<Vec<u8>>,
    /// Maximum wait for the store's answer.
    pub wait: Duration,
    /// Receives the outcome, or `None` if no gateway could be asked.
    pub end: Sender<Option<Result<StoreReply, StoreFailure>>>,
}

/// How a call is routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRouting {
    /// From this VM.
    Direct,
    /// From this VM, and through another gateway if the call was surely not done.
    DirectFirst,
    /// Through another gateway, and from this VM if no gateway can be asked.
    Forwarded,
}

/// Decides whether calls go through another gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardingState {
    /// When a call is next tried directly.
    direct_at: MonoTime,
    /// Until when other gateways are not asked, as none could help.
    unavailable_until: MonoTime,
}

impl ForwardingState {
    /// How a call at `now` is routed. `down_since` is when the store stopped answering directly.
    pub fn way(&mut self, down_since: Option<MonoTime>, now: MonoTime) -> CallRouting {
        let Some(since) = down_since else { return CallRouting::Direct };
        if now.since(since) < FORWARD_AFTER || now < self.unavailable_until {
            return CallRouting::Direct;
        }
        // Only a direct call shows soon that the store answers again: a watch may wait for half a
        // minute.
        if now >= self.direct_at {
            self.direct_at = now + FORWARD_PROBE_INTERVAL;
            return CallRouting::DirectFirst;
        }
        CallRouting::Forwarded
    }

    /// Records that another gateway was asked at `now`, and whether that helped.
    pub fn note_end(&mut self, was_answered: bool, now: MonoTime) {
        if !was_answered {
            self.unavailable_until = now + FORWARD_PAUSE;
        }
    }
}
