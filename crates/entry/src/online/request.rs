//! One online request as it was read.

use std::{sync::Arc, time::Duration};

use notch_h1::prelude::RequestHead;
use notch_platform_wire::{client::prompt_heads, prelude::RequestHeaders};
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// For whom a request runs.
#[derive(Debug, Clone, Default)]
pub struct RequestAccount {
    /// The account that sends it; empty for nobody in particular, `None` where there are no accounts.
    pub account: Option<String>,
    /// The account whose credit it has.
    pub credit: Option<AccountName>,
}

/// One online request as it was read.
#[derive(Debug)]
pub struct OnlineRequest {
    /// Its head.
    pub head: RequestHead,
    /// Its body.
    pub body: Vec<u8>,
    /// The route it takes, to its end.
    pub route: Arc<Route>,
    /// For whom it runs.
    pub account: RequestAccount,
    /// Version of the configuration that named the route.
    pub configuration: u64,
    /// When its head was read.
    pub arrived: MonoTime,
    /// What it says of its prompt.
    pub prompt: PromptPrefixes,
    /// Of its path and body: the same when the client sends it again.
    pub fingerprint: u64,
    /// How long the client waits, if it says.
    pub patience: Option<Duration>,
    /// When its answer must have ended: the client's patience or the route's timeout is over.
    pub deadline: MonoTime,
}

impl OnlineRequest {
    /// A request that arrived at `arrived` for `route`.
    pub fn new(
        head: RequestHead,
        body: Vec<u8>,
        route: Arc<Route>,
        configuration: u64,
        arrived: MonoTime,
        account: RequestAccount,
    ) -> Self {
        let patience = RequestHeaders::decode(&head.headers).deadline;
        let limit = patience.map_or(route.timeout, |patience| patience.min(route.timeout));
        let fingerprint = CrashTable::fingerprint(&head.target, &body);
        let prompt = prompt_heads(&head.headers);
        let deadline = arrived + limit;
        Self {
            head,
            body,
            route,
            account,
            configuration,
            arrived,
            prompt,
            fingerprint,
            patience,
            deadline,
        }
    }

    /// The client's id of this attempt.
    pub fn attempt(&self) -> Option<&str> {
        RequestHeaders::decode(&self.head.headers).attempt
    }

    /// The last event that the client holds.
    pub fn last_event(&self) -> Option<u64> {
        RequestHeaders::decode(&self.head.headers).last_event
    }

    /// Time left at `now`.
    pub fn left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }
}
