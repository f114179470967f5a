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

/// Shortest wait for the answer of a direct call: a large multiple of the few milliseconds that one takes.
const MIN_DIRECT_WAIT: Duration = Duration::from_millis(300);
/// Multiple of the usual latency after which an answer is not expected any more.
const LATENCY_MULTIPLE: u32 = 8;
/// Divisor of the weight of a new latency. After one timeout the next wait is more than twice as long, so that a store
/// that became slow is told from one that is silent.
const LATENCY_DIVISOR: u32 = 3;

/// How long a direct call waits for its answer while another gateway could make it instead.
///
/// A store that is silent to some VMs is noticed only by a call that gets no answer. The first one is usually made for a
/// client that waits for it.
#[derive(Debug, Clone, Copy, Default)]
pub struct DirectWait {
    /// Moving average of the time that answers take, with the time waited for those that did not come.
    latency: Duration,
}

impl DirectWait {
    /// Records how long a call took, answered or not.
    pub fn note(&mut self, took: Duration) {
        self.latency = (self.latency * (LATENCY_DIVISOR - 1) + took) / LATENCY_DIVISOR;
    }

    /// How long a call that may take `longest` should wait.
    pub fn limit(&self, longest: Duration) -> Duration {
        longest.min(MIN_DIRECT_WAIT.max(self.latency * LATENCY_MULTIPLE))
    }
}

/// Decides whether calls go through another gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardingState {
    /// When a call is next tried directly.
    direct_at: MonoTime,
    /// Until when other gateways are not asked, as none could help.
    unavailable_until: MonoTime,
    /// How long direct calls wait.
    direct_wait: DirectWait,
    /// Whether a gateway that follows the store could be asked.
    can_forward: bool,
}

impl ForwardingState {
    /// How a call at `now` is routed. `down_since` is when the store stopped answering directly.
    pub fn way(&mut self, down_since: Option<MonoTime>, now: MonoTime) -> CallRouting {
        let Some(since) = down_since else { return CallRouting::Direct };
        if now.since(since) < FORWARD_AFTER || now < self.unavailable_until {
            return CallRouting::Direct;
        }
        // The call that failed was a direct one, so the next one is not.
        self.direct_at = self.direct_at.max(since + FORWARD_PROBE_INTERVAL);
        // Only a direct call shows soon that the store answers again: a watch may wait for half a
        // minute.
        if now >= self.direct_at {
            self.direct_at = now + FORWARD_PROBE_INTERVAL;
            return CallRouting::DirectFirst;
        }
        CallRouting::Forwarded
    }

    /// Records whether a gateway that follows the store could be asked.
    pub fn set_can_forward(&mut self, can_forward: bool) {
        self.can_forward = can_forward;
    }

    /// Records how long a direct call took, answered or not.
    pub fn note_direct(&mut self, took: Duration) {
        self.direct_wait.note(took);
    }

    /// How long a direct call that may take `longest` should wait.
    pub fn direct_limit(&self, longest: Duration) -> Duration {
        if self.can_forward { self.direct_wait.limit(longest) } else { longest }
    }

    /// Records that another gateway was asked at `now`, and whether that helped.
    pub fn note_end(&mut self, was_answered: bool, now: MonoTime) {
        if !was_answered {
            self.unavailable_until = now + FORWARD_PAUSE;
        }
    }
}
