//! Admission of requests by account limit, and why requests are refused.

use std::time::Duration;

use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    accounts::credit::{self, LimitVerdict},
    constants::{RETRY_AFTER_START, RETRY_AFTER_STOP},
    front::answer::OwnAnswer,
    node::EntryNode,
};

/// Why a request is refused. No part of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// No configuration is known yet.
    NoConfiguration,
    /// The newest configuration has no route for it.
    NoRoute,
    /// Its key belongs to no account, or it has none and the route needs one.
    UnknownKey,
    /// The newest configuration doesn't allow a request of its size.
    TooLarge,
    /// The known configuration lacks its route or key or doesn't allow its size, but may not be the newest one.
    Unconfirmed,
    /// The known configuration is too old to tell whether its key was revoked.
    StaleConfiguration,
    /// Its account's limit is exhausted.
    OverLimit {
        /// Time after which to retry.
        wait: Duration,
    },
    /// The limiter of its account can't be reached, and no more may be admitted without it.
    LimitUnknown,
    /// This gateway stops, and may end before the request does.
    Stopping,
}

impl AdmissionRefusal {
    /// Stable name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::NoConfiguration => "no_configuration",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::TooLarge => "too_large",
            Self::Unconfirmed => "configuration_unconfirmed",
            Self::StaleConfiguration => "configuration_stale",
            Self::OverLimit { .. } => "over_account_limit",
            Self::LimitUnknown => "account_limit_unknown",
            Self::Stopping => "stopping",
        }
    }

    /// The response to the client.
    pub fn answer(self) -> OwnAnswer {
        match self {
            Self::NoRoute => OwnAnswer::of(404),
            Self::UnknownKey => OwnAnswer::of(401),
            Self::TooLarge => OwnAnswer::of(413),
            Self::NoConfiguration
            | Self::Unconfirmed
            | Self::StaleConfiguration
            | Self::LimitUnknown => OwnAnswer::refused(RETRY_AFTER_START),
            Self::OverLimit { wait } => OwnAnswer::over_limit(wait),
            Self::Stopping => OwnAnswer::refused(RETRY_AFTER_STOP),
        }
    }
}

/// Checks that an online request that arrived at `arrived` ends before this gateway does, if it stops.
///
/// # Errors
/// `Stopping` when it may not.
pub fn check_stop(
    node: &EntryNode,
    route: &Route,
    client_deadline: Option<Duration>,
    arrived: MonoTime,
) -> Result<(), AdmissionRefusal> {
    let now = node.clock.mono();
    let limit = route.time_limit(client_deadline).saturating_sub(now.since(arrived));
    if node.stop.can_end(limit, now) { Ok(()) } else { Err(AdmissionRefusal::Stopping) }
}

/// Counts an online request against its account's limit. Returns the account to credit if the request doesn't
/// run; `None` when there is no limit or no limiter counted the request.
///
/// # Errors
/// `OverLimit` when the limit is exhausted, `LimitUnknown` when that can't be determined.
pub async fn charge_request(
    node: &EntryNode,
    caller: &CallerIdentity,
    route: &Route,
    client_deadline: Option<Duration>,
) -> Result<Option<AccountName>, AdmissionRefusal> {
    let CallerIdentity::Account(account) = caller else { return Ok(None) };
    let Some(limit) = account.limit else { return Ok(None) };
    let new_first = node.features.new_requests_first;
    let is_retry = |deadline| new_first && node.retry_detector().is_retry(&route.name, deadline);
    let is_deferred = client_deadline.is_some_and(is_retry);
    if is_deferred {
        node.metrics.count(Counter::Event("account_retries"));
    }
    match credit::charge(node, &account.name, limit, is_deferred).await {
        LimitVerdict::Within => Ok(Some(account.name.clone())),
        LimitVerdict::WithoutLimiter => Ok(None),
        LimitVerdict::Over { .. } if new_first => {
            let wait = retry_delay(client_deadline, EntryNode::draw());
            Err(AdmissionRefusal::OverLimit { wait })
        }
        LimitVerdict::Over { wait } => Err(AdmissionRefusal::OverLimit { wait }),
        LimitVerdict::Unknown => Err(AdmissionRefusal::LimitUnknown),
    }
}
