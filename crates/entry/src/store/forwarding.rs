//! Which way calls to the store go while the store turns this VM away.
//!
//! A store that refuses or doesn't reach a part of the VMs is of use to all as long as one gateway
//! reaches it. Without this, jobs sent to the others were refused or of unknown fate, and results of
//! the jobs they run weren't stored until it was over.

use std::time::Duration;

use async_channel::Sender;
use notch_types::prelude::*;

use crate::{
    constants::{DETOUR_AFTER, DETOUR_PAUSE, DETOUR_PROBE_INTERVAL},
    store::reply::{StoreFailure, StoreReply},
};

/// One call to be made by another gateway.
#[derive(Debug)]
pub struct ForwardedCall {
    /// Method of the call.
    pub method: String,
    /// Its path.
    pub path: String,
    /// Its body.
    pub body: Option<Vec<u8>>,
    /// Longest wait for the store's answer.
    pub wait: Duration,
    /// Where the end goes; `None` when no gateway could be asked.
    pub end: Sender<Option<Result<StoreReply, StoreFailure>>>,
}

/// Which way a call goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallRouting {
    /// From this VM.
    Direct,
    /// From this VM, and through another gateway if it is turned away.
    DirectFirst,
    /// Through another gateway, and from this VM if none can be asked.
    Forwarded,
}

/// Whether calls go through another gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct ForwardingState {
    /// When a call is tried directly again.
    direct_at: MonoTime,
    /// No other gateway could help: not asked again before then.
    useless_until: MonoTime,
}

impl ForwardingState {
    /// Which way a call at `now` goes. `down_since` is when the store stopped answering directly.
    pub fn way(&mut self, down_since: Option<MonoTime>, now: MonoTime) -> CallRouting {
        let Some(since) = down_since else { return CallRouting::Direct };
        if now.since(since) < DETOUR_AFTER || now < self.useless_until {
            return CallRouting::Direct;
        }
        // Nothing else tells that the store answers again: its watches may wait for half a minute.
        if now >= self.direct_at {
            self.direct_at = now + DETOUR_PROBE_INTERVAL;
            return CallRouting::DirectFirst;
        }
        CallRouting::Forwarded
    }

    /// Another gateway was asked at `now`, and whether that helped.
    pub fn note_end(&mut self, has_helped: bool, now: MonoTime) {
        if !has_helped {
            self.useless_until = now + DETOUR_PAUSE;
        }
    }
}
