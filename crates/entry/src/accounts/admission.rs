//! Whether a request with a key, or without one, is let in.

use std::time::Duration;

use notch_h1::prelude::RequestHead;
use notch_platform_wire::client::account_key;
use notch_relay::prelude::*;
use notch_types::prelude::*;

use crate::{
    accounts::credit::{self, LimitVerdict},
    constants::RETRY_AFTER_START,
    front::answer::OwnAnswer,
    node::EntryNode,
};

/// Why a request isn't let in. Nothing of it has run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionRefusal {
    /// Its key is of no account.
    UnknownKey,
    /// Its key may have been taken away: what is known of the configuration is too old.
    StaleConfiguration,
    /// Its account's limit is used up.
    OverLimit {
        /// When to come back.
        wait: Duration,
    },
    /// Nobody can tell now whether it's within its account's limit.
    LimitUnknown,
}

impl AdmissionRefusal {
    /// Stable name for logs and metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::UnknownKey => "unknown_key",
            Self::StaleConfiguration => "configuration_stale",
            Self::OverLimit { .. } => "over_account_limit",
            Self::LimitUnknown => "account_limit_unknown",
        }
    }

    /// The answer to the client.
    pub fn answer(self) -> OwnAnswer {
        match self {
            Self::UnknownKey => OwnAnswer::of(401),
            Self::StaleConfiguration | Self::LimitUnknown => OwnAnswer::refused(RETRY_AFTER_START),
            Self::OverLimit { wait } => OwnAnswer::over_limit(wait),
        }
    }
}

/// Who sends a request by its key, whether or not the key may still be used.
///
/// # Errors
/// It has no key of an account, and needs one.
pub fn identify(
    routes: &RouteTable,
    head: &RequestHead,
    is_public: bool,
) -> Result<CallerIdentity, AdmissionRefusal> {
    match routes.identify(account_key(&head.headers), is_public) {
        CallerIdentity::Unknown => Err(AdmissionRefusal::UnknownKey),
        caller => Ok(caller),
    }
}

/// Whether keys may be honoured now.
///
/// # Errors
/// What is known of the configuration is too old to tell.
pub fn check_freshness(node: &EntryNode, caller: &CallerIdentity) -> Result<(), AdmissionRefusal> {
    let has_key = matches!(caller, CallerIdentity::Account(_));
    if has_key && !node.accounts.age().is_fresh(node.clock.boot()) {
        return Err(AdmissionRefusal::StaleConfiguration);
    }
    Ok(())
}

/// Counts an online request against its account's limit; the account whose credit it has.
///
/// # Errors
/// The limit is used up, or nobody can tell.
pub async fn take_credit(
    node: &EntryNode,
    caller: &CallerIdentity,
) -> Result<Option<AccountName>, AdmissionRefusal> {
    let CallerIdentity::Account(account) = caller else { return Ok(None) };
    let Some(limit) = account.limit else { return Ok(None) };
    match credit::take(node, &account.name, limit).await {
        LimitVerdict::Within => Ok(Some(account.name.clone())),
        LimitVerdict::WithoutLimiter => Ok(None),
        LimitVerdict::Over { wait } => Err(AdmissionRefusal::OverLimit { wait }),
        LimitVerdict::Unknown => Err(AdmissionRefusal::LimitUnknown),
    }
}
