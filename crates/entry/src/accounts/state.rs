//! What a gateway knows of client accounts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use notch_relay::prelude::*;
use notch_settings::prelude::AccountSettings;
use notch_types::prelude::*;

/// What a gateway knows of client accounts. Each lock is held only briefly, and never two at once.
#[derive(Debug, Default)]
pub struct AccountState {
    age: Mutex<ConfigurationAge>,
    limiter: Mutex<LimiterTable>,
    credits: Mutex<CreditCache>,
    tolerance: QuotaTolerance,
}

impl AccountState {
    /// State in which nothing is known yet.
    pub fn new(settings: &AccountSettings) -> Self {
        let tolerance = QuotaTolerance {
            window: settings.quota_window(),
            overrun: settings.quota_overrun,
            slack: settings.quota_slack,
        };
        let age = Mutex::new(ConfigurationAge::new(settings.revocation_bound()));
        let limiter = Mutex::new(LimiterTable::new(tolerance));
        Self { age, limiter, tolerance, ..Self::default() }
    }

    /// Age of the proof that the configuration in force is the newest one.
    pub fn age(&self) -> MutexGuard<'_, ConfigurationAge> {
        self.age.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The accounts that this gateway is the limiter of, and the limiters of all others.
    pub fn limiter(&self) -> MutexGuard<'_, LimiterTable> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Credit for requests that may be admitted here.
    pub fn credits(&self) -> MutexGuard<'_, CreditCache> {
        self.credits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// By how much account limits may be exceeded.
    pub fn tolerance(&self) -> QuotaTolerance {
        self.tolerance
    }

    /// Returns the credit of a request that was admitted but didn't run.
    pub fn refund(&self, account: &AccountName, now: MonoTime) {
        self.credits().give_back(account, now);
    }
}
