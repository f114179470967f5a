//! An online request as received from a client.

use std::{sync::Arc, time::Duration};

use notch_h1::prelude::RequestHead;
use notch_platform_wire::{client::prompt_prefixes, prelude::RequestHeaders};
use notch_relay::prelude::*;
use notch_types::prelude::*;

/// The account on whose behalf a request runs.
#[derive(Debug, Clone, Default)]
pub struct RequestAccount {
    /// Name of the account that sent it; empty for an anonymous caller, `None` where there are no accounts.
    pub account: Option<String>,
    /// The account whose credit it used; `None` when no credit was taken.
    pub credit: Option<AccountName>,
}

/// An online request as received from a client.
#[derive(Debug)]
pub struct OnlineRequest {
    /// Head as received.
    pub head: RequestHead,
    /// Complete body.
    pub body: Vec<u8>,
    /// Its route, which stays the same for all attempts even if the configuration changes.
    pub route: Arc<Route>,
    /// The account on whose behalf it runs.
    pub account: RequestAccount,
    /// Version of the configuration that named the route.
    pub configuration: u64,
    /// When its head had been read.
    pub arrived: MonoTime,
    /// Prompt prefixes that it announces, by which a target with a matching cache is preferred.
    pub prompt: PromptPrefixes,
    /// Hash of its path and body; the same when the client retries it.
    pub fingerprint: u64,
    /// How long the client waits for the answer, if it says so.
    pub client_deadline: Option<Duration>,
    /// When its answer must be complete: the earlier of the client's deadline and the route's timeout.
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
        let client_deadline = RequestHeaders::decode(&head.headers).deadline;
        let fingerprint = CrashSuspect::request_id(&head.target, &body);
        let prompt = prompt_prefixes(&head.headers);
        let deadline = arrived + route.time_limit(client_deadline);
        Self {
            head,
            body,
            route,
            account,
            configuration,
            arrived,
            prompt,
            fingerprint,
            client_deadline,
            deadline,
        }
    }

    /// What of it may crash a target.
    pub fn suspects(&self) -> RequestSuspects<'_> {
        RequestSuspects { request: self.fingerprint, parts: self.prompt.shared_parts() }
    }

    /// The client's id for this attempt.
    pub fn attempt(&self) -> Option<&str> {
        RequestHeaders::decode(&self.head.headers).attempt
    }

    /// Id of the last event that the client already has, when it resumes a stream.
    pub fn last_event(&self) -> Option<u64> {
        RequestHeaders::decode(&self.head.headers).last_event
    }

    /// The client's attempt that got the first event, when it resumes a stream.
    pub fn resumes(&self) -> Option<&str> {
        RequestHeaders::decode(&self.head.headers).resumes
    }

    /// Time from `now` to the deadline.
    pub fn left(&self, now: MonoTime) -> Duration {
        self.deadline.since(now)
    }
}
